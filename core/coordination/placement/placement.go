package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

const (
	baseEjection     = 300 * time.Millisecond // ejection after a first failure; each further failure in a row doubles it
	maxEjection      = 3 * time.Second        // a crashed engine is back after some seconds
	replacedEjection = 15 * time.Second       // the engine's registration expires some seconds after its last renewal
	suspectQuorum    = 2                      // peers whose ejections make an engine suspected; one alone may be partitioned from it, or see a chance failure
	reportWindow     = 3                      // latest load reports of an engine that are compared; they span 120 ms
	responseLoadTTL  = 100 * time.Millisecond // in a large fleet, peers' load counts include the same work after that time
	// onlineChoices is the number of random engines among which an online request goes to the least loaded one (power of
	// two choices), so that processes do not all choose the same engine before their load counts reach each other.
	onlineChoices = 2
	batchHeadroom = 1 // slots of an engine that batch items leave free for the next online request
	defaultSlots  = 8 // for an engine whose registration gives no number of slots
	// countsDelay is the time until all peers have received a process's load counts: 25 ms in a small fleet, 75 ms among
	// 100 members, and the same time again if a message is lost.
	countsDelay = 150 * time.Millisecond
	// batchCooldown is the time for which an engine gets no batch items after it was overloaded. Bursts of online requests
	// last for some seconds, and an item preempted right after its start only costs a connection and prompt processing.
	batchCooldown = 700 * time.Millisecond
	// leavingLifetime is how long an engine that said that it leaves gets no work. An engine that leaves ends within seconds; one that
	// starts again is another incarnation, unless its record has no start time.
	leavingLifetime    = 5 * time.Minute
	rateWindow         = time.Second           // time constant of the average release rate
	initialReleaseRate = 20                    // slots per second, as two engines release; used before the first release
	minRetryAfter      = 50 * time.Millisecond // a caller that retries earlier arrives before a slot is free
	maxRetryAfter      = 1500 * time.Millisecond
)

// leavingMark turns the digest of an engine into that under which load counts say that the engine leaves. Processes that do not know it
// ignore the counts of an engine that they do not list.
const leavingMark = 0x6c656176696e6721

// backlogDigest is the engine digest of the Counts value that marks a batch backlog among a process's load counts. No
// engine has this digest.
const backlogDigest = 0

// Counts is the load of one process on one engine.
type Counts struct {
	Engine  uint64 // digest of the engine, from fleet.Engine.Digest
	Online  int    // online requests
	Batch   int    // batch items
	Ejected bool   // the process has ejected the engine after failures
}

// Request describes an online request or a batch item that needs a slot.
type Request struct {
	Service  string    // service whose engines can run the request
	Version  string    // software version that the engine must have, to resume a stream; empty if it may have any
	Domain   string    // failure domain preferred among equally loaded engines
	Only     uint64    // digest of the only engine that may be chosen; 0 if any may be
	Excluded []uint64  // digests of engines that must not be chosen
	Deadline time.Time // latest useful start of an online request
	Prefix   Prefix    // shared part of the prompt of an online request
	// SkipEjected keeps the request from engines that this process has ejected, also if there are no others. It is set for a request that
	// runs already, and is as likely to go on where it is.
	SkipEjected bool
}

// Decision is the result of placing an online request. The request was admitted, waits in the queue (Ticket is not 0),
// or was rejected.
type Decision struct {
	Engine     fleet.Engine // engine that runs an admitted request
	Admitted   bool
	Urgent     bool          // this or the next request preempts a batch item, whose owner therefore needs the load counts at once
	Ticket     int           // identifies a request in the queue; 0 for any other
	RetryAfter time.Duration // when the caller of a rejected request should retry
	Reason     string        // why the request was rejected

	// Inputs of the decision, for the log.
	Candidates int // engines that could have been chosen
	Limited    int // engines with room that could not be chosen because of their limits
	Load       int // known load of the chosen engine before this request
	Waiting    int // requests in the queue of this process
}

// Grant is the decision on a request that waited in the queue.
type Grant struct {
	Ticket   int // Decision.Ticket that AcquireOnline returned for the request
	Decision Decision
}

