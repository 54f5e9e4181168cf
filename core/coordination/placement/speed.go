package placement

import (
	"math"
	"time"

	"cowslipway/core/state/fleet"
)

const (
	beliefInterval = 25 * time.Millisecond // what is believed of an engine's speed is computed anew after this time
	// unevenChoices is the number of random engines compared while engines differ in speed and the best so far is far from full: of two,
	// often neither is among the fast ones. Near the capacity, more than two would make processes with equal beliefs choose alike.
	unevenChoices = 5
	crowdedShare  = 0.3 // share of an engine's slots beyond which it counts as near its capacity
	// unevenMemory is how long a service counts as uneven after one of its engines was found to differ.
	unevenMemory = 5 * time.Second
	// crowding and crowdingPower say how much a request's time is taken to grow with the share of the slots in use, as other processes may
	// have taken the last ones since their latest load counts: hardly up to half of them, then so that slower engines are preferred before
	// the last slot of a fast one is taken.
	crowding      = 3.0
	crowdingPower = 6
	// slotsOfSpeed makes a difference in speed count more for batch items than any difference in load.
	slotsOfSpeed = 100
	endangerment = 10000 // puts an engine at which an item would be late behind all others
	// dueMargin is by how much items may take longer than expected: lengths vary, and items may be preempted.
	dueMargin = 1.5
)

// factor returns how much longer work is believed to take at an engine now than at a usual one.
func (pool *Pool) factor(now time.Time, engine *engine) float64 {
	if engine.beliefAt.IsZero() || now.Sub(engine.beliefAt) >= beliefInterval {
		engine.belief, engine.beliefAt = engine.speed.Believe(now), now
	}
	if engine.belief.Factor != 1 {
		if pool.uneven == nil {
			pool.uneven = map[string]time.Time{}
		}
		pool.uneven[engine.Service] = now
	}
	return engine.belief.Factor
}

// isUneven reports whether engines of a service were found to differ in speed. If not, the number of their requests decides.
func (pool *Pool) isUneven(now time.Time, service string) bool {
	at, ok := pool.uneven[service]
	return ok && now.Sub(at) < unevenMemory
}

// crowded reports whether so much runs at an engine that others may have filled it up since their latest load counts.
func crowded(now time.Time, engine *engine) bool {
	return float64(engine.load(now)) > crowdedShare*float64(engine.Slots)
}

// cost returns the expected time of a request at an engine with a load, relative to that at an idle usual engine. Among engines of one
// speed the one with the least load costs least.
func (pool *Pool) cost(now time.Time, engine *engine, load int) float64 {
	return pool.factor(now, engine) * (1 + crowding*math.Pow(float64(load)/float64(engine.Slots), crowdingPower))
}

// ObserveSpeed records how long an engine took per event of a stream of a kind of request, and returns the time that was expected, or 0.
func (pool *Pool) ObserveSpeed(now time.Time, descriptor fleet.Engine, kind string, perEvent time.Duration) (expected time.Duration) {
	engine, ok := pool.engines[descriptor.Digest()]
	if !ok {
		return 0
	}
	if pool.speedNews == nil {
		pool.speedNews = map[uint64]bool{}
	}
	pool.speedNews[engine.digest] = true
	expected = pool.kinds.Observe(now, &engine.speed, kind, perEvent)
	engine.beliefAt = time.Time{}
	pool.factor(now, engine)
	return expected
}

// RecordSlowdown records the slowdown that an engine states for its VM.
func (pool *Pool) RecordSlowdown(now time.Time, descriptor fleet.Engine, slowdown float64) {
	if engine, ok := pool.engines[descriptor.Digest()]; ok && slowdown > 0 {
		engine.speed.State(now, slowdown)
		engine.beliefAt = time.Time{}
		pool.factor(now, engine)
	}
}

// batchCost orders engines for batch items: slow ones first, as online requests leave them to items as long as fast ones have room, and
// among engines of one speed the least loaded first. Engines at which the item would be late come last, fast ones first.
func (pool *Pool) batchCost(now time.Time, engine *engine, request Request) float64 {
	load, slowness := float64(engine.load(now))/float64(engine.Slots+1), slotsOfSpeed*math.Log(pool.factor(now, engine))
	if pool.endangered(now, engine, request) {
		return endangerment + load + slowness
	}
	return load - slowness
}
