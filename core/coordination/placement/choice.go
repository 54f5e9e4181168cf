package placement

import (
	"slices"
	"time"
)

const (
	// onlineChoices is the number of random engines among which an online request goes to the one of least cost (power of
	// two choices), so that processes do not all choose the same engine before their load counts reach each other.
	onlineChoices = 2
)

// pick draws random engines of the request's service that have the given health until it has drawn the given number of
// choices that fit, and returns the one of these with the least cost, or nil if none fits. Among engines of equal cost it
// prefers the request's failure domain. It skips draining and excluded engines. It also returns the number of eligible
// engines that it has drawn, whether they fit or not.
func (pool *Pool) pick(now time.Time, request Request, health health, choices int, fits func(*engine) bool, cost func(*engine) float64) (chosen *engine, eligible int) {
	engines := pool.enginesByService[request.Service]
	fitting, chosenCost := 0, 0.0
	for position := range engines {
		drawn := position + pool.Random.IntN(len(engines)-position)
		engines[position], engines[drawn] = engines[drawn], engines[position]
		candidate := engines[position]
		if !pool.eligible(now, candidate, request, health) {
			continue
		}
		eligible++
		if !fits(candidate) {
			continue
		}
		candidateCost := cost(candidate)
		if chosen == nil || candidateCost < chosenCost || candidateCost == chosenCost && candidate.FailureDomain == request.Domain {
			chosen, chosenCost = candidate, candidateCost
		}
		if fitting++; fitting >= choices || fitting >= onlineChoices && choices == unevenChoices && crowded(now, chosen) {
			break
		}
	}
	return chosen, eligible
}

// eligible reports whether an engine may be chosen for a request among those with the given health.
func (pool *Pool) eligible(now time.Time, candidate *engine, request Request, health health) bool {
	if request.Version != "" && candidate.SoftwareVersion != request.Version || request.Only != 0 && candidate.digest != request.Only {
		return false
	}
	return !candidate.Draining && !pool.isLeaving(now, candidate.digest) && pool.health(now, candidate, request) == health && !slices.Contains(request.Excluded, candidate.digest)
}

// acquireSlot takes a slot for an online request: a free one, else one of a batch item to be preempted. It uses suspected
// engines only if no healthy one has a free or preemptible slot, and ejected engines only if there are no others.
func (pool *Pool) acquireSlot(now time.Time, request Request) (decision Decision, ok bool) {
	free := func(engine *engine) bool { return engine.load(now) < engine.Slots && pool.hasToken(now, engine) }
	preemptible := func(engine *engine) bool { return engine.onlineLoad(now) < engine.Slots && pool.hasToken(now, engine) }
	cost := func(engine *engine) float64 { return float64(engine.load(now) + pool.reluctance(engine)) }
	onlineCost := func(engine *engine) float64 { return float64(engine.onlineLoad(now)) }
	choices := onlineChoices
	if pool.isUneven(now, request.Service) {
		cost = func(engine *engine) float64 { return pool.cost(now, engine, engine.load(now)+pool.reluctance(engine)) }
		onlineCost = func(engine *engine) float64 { return pool.cost(now, engine, engine.onlineLoad(now)) }
		choices = unevenChoices
	}
	decision.Waiting = len(pool.queue)
	for _, health := range []health{healthy, suspected, ejected} {
		if health == ejected && (request.SkipEjected || decision.Candidates > 0) {
			break
		}
		chosen, eligible := pool.pick(now, request, health, choices, free, cost)
		decision.Candidates += eligible
		if health == healthy && choices == unevenChoices {
			chosen = pool.pickReleased(now, request, chosen, free)
		}
		if health == healthy {
			if cached := pool.pickCached(now, request, free, preemptible); cached != nil {
				chosen = cached
			}
		}
		if chosen == nil && eligible > 0 {
			chosen, _ = pool.pick(now, request, health, choices, preemptible, onlineCost)
		}
		if chosen == nil {
			continue
		}
		decision.Engine, decision.Admitted, decision.Load = chosen.Engine, true, chosen.load(now)
		decision.Work, decision.Belief = request.Work, chosen.speed.Believe(now)
		decision.Urgent = decision.Load >= chosen.Slots || chosen.peerBatch > 0 && decision.Load+1 >= chosen.Slots
		pool.takeToken(now, chosen)
		pool.beginTrial(now, chosen)
		chosen.localOnline++
		pool.changed[chosen.digest] = chosen
		return decision, true
	}
	return decision, false
}
