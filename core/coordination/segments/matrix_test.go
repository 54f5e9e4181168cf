package segments

import (
	"math/rand/v2"
	"testing"

	"cowslipway/core/state/request"
)

const (
	matrixSeeds = 3000
	matrixSteps = 400
)

// world is a segment with the owners that believe in it and what the engine has seen.
type world struct {
	store   *segmentStore
	owners  []*owner
	current int         // index of the newest owner
	ran     map[int]int // by the engine's own record
	sent    map[*owner]map[int]bool
	random  *rand.Rand
}

// TestMatrix takes a segment through faults at every step: an owner is lost or paused before and after its
// mark, its sending, the answer and its commit, and wakes up at any later time. The observer is the
// engine's record and the store's content, not an owner's word.
func TestMatrix(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		for seed := range uint64(matrixSeeds) {
			world := newWorld(seed, idempotent)
			for range matrixSteps {
				world.step()
			}
			world.finish()
			world.check(t, seed, idempotent)
		}
	}
}

func newWorld(seed uint64, idempotent bool) *world {
	world := &world{store: &segmentStore{}, ran: map[int]int{}, sent: map[*owner]map[int]bool{}, random: rand.New(rand.NewPCG(seed, 7))}
	world.store.reset(idempotent, []string{"a", "b", "c", "d", "e"})
	world.takeOver()
	return world
}

func (world *world) takeOver() {
	claimed := world.store.claim("n")
	world.owners = append(world.owners, claimed)
	world.sent[claimed] = map[int]bool{}
	world.current = len(world.owners) - 1
}

// step lets any owner, the newest or one that was thought dead, do any one thing.
func (world *world) step() {
	owner := world.owners[world.random.IntN(len(world.owners))]
	switch choice := world.random.IntN(20); {
	case choice == 0 && len(world.owners) < 6 && !world.store.segment.Done:
		world.takeOver()
	case choice < 6:
		world.mark(owner)
	case choice < 14:
		world.run(owner)
	default:
		owner.commit(world.store)
	}
}

// mark commits that a pending item is about to be sent; a commit whose answer is lost takes effect
// without the owner's knowledge, and its next one conflicts.
func (world *world) mark(owner *owner) {
	item, ok := world.pendingOf(owner)
	if !ok || item.Idempotent {
		return
	}
	if world.random.IntN(8) == 0 {
		owner.commit(world.store, item.Number)
		owner.revision = -1
		return
	}
	owner.commit(world.store, item.Number)
}

func (world *world) pendingOf(owner *owner) (item Item, ok bool) {
	for _, offset := range world.random.Perm(len(owner.pending)) {
		item = owner.pending[offset]
		if !owner.work.ended[item.Number] && !world.sent[owner][item.Number] {
			return item, true
		}
	}
	return item, false
}

// run sends an item: a non-idempotent one only after the owner saw its mark committed. The answer may be
// lost, may be a refusal, or may come.
func (world *world) run(owner *owner) {
	item, ok := world.pendingOf(owner)
	if !ok || !item.Idempotent && !owner.work.Segment.Started.Has(item.Number) {
		return
	}
	outcome, status := request.Outcome{Disposition: request.NotRun, Reason: request.ReasonNoGrant}, 0
	if world.random.IntN(4) > 0 {
		world.ran[item.Number]++
		outcome, status = request.Outcome{Disposition: request.Done}, 200
		if world.random.IntN(4) == 0 {
			outcome, status = request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonTargetLost}, 0
		}
	}
	switch owner.work.Classify(item, outcome, status) {
	case Success:
		owner.work.Record(Result{Number: item.Number, Succeeded: true})
	case Failure:
		owner.work.Record(Result{Number: item.Number})
	case Retry:
		return
	}
	world.sent[owner][item.Number] = true
}

// finish lets one last owner end the segment without faults, while the others go on believing.
func (world *world) finish() {
	if world.store.segment.Done {
		return
	}
	world.takeOver()
	last := world.owners[world.current]
	for !world.store.segment.Done {
		for range 50 {
			world.run(last)
		}
		if item, ok := world.pendingOf(last); ok && !item.Idempotent {
			last.commit(world.store, item.Number)
		}
		last.commit(world.store)
		world.owners[0].commit(world.store)
	}
}

func (world *world) check(t *testing.T, seed uint64, idempotent bool) {
	t.Helper()
	for _, item := range world.store.items {
		if world.store.results[item.Number] != 1 {
			t.Fatalf("seed %d, idempotent %v: item %d has %d outcomes", seed, idempotent, item.Number, world.store.results[item.Number])
		}
		if !idempotent && world.ran[item.Number] > 1 {
			t.Fatalf("seed %d: non-idempotent item %d ran %d times", seed, item.Number, world.ran[item.Number])
		}
	}
	counts := world.store.segment.Counts
	if counts.Ended() != len(world.store.items) {
		t.Fatalf("seed %d: counts %+v for %d items", seed, counts, len(world.store.items))
	}
}
