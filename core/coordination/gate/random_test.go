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
	randomSteps = 1500
)

// observer follows a gate from outside, by its actions alone.
type observer struct {
	t        *testing.T
	seed     uint64
	work     map[string]Work
	decided  map[string]ActionKind
	running  map[string]Work
	waiting  map[string]Work // online
	grants   []uint64
	sequence int
}

// TestRandom sends random events and checks what must hold after each of them.
func TestRandom(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		gate := &Gate{Slots: SlotLimit{Min: 1, Start: 1 + random.IntN(8), Max: 16}, MaxPerAccount: 20, MaxQueued: 50}
		observer := &observer{t: t, seed: seed, work: map[string]Work{}, decided: map[string]ActionKind{}, running: map[string]Work{}, waiting: map[string]Work{}}
		now := time.Unix(1000, 0)
		observer.take(gate.ReportLoad(now, 0, 0))
		for range randomSteps {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			observer.step(gate, random, now)
			observer.check(gate)
		}
		observer.take(gate.Drain())
		for id := range observer.running {
			observer.finish(gate, now, id)
		}
		if status := gate.Status(); len(observer.waiting) > 0 || status.Online != 0 || status.Batch != 0 || status.Queued != 0 {
			t.Fatalf("seed %d: after draining %d wait, %+v", seed, len(observer.waiting), status)
		}
	}
}

func (observer *observer) step(gate *Gate, random *rand.Rand, now time.Time) {
	switch choice := random.IntN(20); {
	case choice < 6:
		observer.arrive(gate, now, Work{Class: request.Online, Suspect: random.IntN(20) == 0, Deadline: now.Add(time.Duration(random.IntN(100)) * time.Second)}, random)
	case choice < 9 && len(observer.grants) > 0:
		grant := observer.grants[random.IntN(len(observer.grants))]
		observer.arrive(gate, now, Work{Class: request.Batch, GrantID: grant, Entry: "e", Preemptible: random.IntN(4) > 0}, random)
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
		observer.take(gate.ReportLoad(now, running, len(observer.running)-running))
	default:
		observer.take(gate.Tick(now, Latency{TokenGap: time.Duration(random.IntN(100)) * time.Millisecond, Samples: 10}))
	}
}

func (observer *observer) arrive(gate *Gate, now time.Time, work Work, random *rand.Rand) {
	observer.sequence++
	work.ID = fmt.Sprint(observer.sequence)
	work.Account, work.Weight, work.EstimatedTokens = fmt.Sprint(random.IntN(4)), float64(1+random.IntN(3)), int64(1+random.IntN(200))
	observer.work[work.ID] = work
	if work.Class == request.Online {
		observer.waiting[work.ID] = work
	}
	observer.take(gate.Submit(now, work))
}

func (observer *observer) finish(gate *Gate, now time.Time, id string) {
	delete(observer.running, id)
	observer.take(gate.Finish(now, id, 50))
}

// take carries out actions; each work is decided once, and only running batch work is preempted.
func (observer *observer) take(actions []Action) {
	for _, action := range append([]Action(nil), actions...) {
		work := observer.work[action.ID]
		if action.Kind == Preempt {
			if _, running := observer.running[action.ID]; !running || work.Class != request.Batch || !work.Preemptible {
				observer.t.Fatalf("seed %d: preempted %+v", observer.seed, work)
			}
			continue
		}
		if before, twice := observer.decided[action.ID]; twice {
			observer.t.Fatalf("seed %d: %s after %s of %s", observer.seed, action.Kind, before, action.ID)
		}
		observer.decided[action.ID] = action.Kind
		delete(observer.waiting, action.ID)
		if action.Kind == Admit {
			observer.running[action.ID] = work
		}
	}
}

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
		observer.t.Fatalf("seed %d: %d suspects run side by side", observer.seed, suspects)
	}
	if status.Queued > len(observer.waiting) || status.Online < 0 || status.Batch < 0 {
		observer.t.Fatalf("seed %d: %+v while %d wait", observer.seed, status, len(observer.waiting))
	}
	// Online work waits for online work only: while any waits for a slot, batch work that could make way has none.
	if status.Queued > 0 && preemptible > 0 {
		observer.t.Fatalf("seed %d: online work waits beside %d preemptible batch items", observer.seed, preemptible)
	}
}
