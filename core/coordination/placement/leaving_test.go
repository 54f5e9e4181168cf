package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"cowslipway/core/state/fleet"
)

// TestEnginesThatSayTheyLeave guards against work for an engine that has said that it leaves, while the store goes on to list it or lists
// it again, in a fleet under steady load. Peers that only this process informed prefer other engines. A later incarnation serves.
func TestEnginesThatSayTheyLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving, other := fleet.Engine{ID: "leaving", Service: "s", Slots: 8, StartUnixMilli: 1}, fleet.Engine{ID: "other", Service: "s", Slots: 8}
	pool := Pool{Self: "p", Random: rand.New(rand.NewPCG(1, 2))}
	peer := Pool{Self: "q", Random: rand.New(rand.NewPCG(3, 4))}
	pool.SetEngines([]fleet.Engine{leaving, other})
	peer.SetEngines([]fleet.Engine{leaving, other})
	if !pool.RecordLeaving(now, leaving) || pool.RecordLeaving(now, leaving) {
		t.Error("the first time is no news, or the second one is")
	}
	peer.ApplyCounts("p", pool.LocalCounts(now))
	pool.SetEngines([]fleet.Engine{other})
	pool.SetEngines([]fleet.Engine{leaving, other}) // its record had lapsed while the store was away
	place := func(pool *Pool) string {
		return pool.AcquireOnline(now, Request{Service: "s", Deadline: now.Add(time.Second)}).Engine.ID
	}
	for range 8 {
		if chosen := place(&pool); chosen != "other" {
			t.Fatalf("a request was placed at %q", chosen)
		}
		if chosen := place(&peer); chosen != "other" {
			t.Fatalf("a peer placed a request at %q", chosen)
		}
	}
	if chosen := place(&peer); chosen != "leaving" {
		t.Errorf("a peer whose other engines are full placed a request at %q", chosen)
	}
	if engine, ok := pool.AcquireBatch(now, Request{Service: "s"}); ok {
		t.Errorf("an item was placed at %q", engine.ID)
	}
	again := leaving
	again.StartUnixMilli = 2
	pool.SetEngines([]fleet.Engine{again, other})
	if chosen := place(&pool); chosen != "leaving" {
		t.Errorf("after the engine has started again, a request was placed at %q", chosen)
	}
	peer.ApplyCounts("p", nil)
	if chosen := place(&peer); chosen != "leaving" {
		t.Errorf("after the process that said so is gone, a peer placed a request at %q", chosen)
	}
}
