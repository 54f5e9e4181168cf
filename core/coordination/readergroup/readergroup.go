package readergroup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

// groupSize is how many members a reader serves at most, itself included: calls to the store grow with a sixteenth of the
// fleet, and a reader that fails makes 15 others read the store themselves for some seconds.
const groupSize = 16

// ReaderFor returns the owner name of the member that reads the store for self; empty where self reads it.
//
// Readers are workers, which have processors and bandwidth to spare where entries may have few, of self's own failure
// domain unless there is none. All members that know the same others choose alike.
func ReaderFor(self fleet.Member, members []fleet.Member) (owner string) {
	near := func(member fleet.Member) bool { return member.FailureDomain == self.FailureDomain }
	reads := func(member fleet.Member) bool { return member.Role == fleet.WorkerRole && !member.Leaving }
	group := slices.DeleteFunc(slices.Clone(members), func(member fleet.Member) bool { return member.Role == fleet.ReporterRole || !near(member) })
	candidates := slices.DeleteFunc(slices.Clone(group), func(member fleet.Member) bool { return !reads(member) })
	if len(candidates) == 0 {
		group = members
		candidates = slices.DeleteFunc(slices.Clone(group), func(member fleet.Member) bool { return !reads(member) })
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.SortFunc(candidates, func(a, b fleet.Member) int { return cmp.Compare(a.Name, b.Name) })
	candidates = candidates[:min(len(candidates), (len(group)+groupSize-1)/groupSize)]
	for _, candidate := range candidates {
		if candidate.Name == self.Name {
			return ""
		}
	}
	return candidates[xxhash.Sum64String(self.Name)%uint64(len(candidates))].ID()
}
