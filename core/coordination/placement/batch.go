package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

const (
	batchHeadroom = 1 // slots of an engine with more than that which batch items leave free for the next online request
	// countsDelay is the time until all peers have received a process's load counts: 25 ms in a small fleet, 75 ms among
	// 100 members, and the same time again if a message is lost.
	countsDelay = 150 * time.Millisecond
	// batchCooldown is the time for which an engine gets no batch items after it was overloaded. Bursts of online requests
	// last for some seconds, and an item preempted right after its start only costs a connection and prompt processing.
	batchCooldown = 700 * time.Millisecond
)

// AcquireBatch places a batch item at the least loaded healthy engine that still has batchHeadroom slots free afterwards, or, if it has no more
// than these, whose service has enough other slots for online requests.
// It places none while online requests for the same service wait in the queue.
func (pool *Pool) AcquireBatch(now time.Time, request Request) (chosen fleet.Engine, ok bool) {
	if slices.ContainsFunc(pool.queue, func(waiter waiter) bool { return waiter.request.Service == request.Service }) {
		return chosen, false
	}
	mayUseLast := pool.mayUseLastSlot(now, request.Service)
	hasRoom := func(engine *engine) bool {
		return pool.mayStartBatch(now, engine) && (engine.Slots > batchHeadroom || mayUseLast) && now.Sub(engine.overloadedAt) >= batchCooldown && pool.hasToken(now, engine)
	}
	request.Repeatable = true
	load := func(engine *engine) float64 { return float64(engine.load(now)) }
	if pool.isUneven(now, request.Service) {
		load = func(engine *engine) float64 { return pool.batchCost(now, engine, request) }
	}
	leastLoaded, _ := pool.pick(now, request, healthy, len(pool.engines), hasRoom, load)
	if leastLoaded == nil {
		return chosen, false
	}
	pool.takeToken(now, leastLoaded)
	pool.beginTrial(now, leastLoaded)
	if leastLoaded.Slots <= batchHeadroom {
		pool.reserves[request.Service].recordStart(now)
	}
	leastLoaded.batchStarts = leastLoaded.recentBatchStarts(now) + 1
	leastLoaded.lastBatchStart = now
	leastLoaded.localBatch++
	pool.changed[leastLoaded.digest] = leastLoaded
	return leastLoaded.Engine, true
}

// TakesLastSlot reports whether a batch item at an engine leaves no slot free there. Processes that place online requests have to know of it at once.
func TakesLastSlot(descriptor fleet.Engine) bool { return descriptor.Slots <= batchHeadroom }

// mayStartBatch reports whether this process may take one more slot of an engine for a batch item.
func (pool *Pool) mayStartBatch(now time.Time, engine *engine) bool {
	free := engine.Slots - min(batchHeadroom, engine.Slots-1) - engine.load(now)
	if free != engine.batchFree {
		engine.batchFree, engine.batchFreeSince = free, now
	}
	return free > 0 && pool.hasTurn(now, engine.digest, free, engine.recentBatchStarts(now), engine.batchFreeSince)
}

// hasTurn reports whether this process may take one of so many free slots for a batch item, of which it took started lately. The processes with
// a batch backlog take them in turn, by slot priority, which all of them compute alike. So processes whose latest load counts have not reached
// each other yet don't take the same slot. Those whose turn it is may wait for engines of other services only: slots that have stayed
// free since a time go to the next ones.
func (pool *Pool) hasTurn(now time.Time, digest uint64, free, started int, since time.Time) bool {
	rank, priority := 0, pool.slotPriority(pool.Self, digest)
	for peer := range pool.backlogPeers {
		if pool.slotPriority(peer, digest) < priority {
			rank++
		}
	}
	rank = max(0, rank-int(now.Sub(since)/countsDelay))
	return started*(len(pool.backlogPeers)+1)+rank < free+started
}

// recentBatchStarts returns the number of batch items that this process has started at the engine and that peers' load
// counts may not include yet.
func (engine *engine) recentBatchStarts(now time.Time) int {
	if now.Sub(engine.lastBatchStart) >= countsDelay {
		return 0
	}
	return engine.batchStarts
}

// Preemptions returns, by engine digest, how many batch items this process must preempt. The load that exceeds an engine's
// slots is charged to the processes with batch items there by slot priority, which all of them compute alike, so that two
// items are not preempted for the same request.
func (pool *Pool) Preemptions(now time.Time) (preemptions map[uint64]int) {
	pool.observeReserves(now)
	for digest, engine := range pool.changed {
		pool.isDoubted(now, engine) // notes when peers' news of the engine came
		excess := engine.load(now) - engine.Slots
		if excess <= 0 {
			delete(pool.changed, digest)
			continue
		}
		engine.overloadedAt = now
		if engine.localBatch == 0 {
			continue
		}
		priority := pool.slotPriority(pool.Self, digest)
		for peer, items := range engine.batchByPeer {
			if pool.slotPriority(peer, digest) < priority {
				excess -= items
			}
		}
		if excess <= 0 {
			continue
		}
		if preemptions == nil {
			preemptions = map[uint64]int{}
		}
		preemptions[digest] = min(excess, engine.localBatch)
	}
	return preemptions
}

// BatchOwners returns the IDs of the peers with batch items at an engine according to their load counts, in no fixed order.
func (pool *Pool) BatchOwners(descriptor fleet.Engine) (owners []string) {
	owners = []string{}
	if engine, ok := pool.engines[descriptor.Digest()]; ok {
		owners = slices.AppendSeq(owners, maps.Keys(engine.batchByPeer))
	}
	return owners
}

// slotPriority returns the slot priority of a process at an engine. The process with the lowest value is the first to take
// a free slot for a batch item and the first to have items preempted. The order differs from engine to engine, so that no
// process always comes first.
func (pool *Pool) slotPriority(process string, digest uint64) uint64 {
	hash, ok := pool.processHashes[process]
	if !ok {
		if pool.processHashes == nil {
			pool.processHashes = map[string]uint64{}
		}
		hash = xxhash.Sum64String(process)
		pool.processHashes[process] = hash
	}
	return rendezvousScore(hash, digest)
}
