package readergroup

import (
	"fmt"
	"testing"

	"cowslipway/core/state/fleet"
)

// newFleet returns size members in three failure domains; a third of them are workers, the rest ingress processes.
func newFleet(size int) (members []fleet.Member) {
	for number := range size {
		member := fleet.Member{Name: fmt.Sprintf("vm-%04d", number), Incarnation: "b", Role: fleet.IngressRole, FailureDomain: fmt.Sprint("d", number%3)}
		if number/3%3 == 0 {
			member.Role = fleet.WorkerRole
		}
		members = append(members, member)
	}
	return members
}

// TestReaderCount checks, for fleets of up to the size expected in two years, that few members read the store, that each
// reader is a worker in the failure domain of the members it reads for, and that no reader serves too many members.
func TestReaderCount(t *testing.T) {
	for _, size := range []int{3, 20, 41, 100, 580} {
		members := newFleet(size)
		served := map[string]int{}
		for _, member := range members {
			reader := ReaderFor(member, members)
			if reader == "" {
				served[member.ID()] += 0
				continue
			}
			served[reader]++
			for _, other := range members {
				if other.ID() == reader && (other.Role != fleet.WorkerRole || other.FailureDomain != member.FailureDomain || ReaderFor(other, members) != "") {
					t.Errorf("%d members: the reader for %s is %+v, want a worker of its failure domain that reads the store itself", size, member.Name, other)
				}
			}
		}
		if limit := 3 * ((size/3+1)/groupSize + 1); len(served) > limit {
			t.Errorf("%d members: %d read the store, want at most %d", size, len(served), limit)
		}
		for reader, count := range served {
			if count > 2*groupSize { // members are spread over readers by hash, so groups differ in size
				t.Errorf("%d members: %s reads for %d members, want at most twice groupSize", size, reader, count)
			}
		}
	}
}

// TestNoLocalReader checks fleets without a suitable worker in the failure domain: one without workers, one whose only
// worker is leaving, and one whose worker is in another failure domain.
func TestNoLocalReader(t *testing.T) {
	ingress := fleet.Member{Name: "a", Role: fleet.IngressRole, FailureDomain: "d0"}
	worker := fleet.Member{Name: "w", Incarnation: "b", Role: fleet.WorkerRole, FailureDomain: "d1"}
	leaving := worker
	leaving.Leaving = true
	for want, members := range map[string][]fleet.Member{"": {ingress}, "w/b": {ingress, worker}} {
		if got := ReaderFor(ingress, members); got != want {
			t.Errorf("members %+v: reader %q, want %q", members, got, want)
		}
	}
	if got := ReaderFor(ingress, []fleet.Member{ingress, leaving}); got != "" {
		t.Errorf("reader %q, want none while the only worker is leaving", got)
	}
}
