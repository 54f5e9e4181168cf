package jobrunner

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

// PreferredOwner returns the worker that should run a job: rendezvous hashing moves few jobs when workers come and go.
// It is empty where no worker is there to stay.
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

// NextOwner returns the worker that should take over a job from a former owner that is gone: the one on the same VM where
// there is one again, since it has the progress of the job's items on its disk.
func NextOwner(job, former string, workers []fleet.Member) (owner string) {
	name, _, _ := strings.Cut(former, "/")
	for _, worker := range workers {
		if worker.Name == name && !worker.Leaving {
			return worker.ID()
		}
	}
	return PreferredOwner(job, workers)
}