// engine is a registered engine and its load as this process knows it.
type engine struct {
	fleet.Engine

	digest              uint64
	localOnline         int               // online requests of this process
	localBatch          int               // batch items of this process
	peerOnline          int               // online requests of all peers, from their latest load counts
	peerBatch           int               // batch items of all peers, from their latest load counts
	batchByPeer         map[string]int    // batch items of each peer that has any
	peerEjections       int               // peers that have ejected the engine
	peersSayLeaving     int               // peers to which the engine said that it leaves
	consecutiveFailures int               // failures that this process saw since the engine's last success
	ejectedUntil        time.Time         // end of the ejection by this process
	overloadedAt        time.Time         // when the load last exceeded the slots
	unaccountedSamples  [reportWindow]int // reported load minus counted load, of each of the latest reports
	reportCount         int               // reports received from the engine's reporter
	responseLoad        int               // load that the engine reported in its latest response to this process
	responseLoadAt      time.Time         // when that response arrived
	localAtResponse     int               // part of responseLoad that belongs to this process
	batchStarts         int               // batch items that this process started, each within countsDelay of the one before
	lastBatchStart      time.Time         // start of the latest of them
}

// unaccounted returns the work at the engine that no process has reported, such as the requests of a process that is
// partitioned from this one. It is the minimum over the latest reports, since the load counts may be slightly older or
// newer than a single report.
func (engine *engine) unaccounted() int {
	if engine.reportCount < reportWindow {
		return 0
	}
	return max(0, slices.Min(engine.unaccountedSamples[:]))
}

// load returns the number of requests at the engine. It is the larger of two figures, since either may be outdated: the
// counted and unaccounted load, and the load that the engine reported in a response within responseLoadTTL, adjusted by the
// requests that this process has started and ended there since.
func (engine *engine) load(now time.Time) int {
	load := engine.countedLoad() + engine.unaccounted()
	if now.Sub(engine.responseLoadAt) < responseLoadTTL {
		load = max(load, engine.responseLoad+engine.localLoad()-engine.localAtResponse)
	}
	return load
}

// localLoad returns the number of requests and batch items of this process at the engine.
func (engine *engine) localLoad() int { return engine.localOnline + engine.localBatch }

// countedLoad returns the load according to the load counts of this process and its peers.
func (engine *engine) countedLoad() int {
	return engine.localOnline + engine.localBatch + engine.peerOnline + engine.peerBatch
}

// onlineLoad returns the number of online requests at the engine. Unaccounted load counts as online, since it may be online
// requests of a process that is partitioned from this one: if it counted as batch items, an online request could be placed
// at an engine where no preemption frees a slot for it. If it is batch items after all, the request preempts known ones or
// is queued or rejected; the unaccounted ones are worth no more than the known ones.
func (engine *engine) onlineLoad(now time.Time) int {
	return engine.load(now) - engine.localBatch - engine.peerBatch
}

// waiter is an online request in the queue.
type waiter struct {
	ticket  int
	request Request
}

// Pool holds the engines that a process may use, their load as far as the process knows it, and the process's queue of
// online requests. It must not be used concurrently. Self and Random must be set before use.
type Pool struct {
	Self         string     // member ID of this process, under which peers apply its load counts
	Random       *rand.Rand // source of the random choices among engines
	BatchBacklog bool       // batch items of this process wait for a slot

	engines          map[uint64]*engine   // by digest
	enginesByService map[string][]*engine // pick reorders each list
	changed          map[uint64]*engine   // to be checked by Preemptions: load changed since its last call or exceeded the slots then
	peerCounts       map[string][]Counts  // latest load counts by peer
	backlogPeers     map[string]bool      // peers with a batch backlog
	processHashes    map[string]uint64    // hashes of member IDs, for slotPriority
	limits           map[uint64]*limited  // what engines said of their limits, by digest; kept while the store does not list them
	buckets          map[uint64]*bucket   // of the engines whose limits this process owns, by digest
	demands          map[string]*demand   // by service
	leaving          map[uint64]time.Time // when engines said that they leave, by digest; kept while the store does not list them
	queue            []waiter             // waiting online requests, by deadline
	lastTicket       int
	releaseRate      float64   // online slots per second that this process released, averaged over rateWindow
	releaseRateAt    time.Time // when releaseRate was last updated
}

