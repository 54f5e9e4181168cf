package readergroup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

// groupSize is the average number of members per reader, including the reader itself, if there are enough workers. The
// calls to the store grow with a sixteenth of the fleet, and the failure of a reader makes 15 other members read the store
// themselves for some seconds.
const groupSize = 16

// ReaderFor returns the member ID of the worker that reads the store for self, or "" if self reads the store itself.
//
// Only workers are readers, since they have processor time and bandwidth to spare, while ingress processes may have little.
// The reader is in the failure domain of self unless that has no suitable worker. All members that know the same members
// choose the same readers.
func ReaderFor(self fleet.Member, members []fleet.Member) (reader string) {
	sameDomain := func(member fleet.Member) bool { return member.FailureDomain == self.FailureDomain }
	mayRead := func(member fleet.Member) bool { return member.Role == fleet.WorkerRole && !member.Leaving }
	served := slices.DeleteFunc(slices.Clone(members), func(member fleet.Member) bool { return member.Role == fleet.ReporterRole || !sameDomain(member) })
	candidates := slices.DeleteFunc(slices.Clone(served), func(member fleet.Member) bool { return !mayRead(member) })
	if len(candidates) == 0 {
		served = members
		candidates = slices.DeleteFunc(slices.Clone(served), func(member fleet.Member) bool { return !mayRead(member) })
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.SortFunc(candidates, func(a, b fleet.Member) int { return cmp.Compare(a.Name, b.Name) })
	candidates = candidates[:min(len(candidates), (len(served)+groupSize-1)/groupSize)]
	for _, candidate := range candidates {
		if candidate.Name == self.Name {
			return ""
		}
	}
	return candidates[xxhash.Sum64String(self.Name)%uint64(len(candidates))].ID()
}
