package placement

import "time"

// releasedSlots is by how much less loaded an engine counts at which this process has released a slot since its latest load counts: until
// the next ones its peers take the slot to be in use, so that none of them places a request there, while load counts of other engines are
// as old as the exchange.
const releasedSlots = 2

// releasedPeers is the number of peers from which on released slots are preferred: few peers seldom take the last slots of the same engines.
const releasedPeers = 12

// Announced records that all peers have been sent the load counts of this process.
func (pool *Pool) Announced() {
	for _, engine := range pool.released {
		engine.isReleased = false
	}
	pool.released = pool.released[:0]
	for _, engine := range pool.engines {
		engine.announcedLoad = engine.localLoad()
	}
}

// noteRelease records that this process has released a slot of an engine, if its peers take the slot to be in use.
func (pool *Pool) noteRelease(engine *engine) {
	if !engine.isReleased && engine.localLoad() < engine.announcedLoad {
		engine.isReleased = true
		pool.released = append(pool.released, engine)
	}
}

// forgetReleases forgets the releases at engines that are no longer listed.
func (pool *Pool) forgetReleases() {
	kept := pool.released[:0]
	for _, engine := range pool.released {
		if pool.engines[engine.digest] == engine {
			kept = append(kept, engine)
		}
	}
	clear(pool.released[len(kept):])
	pool.released = kept
}

// pickReleased returns the healthy engine of least cost among the given one, which may be nil, and those at which this process has released
// a slot that its peers take to be in use.
func (pool *Pool) pickReleased(now time.Time, request Request, chosen *engine, fits func(*engine) bool) *engine {
	if len(pool.peerCounts) < releasedPeers {
		return chosen
	}
	least := 0.0
	if chosen != nil {
		least = pool.cost(now, chosen, chosen.load(now)+pool.reluctance(chosen))
	}
	for _, engine := range pool.released {
		if engine.Service != request.Service || engine.localLoad() >= engine.announcedLoad || !pool.eligible(now, engine, request, healthy) || !fits(engine) {
			continue
		}
		cost := pool.cost(now, engine, max(0, engine.load(now)+pool.reluctance(engine)-releasedSlots))
		if chosen == nil || cost < least {
			chosen, least = engine, cost
		}
	}
	return chosen
}
