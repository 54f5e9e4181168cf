package segments

import (
	"math/rand/v2"
	"testing"

	"cowslipway/core/state/request"
)

const (
	faultSeeds = 3000
	faultSteps = 400
)

// simulation runs one segment with several entries that each consider themselves its owner.
type simulation struct {
	store    *segmentStore
	owners   []*owner
	newest   int                     // index of the owner that claimed the segment last
	runs     map[int]int             // times the engine ran each item
	finished map[*owner]map[int]bool // items that each owner needs not send again
	random   *rand.Rand
}

// TestTrackerFaults checks that every item gets exactly one committed result, and that a non-idempotent item runs at most
// once, when owners fail, are paused and resume at any step: before and after they mark an item as started, send it, receive
// the response and commit. It checks what the engine ran and what the store holds, not the state of the owners.
func TestTrackerFaults(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		for seed := range uint64(faultSeeds) {
			simulation := newSimulation(seed, idempotent)
			for range faultSteps {
				simulation.step()
			}
			simulation.finish()
			simulation.check(t, seed, idempotent)
		}
	}
}

func newSimulation(seed uint64, idempotent bool) *simulation {
	simulation := &simulation{store: &segmentStore{}, runs: map[int]int{}, finished: map[*owner]map[int]bool{}, random: rand.New(rand.NewPCG(seed, 7))}
	simulation.store.reset(idempotent, []string{"a", "b", "c", "d", "e"})
	simulation.claim()
	return simulation
}

// claim adds an owner that claims the segment; the previous owners keep running.
func (simulation *simulation) claim() {
	claimed := simulation.store.claim("n")
	simulation.owners = append(simulation.owners, claimed)
	simulation.finished[claimed] = map[int]bool{}
	simulation.newest = len(simulation.owners) - 1
}

// step lets a random owner, the newest or a superseded one, perform one random operation.
func (simulation *simulation) step() {
	owner := simulation.owners[simulation.random.IntN(len(simulation.owners))]
	switch choice := simulation.random.IntN(20); {
	case choice == 0 && len(simulation.owners) < 6 && !simulation.store.segment.Done:
		simulation.claim()
	case choice < 6:
		simulation.markStarted(owner)
	case choice < 14:
		simulation.send(owner)
	default:
		owner.commit(simulation.store)
	}
}

// markStarted commits that a non-idempotent item is about to be sent. In one of eight cases the owner loses the response
// of the store after the commit was applied, so that its next commit conflicts.
func (simulation *simulation) markStarted(owner *owner) {
	item, ok := simulation.nextItem(owner)
	if !ok || item.Idempotent {
		return
	}
	if simulation.random.IntN(8) == 0 {
		owner.commit(simulation.store, item.Number)
		owner.revision = -1
		return
	}
	owner.commit(simulation.store, item.Number)
}

// nextItem returns a random item that owner has still to run.
func (simulation *simulation) nextItem(owner *owner) (item Item, ok bool) {
	for _, offset := range simulation.random.Perm(len(owner.pending)) {
		item = owner.pending[offset]
		if !owner.tracker.ended[item.Number] && !simulation.finished[owner][item.Number] {
			return item, true
		}
	}
	return item, false
}

// send sends an item to the engine, a non-idempotent one only if the owner knows that it is marked as started. The request
// is rejected without being run, its response is lost, or it succeeds.
func (simulation *simulation) send(owner *owner) {
	item, ok := simulation.nextItem(owner)
	if !ok || !item.Idempotent && !owner.tracker.Segment.Started.Has(item.Number) {
		return
	}
	outcome, status := request.Outcome{Disposition: request.NotRun, Reason: request.ReasonNoGrant}, 0
	if simulation.random.IntN(4) > 0 {
		simulation.runs[item.Number]++
		outcome, status = request.Outcome{Disposition: request.Done}, 200
		if simulation.random.IntN(4) == 0 {
			outcome, status = request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonTargetLost}, 0
		}
	}
	switch owner.tracker.Classify(item, outcome, status) {
	case Success:
		owner.tracker.Record(Result{Number: item.Number, Succeeded: true})
	case Failure:
		owner.tracker.Record(Result{Number: item.Number})
	case Retry:
		return
	}
	simulation.finished[owner][item.Number] = true
}

// finish claims the segment once more and completes it without further faults, while the first owner keeps committing.
func (simulation *simulation) finish() {
	if simulation.store.segment.Done {
		return
	}
	simulation.claim()
	last := simulation.owners[simulation.newest]
	for !simulation.store.segment.Done {
		for range 50 {
			simulation.send(last)
		}
		if item, ok := simulation.nextItem(last); ok && !item.Idempotent {
			last.commit(simulation.store, item.Number)
		}
		last.commit(simulation.store)
		simulation.owners[0].commit(simulation.store)
	}
}

func (simulation *simulation) check(t *testing.T, seed uint64, idempotent bool) {
	t.Helper()
	for _, item := range simulation.store.items {
		if simulation.store.results[item.Number] != 1 {
			t.Fatalf("seed %d, idempotent %v: item %d has %d committed results, want 1", seed, idempotent, item.Number, simulation.store.results[item.Number])
		}
		if !idempotent && simulation.runs[item.Number] > 1 {
			t.Fatalf("seed %d: non-idempotent item %d ran %d times", seed, item.Number, simulation.runs[item.Number])
		}
	}
	counts := simulation.store.segment.Counts
	if counts.Ended() != len(simulation.store.items) {
		t.Fatalf("seed %d: counts %+v do not add up to the %d items of the segment", seed, counts, len(simulation.store.items))
	}
}
