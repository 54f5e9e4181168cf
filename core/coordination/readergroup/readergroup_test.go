package readergroup

import (
	"fmt"
	"testing"

	"cowslipway/core/state/fleet"
)

// fleetOf returns members in three failure domains, a third of them workers.
func fleetOf(size int) (members []fleet.Member) {
	for number := range size {
		member := fleet.Member{Name: fmt.Sprintf("vm-%04d", number), Incarnation: "b", Role: fleet.IngressRole, FailureDomain: fmt.Sprint("d", number%3)}
		if number/3%3 == 0 {
			member.Role = fleet.WorkerRole
		}
		members = append(members, member)
	}
	return members
}

// TestReadersGrowSlowerThanTheFleet counts who reads the store at the sizes up to that of two years from now.
func TestReadersGrowSlowerThanTheFleet(t *testing.T) {
	for _, size := range []int{3, 20, 41, 100, 580} {
		members := fleetOf(size)
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
					t.Errorf("of %d members, %s is to ask %+v", size, member.Name, other)
				}
			}
		}
		if limit := 3 * ((size/3+1)/groupSize + 1); len(served) > limit {
			t.Errorf("of %d members, %d read the store, more than %d", size, len(served), limit)
		}
		for reader, count := range served {
			if count > 2*groupSize { // chosen by a hash, not dealt out
				t.Errorf("of %d members, %s serves %d", size, reader, count)
			}
		}
	}
}

// TestNoReader plays a fleet without workers, one whose only worker is leaving, and one with a worker elsewhere.
func TestNoReader(t *testing.T) {
	entry := fleet.Member{Name: "a", Role: fleet.IngressRole, FailureDomain: "d0"}
	worker := fleet.Member{Name: "w", Incarnation: "b", Role: fleet.WorkerRole, FailureDomain: "d1"}
	leaving := worker
	leaving.Leaving = true
	for want, members := range map[string][]fleet.Member{"": {entry}, "w/b": {entry, worker}} {
		if got := ReaderFor(entry, members); got != want {
			t.Errorf("%+v: reader %q, not %q", members, got, want)
		}
	}
	if got := ReaderFor(entry, []fleet.Member{entry, leaving}); got != "" {
		t.Errorf("a leaving worker reads: %q", got)
	}
}
