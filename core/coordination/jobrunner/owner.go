package jobrunner

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

// PreferredOwner returns the member ID of the worker that should run a job, or "" if all workers are leaving. It uses
// rendezvous hashing, so that few jobs move when workers are added or removed.
func PreferredOwner(job string, workers []fleet.Member) (owner string) {
	highest := uint64(0)
	for _, worker := range workers {
		if worker.Leaving {
			continue
		}
		if weight := xxhash.Sum64String(worker.Name + "\x00" + job); owner == "" || weight > highest {
			owner, highest = worker.ID(), weight
		}
	}
	return owner
}

// NextOwner returns the member ID of the worker that should claim a job whose previous owner has failed, or "" if all
// workers are leaving. A new worker on the previous owner's VM comes first, since its disk holds the checkpoints of the
// job's items.
func NextOwner(job, previous string, workers []fleet.Member) (owner string) {
	name, _, _ := strings.Cut(previous, "/")
	for _, worker := range workers {
		if worker.Name == name && !worker.Leaving {
			return worker.ID()
		}
	}
	return PreferredOwner(job, workers)
}