// SetEngines replaces the engines that may be used. Engines that were known before keep their load and failures.
func (pool *Pool) SetEngines(engines []fleet.Engine) {
	next := make(map[uint64]*engine, len(engines))
	for _, descriptor := range engines {
		digest := descriptor.Digest()
		registered, ok := pool.engines[digest]
		if !ok {
			registered = &engine{digest: digest}
		}
		registered.Engine = descriptor
		if registered.Slots <= 0 {
			registered.Slots = defaultSlots
		}
		next[digest] = registered
	}
	pool.engines, pool.enginesByService, pool.changed = next, map[string][]*engine{}, maps.Clone(next)
	for _, digest := range slices.Sorted(maps.Keys(next)) { // in a fixed order, so that equal seeds give equal choices
		service := next[digest].Service
		pool.enginesByService[service] = append(pool.enginesByService[service], next[digest])
	}
	for _, engine := range next {
		engine.peerOnline, engine.peerBatch, engine.peerEjections, engine.peersSayLeaving, engine.batchByPeer = 0, 0, 0, 0, map[string]int{}
	}
	for peer, counts := range pool.peerCounts {
		pool.addCounts(peer, counts, 1)
	}
}

// ApplyCounts replaces the load counts of a peer. Nil counts remove the peer.
func (pool *Pool) ApplyCounts(peer string, counts []Counts) {
	if pool.peerCounts == nil {
		pool.peerCounts, pool.backlogPeers = map[string][]Counts{}, map[string]bool{}
	}
	pool.addCounts(peer, pool.peerCounts[peer], -1)
	delete(pool.backlogPeers, peer)
	if counts == nil {
		delete(pool.peerCounts, peer)
		delete(pool.processHashes, peer)
		return
	}
	pool.peerCounts[peer] = counts
	pool.addCounts(peer, counts, 1)
	if slices.ContainsFunc(counts, func(count Counts) bool { return count.Engine == backlogDigest }) {
		pool.backlogPeers[peer] = true
	}
}

// addCounts adds a peer's load counts, multiplied by sign, to the load of the engines.
func (pool *Pool) addCounts(peer string, counts []Counts, sign int) {
	for _, count := range counts {
		if engine, ok := pool.engines[count.Engine^leavingMark]; ok {
			engine.peersSayLeaving += sign
		}
		engine, ok := pool.engines[count.Engine]
		if !ok {
			continue
		}
		engine.peerOnline += sign * count.Online
		engine.peerBatch += sign * count.Batch
		if count.Ejected {
			engine.peerEjections += sign
		}
		if engine.batchByPeer[peer] += sign * count.Batch; engine.batchByPeer[peer] == 0 {
			delete(engine.batchByPeer, peer)
		}
		pool.changed[count.Engine] = engine
	}
}

// RecordReporterLoad records the number of requests at the engine with the given address, as sent by the reporter on the
// engine's VM.
func (pool *Pool) RecordReporterLoad(address string, requests int) {
	for _, engine := range pool.engines {
		if engine.Address == address {
			engine.unaccountedSamples[engine.reportCount%reportWindow] = requests - engine.countedLoad()
			engine.reportCount++
			pool.changed[engine.digest] = engine
		}
	}
}

// LocalCounts returns the load counts of this process, to be sent to its peers, sorted by engine digest.
func (pool *Pool) LocalCounts(now time.Time) (counts []Counts) {
	for digest, engine := range pool.engines {
		if pool.isLeaving(now, digest) {
			counts = append(counts, Counts{Engine: digest ^ leavingMark})
		}
		isEjected := now.Before(engine.ejectedUntil)
		if engine.localOnline > 0 || engine.localBatch > 0 || isEjected {
			counts = append(counts, Counts{Engine: digest, Online: engine.localOnline, Batch: engine.localBatch, Ejected: isEjected})
		}
	}
	if pool.BatchBacklog {
		counts = append(counts, Counts{Engine: backlogDigest})
	}
	slices.SortFunc(counts, func(a, b Counts) int { return cmp.Compare(a.Engine, b.Engine) })
	return counts
}

// health is the state of an engine in outlier ejection.
type health uint8

const (
	healthy   health = iota
	suspected        // ejected by at least suspectQuorum peers, or leaving as a peer says, but not ejected by this process
	ejected          // ejected by this process
)

