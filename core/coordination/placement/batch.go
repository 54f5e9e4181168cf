package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

const (
	batchHeadroom = 1 // slots of an engine that batch items leave free for the next online request
	// countsDelay is the time until all peers have received a process's load counts: 25 ms in a small fleet, 75 ms among
	// 100 members, and the same time again if a message is lost.
	countsDelay = 150 * time.Millisecond
	// batchCooldown is the time for which an engine gets no batch items after it was overloaded. Bursts of online requests
	// last for some seconds, and an item preempted right after its start only costs a connection and prompt processing.
	batchCooldown = 700 * time.Millisecond
)

// AcquireBatch places a batch item at the least loaded healthy engine that still has batchHeadroom slots free afterwards.
// It places none while online requests for the same service wait in the queue.
func (pool *Pool) AcquireBatch(now time.Time, request Request) (chosen fleet.Engine, ok bool) {
	if slices.ContainsFunc(pool.queue, func(waiter waiter) bool { return waiter.request.Service == request.Service }) {
		return chosen, false
	}
	hasRoom := func(engine *engine) bool {
		return pool.mayStartBatch(now, engine) && now.Sub(engine.overloadedAt) >= batchCooldown && pool.hasToken(now, engine)
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
	leastLoaded.batchStarts = leastLoaded.recentBatchStarts(now) + 1
	leastLoaded.lastBatchStart = now
	leastLoaded.localBatch++
	pool.changed[leastLoaded.digest] = leastLoaded
	return leastLoaded.Engine, true
}

// mayStartBatch reports whether this process may take one more slot of an engine for a batch item. The processes with a
// batch backlog take the free slots in turn, by slot priority, which all of them compute alike. So processes whose latest
// load counts have not reached each other yet don't take the same slot.
func (pool *Pool) mayStartBatch(now time.Time, engine *engine) bool {
	free := engine.Slots - batchHeadroom - engine.load(now)
	if free <= 0 {
		return false
	}
	rank, priority := 0, pool.slotPriority(pool.Self, engine.digest)
	for peer := range pool.backlogPeers {
		if pool.slotPriority(peer, engine.digest) < priority {
			rank++
		}
	}
	started := engine.recentBatchStarts(now)
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
