package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipway/core/state/request"
)

const (
	randomSeeds = 300
	randomSteps = 1500 // events per seed
)

// observer tracks the state of a gate's work from the actions that the gate returns. Its maps are keyed by attempt ID.
type observer struct {
	t        *testing.T
	seed     uint64
	work     map[string]Work       // all submitted work
	decided  map[string]ActionKind // Admit or Reject
	running  map[string]Work
	waiting  map[string]Work // online work neither admitted nor rejected
	grants   []uint64        // IDs of all grants issued
	sequence int             // last attempt ID
}

// TestRandom sends random events to a gate and checks the invariants in observer.apply and observer.check after each
// one.
func TestRandom(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		gate := &Gate{Slots: SlotLimit{Min: 1, Start: 1 + random.IntN(8), Max: 16}, MaxPerAccount: 20, MaxQueued: 50}
		observer := &observer{t: t, seed: seed, work: map[string]Work{}, decided: map[string]ActionKind{}, running: map[string]Work{}, waiting: map[string]Work{}}
		now := time.Unix(1000, 0)
		observer.apply(gate.ReportLoad(now, 0, 0))
		for range randomSteps {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			observer.step(gate, random, now)
			observer.check(gate)
		}
		observer.apply(gate.Drain())
		for id := range observer.running {
			observer.finish(gate, now, id)
		}
		if status := gate.Status(); len(observer.waiting) > 0 || status.Online != 0 || status.Batch != 0 || status.Queued != 0 {
			t.Fatalf("seed %d: after Drain, %d online attempts wait; status %+v", seed, len(observer.waiting), status)
		}
	}
}

// step sends one random event to gate.
func (observer *observer) step(gate *Gate, random *rand.Rand, now time.Time) {
	switch choice := random.IntN(20); {
	case choice < 6:
		observer.submit(gate, now, Work{Class: request.Online, Suspect: random.IntN(20) == 0, Deadline: now.Add(time.Duration(random.IntN(100)) * time.Second)}, random)
	case choice < 9 && len(observer.grants) > 0:
		grant := observer.grants[random.IntN(len(observer.grants))]
		observer.submit(gate, now, Work{Class: request.Batch, GrantID: grant, Entry: "e", Preemptible: random.IntN(4) > 0}, random)
	case choice < 11:
		if grant, ok := gate.Grant(now, "e", 5); ok {
			observer.grants = append(observer.grants, grant.ID)
		}
	case choice < 17:
		for id := range observer.running {
			observer.finish(gate, now, id)
			break
		}
	case choice == 17:
		for id, work := range observer.waiting {
			if gate.Cancel(work.Account, id) {
				delete(observer.waiting, id)
			}
			break
		}
	case choice == 18:
		running := min(len(observer.running), 6)
		observer.apply(gate.ReportLoad(now, running, len(observer.running)-running))
	default:
		observer.apply(gate.Tick(now, Latency{TokenGap: time.Duration(random.IntN(100)) * time.Millisecond, Samples: 10}))
	}
}

func (observer *observer) submit(gate *Gate, now time.Time, work Work, random *rand.Rand) {
	observer.sequence++
	work.ID = fmt.Sprint(observer.sequence)
	work.Account, work.Weight, work.EstimatedTokens = fmt.Sprint(random.IntN(4)), float64(1+random.IntN(3)), int64(1+random.IntN(200))
	observer.work[work.ID] = work
	if work.Class == request.Online {
		observer.waiting[work.ID] = work
	}
	observer.apply(gate.Submit(now, work))
}

func (observer *observer) finish(gate *Gate, now time.Time, id string) {
	delete(observer.running, id)
	observer.apply(gate.Finish(now, id, 50))
}

// apply updates the tracked state. It checks that work is admitted or rejected at most once, and that only running,
// preemptible batch work is preempted.
func (observer *observer) apply(actions []Action) {
	for _, action := range append([]Action(nil), actions...) {
		work := observer.work[action.ID]
		if action.Kind == Preempt {
			if _, running := observer.running[action.ID]; !running || work.Class != request.Batch || !work.Preemptible {
				observer.t.Fatalf("seed %d: preempted work that is not running, not batch or not preemptible: %+v", observer.seed, work)
			}
			continue
		}
		if previous, ok := observer.decided[action.ID]; ok {
			observer.t.Fatalf("seed %d: got %s after %s for attempt %s", observer.seed, action.Kind, previous, action.ID)
		}
		observer.decided[action.ID] = action.Kind
		delete(observer.waiting, action.ID)
		if action.Kind == Admit {
			observer.running[action.ID] = work
		}
	}
}

// check verifies the invariants of gate's state.
func (observer *observer) check(gate *Gate) {
	status := gate.Status()
	suspects, preemptible := 0, 0
	for id, work := range observer.running {
		if work.Suspect {
			suspects++
		}
		if work.Class == request.Batch && work.Preemptible && !gate.running[id].preempted {
			preemptible++
		}
	}
	if suspects > 1 {
		observer.t.Fatalf("seed %d: %d suspects run at the same time", observer.seed, suspects)
	}
	if status.Queued > len(observer.waiting) || status.Online < 0 || status.Batch < 0 {
		observer.t.Fatalf("seed %d: invalid status %+v with %d online attempts waiting", observer.seed, status, len(observer.waiting))
	}
	// Online work waits only for other online work: no preemptible batch work runs while online work is queued.
	if status.Queued > 0 && preemptible > 0 {
		observer.t.Fatalf("seed %d: online work waits while %d preemptible batch attempts run", observer.seed, preemptible)
	}
}