// health returns the state of the engine at the given time.
func (engine *engine) health(now time.Time) health {
	switch {
	case now.Before(engine.ejectedUntil):
		return ejected
	case engine.peerEjections >= suspectQuorum, engine.peersSayLeaving > 0:
		return suspected
	}
	return healthy
}

// pick draws random engines of the request's service that have the given health until it has drawn the given number of
// choices that fit, and returns the one of these with the least load, or nil if none fits. Among equally loaded engines it
// prefers the request's failure domain. It skips draining and excluded engines. It also returns the number of eligible
// engines that it has drawn, whether they fit or not.
func (pool *Pool) pick(now time.Time, request Request, health health, choices int, fits func(*engine) bool, load func(*engine) int) (chosen *engine, eligible int) {
	engines := pool.enginesByService[request.Service]
	fitting := 0
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
		if chosen == nil || load(candidate) < load(chosen) || load(candidate) == load(chosen) && candidate.FailureDomain == request.Domain {
			chosen = candidate
		}
		if fitting++; fitting == choices {
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
	return !candidate.Draining && !pool.isLeaving(now, candidate.digest) && candidate.health(now) == health && !slices.Contains(request.Excluded, candidate.digest)
}

// AcquireOnline places an online request: at an engine with a free slot, else at one where it preempts a batch item,
// else in the queue. The request is rejected if no engine can run it or if it would wait beyond its deadline.
func (pool *Pool) AcquireOnline(now time.Time, request Request) (decision Decision) {
	pool.countDemand(now, request.Service)
	decision, ok := pool.acquireSlot(now, request)
	if ok {
		return decision
	}
	decision.Limited = pool.limitedCandidates(now, request)
	if decision.Candidates == 0 {
		return Decision{RetryAfter: maxRetryAfter, Reason: "no engine", Waiting: len(pool.queue)}
	}
	wait := pool.EstimateWait(now)
	if now.Add(wait).After(request.Deadline) {
		return Decision{RetryAfter: retryAfter(wait), Reason: "queue drains too late", Candidates: decision.Candidates, Limited: decision.Limited, Waiting: len(pool.queue)}
	}
	pool.lastTicket++
	pool.queue = append(pool.queue, waiter{ticket: pool.lastTicket, request: request})
	slices.SortStableFunc(pool.queue, func(a, b waiter) int { return a.request.Deadline.Compare(b.request.Deadline) })
	return Decision{Ticket: pool.lastTicket}
}

// acquireSlot takes a slot for an online request: a free one, else one of a batch item to be preempted. It uses suspected
// engines only if no healthy one has a free or preemptible slot, and ejected engines only if there are no others.
func (pool *Pool) acquireSlot(now time.Time, request Request) (decision Decision, ok bool) {
	free := func(engine *engine) bool { return engine.load(now) < engine.Slots && pool.hasToken(now, engine) }
	preemptible := func(engine *engine) bool { return engine.onlineLoad(now) < engine.Slots && pool.hasToken(now, engine) }
	load := func(engine *engine) int { return engine.load(now) + pool.reluctance(engine) }
	onlineLoad := func(engine *engine) int { return engine.onlineLoad(now) }
	decision.Waiting = len(pool.queue)
	for _, health := range []health{healthy, suspected, ejected} {
		if health == ejected && (request.SkipEjected || decision.Candidates > 0) {
			break
		}
		chosen, eligible := pool.pick(now, request, health, onlineChoices, free, load)
		decision.Candidates += eligible
		if health == healthy {
			if cached := pool.pickCached(now, request, free, preemptible); cached != nil {
				chosen = cached
			}
		}
		if chosen == nil && eligible > 0 {
			chosen, _ = pool.pick(now, request, health, onlineChoices, preemptible, onlineLoad)
		}
		if chosen == nil {
			continue
		}
		decision.Engine, decision.Admitted, decision.Load = chosen.Engine, true, chosen.load(now)
		decision.Urgent = decision.Load >= chosen.Slots || chosen.peerBatch > 0 && decision.Load+1 >= chosen.Slots
		pool.takeToken(now, chosen)
		chosen.localOnline++
		pool.changed[chosen.digest] = chosen
		return decision, true
	}
	return decision, false
}

// Serves reports whether an engine of a build takes requests.
func (pool *Pool) Serves(now time.Time, build fleet.Build) bool {
	return slices.ContainsFunc(pool.enginesByService[build.Service], func(engine *engine) bool {
		return engine.SoftwareVersion == build.Version && !engine.Draining && !pool.isLeaving(now, engine.digest)
	})
}

// Overloaded reports whether the known load of an engine exceeds its slots, so that requests may have to wait at the
// engine. It is false for an unknown engine.
func (pool *Pool) Overloaded(now time.Time, descriptor fleet.Engine) bool {
	engine, ok := pool.engines[descriptor.Digest()]
	return ok && engine.load(now) > engine.Slots
}

// EstimateWait estimates how long one more request would wait in the queue, from the rate at which this process has
// released slots lately.
func (pool *Pool) EstimateWait(now time.Time) time.Duration {
	rate := pool.releaseRate
	if pool.releaseRateAt.IsZero() {
		rate = initialReleaseRate
	} else {
		rate *= decay(now.Sub(pool.releaseRateAt))
	}
	rate = max(rate, 1)
	return time.Duration(float64(len(pool.queue)+1) / rate * float64(time.Second))
}

// retryAfter returns the delay after which a caller should retry if the estimated wait in the queue is wait.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// decay returns the weight, from 1 down to 0, of a rate that was measured elapsed ago.
func decay(elapsed time.Duration) float64 {
	return 1 / (1 + max(0, elapsed.Seconds())/rateWindow.Seconds())
}

// AcquireBatch places a batch item at the least loaded healthy engine that still has batchHeadroom slots free afterwards.
// It places none while online requests wait in the queue.
func (pool *Pool) AcquireBatch(now time.Time, request Request) (chosen fleet.Engine, ok bool) {
	if len(pool.queue) > 0 {
		return chosen, false
	}
	hasRoom := func(engine *engine) bool {
		return pool.mayStartBatch(now, engine) && now.Sub(engine.overloadedAt) >= batchCooldown && pool.hasToken(now, engine)
	}
	load := func(engine *engine) int { return engine.load(now) }
	leastLoaded, _ := pool.pick(now, request, healthy, len(pool.engines), hasRoom, load)
	if leastLoaded == nil {
		return chosen, false
	}
	pool.takeToken(now, leastLoaded)
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

// Release returns a slot that an online request or a batch item held at an engine.
func (pool *Pool) Release(now time.Time, descriptor fleet.Engine, batch bool) {
	engine, ok := pool.engines[descriptor.Digest()]
	if ok && batch {
		engine.localBatch = max(0, engine.localBatch-1)
	} else if ok {
		engine.localOnline = max(0, engine.localOnline-1)
	}
	if batch {
		return
	}
	if pool.releaseRateAt.IsZero() {
		pool.releaseRate = initialReleaseRate
	} else {
		weight := decay(now.Sub(pool.releaseRateAt))
		pool.releaseRate = pool.releaseRate*weight + 1/rateWindow.Seconds()*weight
	}
	pool.releaseRateAt = now
}

// RecordFailure ejects an engine that closed a connection early, did not accept one, or sent nothing within the idle
// timeout. It returns the end of the ejection and the number of consecutive failures, or zero values for an unknown engine.
func (pool *Pool) RecordFailure(now time.Time, descriptor fleet.Engine) (until time.Time, failures int) {
	engine, ok := pool.engines[descriptor.Digest()]
	if !ok {
		return time.Time{}, 0
	}
	ejection := min(maxEjection, baseEjection<<min(engine.consecutiveFailures, 8))
	engine.consecutiveFailures++
	if until := now.Add(ejection); until.After(engine.ejectedUntil) {
		engine.ejectedUntil = until
	}
	return engine.ejectedUntil, engine.consecutiveFailures
}

// RecordResponseLoad records the number of requests that an engine reported in the header of a response to this process.
// If rejected is set, the engine rejected that request and did not count it. The result is true if all slots are taken.
func (pool *Pool) RecordResponseLoad(now time.Time, descriptor fleet.Engine, requests int, rejected bool) (full bool) {
	engine, ok := pool.engines[descriptor.Digest()]
	if !ok {
		return false
	}
	engine.responseLoad, engine.responseLoadAt, engine.localAtResponse = requests, now, engine.localLoad()
	if rejected {
		engine.localAtResponse--
	}
	pool.changed[engine.digest] = engine
	return requests >= engine.Slots
}

// RecordReplaced ejects an engine that won't return, because another engine now has its address. It returns the end of the
// ejection, or the zero time for an unknown engine.
func (pool *Pool) RecordReplaced(now time.Time, descriptor fleet.Engine) (until time.Time) {
	if engine, ok := pool.engines[descriptor.Digest()]; ok {
		engine.ejectedUntil = now.Add(replacedEjection)
		return engine.ejectedUntil
	}
	return time.Time{}
}

// RecordLeaving records that an engine has said that it leaves. It gets no work of this process from then on, also if it is listed as
// ready. It reports whether that is new.
func (pool *Pool) RecordLeaving(now time.Time, descriptor fleet.Engine) (news bool) {
	digest := descriptor.Digest()
	if pool.isLeaving(now, digest) {
		return false
	}
	if pool.leaving == nil {
		pool.leaving = map[uint64]time.Time{}
	}
	maps.DeleteFunc(pool.leaving, func(digest uint64, _ time.Time) bool { return !pool.isLeaving(now, digest) })
	pool.leaving[digest] = now
	return true
}

// isLeaving reports whether an engine has said to this process that it leaves.
func (pool *Pool) isLeaving(now time.Time, digest uint64) bool {
	since, ok := pool.leaving[digest]
	return ok && now.Sub(since) < leavingLifetime
}

// Leaves reports whether an engine can be expected to end by itself: it drains, has said that it leaves, or is not listed any longer.
func (pool *Pool) Leaves(now time.Time, descriptor fleet.Engine) bool {
	engine, ok := pool.engines[descriptor.Digest()]
	return !ok || engine.Draining || engine.peersSayLeaving > 0 || pool.isLeaving(now, engine.digest)
}

// RecordSuccess records that an engine answered correctly, and ends its ejection by this process.
func (pool *Pool) RecordSuccess(descriptor fleet.Engine) {
	if engine, ok := pool.engines[descriptor.Digest()]; ok {
		engine.consecutiveFailures, engine.ejectedUntil = 0, time.Time{}
	}
}

// ProcessQueue places the requests in the queue, those with the earliest deadline first, and rejects those whose deadline
// was exceeded. It returns the decisions.
func (pool *Pool) ProcessQueue(now time.Time) (grants []Grant) {
	kept := pool.queue[:0]
	full := map[string]bool{} // services without a slot for any request
	for _, waiter := range pool.queue {
		var decision Decision
		ok := false
		if !full[waiter.request.Service] {
			decision, ok = pool.acquireSlot(now, waiter.request)
			full[waiter.request.Service] = !ok && waiter.request.Only == 0 && len(waiter.request.Excluded) == 0 && waiter.request.Version == "" && !waiter.request.SkipEjected
		}
		switch {
		case ok:
			grants = append(grants, Grant{Ticket: waiter.ticket, Decision: decision})
		case now.After(waiter.request.Deadline):
			decision = Decision{RetryAfter: retryAfter(pool.EstimateWait(now)), Reason: "no slot in time", Candidates: decision.Candidates, Limited: pool.limitedCandidates(now, waiter.request), Waiting: len(pool.queue)}
			grants = append(grants, Grant{Ticket: waiter.ticket, Decision: decision})
		default:
			kept = append(kept, waiter)
		}
	}
	pool.queue = kept
	return grants
}

// Cancel removes a request from the queue and reports whether it was still there.
func (pool *Pool) Cancel(ticket int) bool {
	before := len(pool.queue)
	pool.queue = slices.DeleteFunc(pool.queue, func(waiter waiter) bool { return waiter.ticket == ticket })
	return len(pool.queue) < before
}

// QueueLength returns the number of online requests in the queue.
func (pool *Pool) QueueLength() int { return len(pool.queue) }

// Preemptions returns, by engine digest, how many batch items this process must preempt. The load that exceeds an engine's
// slots is charged to the processes with batch items there by slot priority, which all of them compute alike, so that two
// items are not preempted for the same request.
func (pool *Pool) Preemptions(now time.Time) (preemptions map[uint64]int) {
	for digest, engine := range pool.changed {
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
