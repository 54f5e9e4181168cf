package readergroup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

const (
	// groupSize is the average number of members per reader, including the reader itself, if there are enough workers. The
	// failure of a reader makes 15 other members turn to the readers of other failure domains.
	groupSize = 16
	// maxPeers is how many peers are tried before the store is read: each may take as long to answer as the oldest view allows.
	maxPeers = 2
)

// Source is where a member reads the changes of the store.
type Source struct {
	Peer  string // ID of the member whose change feed is read; empty: the store
	Feeds bool   // whether other members read the change feed of this one
}

// SourceFor returns where self reads the changes of the store. One worker, the root, reads the store for the whole fleet. The
// first reader of each failure domain reads the root's feed, the others read that of the first, and all other members that of a
// reader of theirs, so that the calls to the store don't grow with the fleet. All members that know the same members choose the
// same readers.
//
// A peer that has lately failed self is passed over: the reader of another failure domain takes its place, and where the root
// has failed the readers, the next of them reads the store. Members that believe in different roots may read each other's feed;
// as a feed keeps its age from hop to hop, they leave it as soon as it is too old.
//
// Only workers are readers, since they have processor time and bandwidth to spare, while ingress processes may have little.
func SourceFor(self fleet.Member, members []fleet.Member, failed func(peer string) bool) (source Source) {
	domains := readers(members)
	leaders := []fleet.Member{}
	own := []fleet.Member{}
	for _, domain := range domains {
		leaders = append(leaders, domain[0])
		if domain[0].FailureDomain == self.FailureDomain {
			own = domain
		}
	}
	slices.SortFunc(leaders, byName)
	isSelf := func(member fleet.Member) bool { return member.Name == self.Name }
	source.Feeds = slices.ContainsFunc(own, isSelf)
	if len(own) > 0 && !isSelf(own[0]) {
		reader := own[0]
		if !source.Feeds {
			reader = own[xxhash.Sum64String(self.Name)%uint64(len(own))]
		}
		leaders = append([]fleet.Member{reader}, slices.DeleteFunc(leaders, func(leader fleet.Member) bool { return leader.Name == reader.Name })...)
	}
	for _, leader := range leaders[:min(len(leaders), maxPeers)] {
		if isSelf(leader) {
			return source // the first of the readers that are left
		}
		if !failed(leader.ID()) {
			source.Peer = leader.ID()
			return source
		}
	}
	return source
}

// readers returns the readers of each failure domain that has a suitable worker, sorted by name.
func readers(members []fleet.Member) (domains map[string][]fleet.Member) {
	domains = map[string][]fleet.Member{}
	sizes := map[string]int{}
	for _, member := range members {
		if member.Role == fleet.ReporterRole {
			continue
		}
		sizes[member.FailureDomain]++
		if member.Role == fleet.WorkerRole && !member.Leaving {
			domains[member.FailureDomain] = append(domains[member.FailureDomain], member)
		}
	}
	for name, candidates := range domains {
		slices.SortFunc(candidates, byName)
		domains[name] = candidates[:min(len(candidates), (sizes[name]+groupSize-1)/groupSize)]
	}
	return domains
}

// byName orders members by name.
func byName(a, b fleet.Member) int { return cmp.Compare(a.Name, b.Name) }
