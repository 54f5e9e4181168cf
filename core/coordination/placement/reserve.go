package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reserveWindow is how long a high online load counts, unless no online request comes any more for reserveGap.
	reserveWindow  = 20 * time.Second
	reserveBuckets = 5 // parts of reserveWindow
	reserveGap     = 3 * time.Second
	// reserveFloor is the number of slots, but no more than half of them, that are kept free for reserveMemory after the latest online request.
	reserveFloor  = 2
	reserveMemory = time.Minute
	// reserveStep is the time after which one slot less is kept free while batch items wait and none of them runs.
	reserveStep = 5 * time.Second
	// reserveIdle is the time without a wait after which the next one counts as a new one.
	reserveIdle = time.Second
)

// reserve tells how many slots of a service batch items leave free for online requests, where engines have so few slots that they can't leave
// some at each. It is one more than online requests took at their latest peak, and less while no batch item gets a slot, so that none
// waits for good.
type reserve struct {
	peaks        [reserveBuckets]int // highest online load, in the current part of reserveWindow and those before
	peaksSince   time.Time           // start of the current part
	onlineAt     time.Time           // when an online request was last seen
	waitingSince time.Time           // since when batch items wait for a slot of the reserve and none runs; zero if they don't
	askedAt      time.Time           // when one of them last did
	spare        int                 // free slots beyond the reserve at the latest look
	spareSince   time.Time           // since when they were as many
	starts       int                 // batch items that this process started, each within countsDelay of the one before
	startedAt    time.Time           // start of the latest of them
}

// serviceLoad is the load of the engines of a service.
type serviceLoad struct {
	slots  int // of the healthy engines
	free   int // of these
	online int // online requests
	batch  int // batch items
}

// observe records the online load of the service.
func (reserve *reserve) observe(now time.Time, online int) {
	for passed := 0; now.Sub(reserve.peaksSince) >= reserveWindow/reserveBuckets; passed++ {
		if passed == reserveBuckets {
			reserve.peaksSince = now
			break
		}
		copy(reserve.peaks[1:], reserve.peaks[:])
		reserve.peaks[0], reserve.peaksSince = 0, reserve.peaksSince.Add(reserveWindow/reserveBuckets)
	}
	reserve.peaks[0] = max(reserve.peaks[0], online)
	if online > 0 {
		reserve.onlineAt = now
	}
}

// size returns the number of slots to be left free.
func (reserve *reserve) size(now time.Time, load serviceLoad) (size int) {
	switch idle := now.Sub(reserve.onlineAt); {
	case idle < reserveGap:
		size = slices.Max(reserve.peaks[:]) - load.online + 1
	case idle < reserveMemory:
		size = min(reserveFloor, load.slots/2)
	}
	if !reserve.waitingSince.IsZero() {
		size -= int(now.Sub(reserve.waitingSince) / reserveStep)
	}
	return max(0, size)
}

// forgetWait forgets that batch items waited, unless some have gone on to wait and none runs.
func (reserve *reserve) forgetWait(now time.Time, load serviceLoad) {
	if load.batch > 0 || now.Sub(reserve.askedAt) > reserveIdle {
		reserve.waitingSince = time.Time{}
	}
}

// await records that a batch item waits for a slot of the reserve.
func (reserve *reserve) await(now time.Time) {
	if reserve.waitingSince.IsZero() {
		reserve.waitingSince = now
	}
	reserve.askedAt = now
}

// recordStart records that this process has started a batch item at the last slot of an engine.
func (reserve *reserve) recordStart(now time.Time) {
	reserve.starts, reserve.startedAt = reserve.recentStarts(now)+1, now
	reserve.waitingSince = time.Time{}
}

// recentStarts returns the number of batch items that this process has started and that peers' load counts may not include yet.
func (reserve *reserve) recentStarts(now time.Time) int {
	if now.Sub(reserve.startedAt) >= countsDelay {
		return 0
	}
	return reserve.starts
}

// setReserves keeps reserves for the services that need one.
func (pool *Pool) setReserves() {
	reserves := map[string]*reserve{}
	for service, engines := range pool.enginesByService {
		if !slices.ContainsFunc(engines, func(engine *engine) bool { return engine.Slots <= batchHeadroom }) {
			continue
		}
		if reserves[service] = pool.reserves[service]; reserves[service] == nil {
			reserves[service] = &reserve{}
		}
	}
	pool.reserves = reserves
}

// observeReserves records the online load of the services with a reserve.
func (pool *Pool) observeReserves(now time.Time) {
	for service, reserve := range pool.reserves {
		reserve.observe(now, pool.serviceLoad(now, service).online)
	}
}

// serviceLoad returns the load of the engines of a service.
func (pool *Pool) serviceLoad(now time.Time, service string) (load serviceLoad) {
	for _, engine := range pool.enginesByService[service] {
		load.online += max(0, engine.onlineLoad(now))
		load.batch += engine.localBatch + engine.peerBatch
		if pool.eligible(now, engine, Request{Service: service, Repeatable: true}, healthy) {
			load.slots += engine.Slots
			load.free += max(0, engine.Slots-engine.load(now))
		}
	}
	return load
}

// mayUseLastSlot reports whether this process may start a batch item at an engine of a service that has no further slot.
func (pool *Pool) mayUseLastSlot(now time.Time, service string) bool {
	reserve, ok := pool.reserves[service]
	if !ok {
		return false
	}
	load := pool.serviceLoad(now, service)
	reserve.observe(now, load.online)
	reserve.forgetWait(now, load)
	spare := load.free - reserve.size(now, load)
	if spare != reserve.spare {
		reserve.spare, reserve.spareSince = spare, now
	}
	if spare <= 0 {
		if load.free > 0 {
			reserve.await(now)
		}
		return false
	}
	return pool.hasTurn(now, xxhash.Sum64String(service), spare, reserve.recentStarts(now), reserve.spareSince)
}

// copyReserves returns a copy of the reserves whose use has no effect on pool.
func (pool *Pool) copyReserves() (copied map[string]*reserve) {
	copied = maps.Clone(pool.reserves)
	for service, original := range copied {
		duplicate := *original
		copied[service] = &duplicate
	}
	return copied
}
