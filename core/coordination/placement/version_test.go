package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"cowslipway/core/state/fleet"
)

// TestResumedStreamsDuringUpgrade guards against resuming a stream at another software version, while two versions share the fleet and
// all engines are busy: a resumed stream waits for a slot at its version, does not hold up the others, and is rejected at once where
// its version has no engine left.
func TestResumedStreamsDuringUpgrade(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := Pool{Self: "p", Random: rand.New(rand.NewPCG(1, 2))}
	engines := []fleet.Engine{
		{ID: "old", Service: "s", SoftwareVersion: "v1", Slots: 2}, {ID: "new1", Service: "s", SoftwareVersion: "v2", Slots: 2},
		{ID: "new2", Service: "s", SoftwareVersion: "v2", Slots: 2}, {ID: "gone", Service: "s", SoftwareVersion: "v0", Slots: 2, Draining: true},
	}
	pool.SetEngines(engines)
	place := func(version string) Decision {
		return pool.AcquireOnline(now, Request{Service: "s", Version: version, Deadline: now.Add(time.Second)})
	}
	for range 2 {
		if decision := place("v1"); decision.Engine.ID != "old" {
			t.Fatalf("a stream of v1 was placed at %q", decision.Engine.ID)
		}
	}
	if decision := place("v0"); decision.Admitted || decision.Ticket != 0 || decision.Candidates != 0 {
		t.Errorf("a stream of a version that is drained: %+v", decision)
	}
	if pool.Serves(now, engines[3].Build()) || !pool.Serves(now, engines[0].Build()) {
		t.Error("the versions that serve are wrong")
	}
	waiting := place("v1")
	if waiting.Ticket == 0 {
		t.Fatalf("a stream of v1 does not wait for a slot: %+v", waiting)
	}
	for range 4 {
		if decision := place(""); !decision.Admitted || decision.Engine.SoftwareVersion != "v2" {
			t.Fatalf("a new stream beside it: %+v", decision)
		}
	}
	anywhere := place("")
	pool.Release(now, engines[1], false)
	grants := pool.ProcessQueue(now)
	if len(grants) != 1 || grants[0].Ticket != anywhere.Ticket {
		t.Errorf("after a slot at v2 is free: %+v", grants)
	}
	pool.Release(now, engines[0], false)
	grants = pool.ProcessQueue(now)
	if len(grants) != 1 || grants[0].Ticket != waiting.Ticket || grants[0].Decision.Engine.ID != "old" {
		t.Errorf("after a slot at v1 is free: %+v", grants)
	}
}
