package placement

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

const (
	suspectBase  = 300 * time.Millisecond // an engine that broke a connection is left alone for this long at first
	suspectLimit = 3 * time.Second        // and for at most this long; a crashed engine is back after some seconds
	gonePause    = 15 * time.Second       // an entry without renewal lapses after some seconds
	doubters     = 2                      // processes that an engine has failed: one may be cut off from it, or unlucky
	reportsKept  = 3                      // 120 ms of an engine's reports
	toldFor      = 100 * time.Millisecond // counts of others take about that long in a large fleet, and tell the same then
	// onlineChoices is two, so that processes do not herd on one engine while the counts of the others are under way.
	onlineChoices = 2
	batchHeadroom = 1 // slots of an engine that batch leaves free for the next online request
	defaultSlots  = 8 // of an engine whose entry names none
	// hearingPeriod is what counts may take to be with all others: 25 ms, 75 among 100 members, and once more if one is lost.
	hearingPeriod = 150 * time.Millisecond
	// batchCooldown keeps batch items away from an engine that had more work than slots: online requests come in
	// bursts of some seconds, and an item that is cut at once has only cost a connection and the reading of its prompt.
	batchCooldown  = 700 * time.Millisecond
	rateWindow     = time.Second           // over which the rate of releases is averaged
	firstRateGuess = 20                    // releases a second before any was seen: two engines' worth
	minRetryAfter  = 50 * time.Millisecond // below that a caller would be back before a slot is
	maxRetryAfter  = 1500 * time.Millisecond
)

// backlogEngine stands in a process's counts where its batch items wait for a slot. No engine has that digest.
const backlogEngine = 0

// Counts is the work of one process at one engine.
type Counts struct {
	Engine  uint64 // fleet.Engine.Digest
	Online  int
	Batch   int
	Ejected bool // it has failed the process lately
}

// Request describes a request that is to be placed.
type Request struct {
	Service  string
	Domain   string // preferred where it costs no time
	Excluded []uint64
	Deadline time.Time // waiting beyond it serves nobody
}

// Decision is the answer to an online request.
type Decision struct {
	Engine     fleet.Engine
	Admitted   bool
	Urgent     bool // a batch item has to give way, now or for the next request: its owners are to hear of this one at once
	Ticket     int  // of a request that waits; 0 where it doesn't
	RetryAfter time.Duration
	Reason     string // of a refusal

	// What it was made from, for the log.
	Candidates int // engines that could have been chosen
	Load       int // at the chosen engine before, as far as known
	Waiting    int // requests in the queue of this process
}

// Grant is a place for a request that waited.
type Grant struct {
	Ticket   int
	Decision Decision
}

type engine struct {
	fleet.Engine

	digest       uint64
	online       int // of this process
	batch        int
	otherOnline  int // of the others, by their last word
	otherBatch   int
	batchOf      map[string]int // batch items of the others, by process
	suspectOf    int            // others whom it has failed lately
	failures     int            // in a row
	suspectUntil time.Time
	crowdedAt    time.Time        // when it last had more work than slots
	unknown      [reportsKept]int // work beyond what is known of, at each of the last reports
	reports      int
	told         int       // requests that the engine said that it had
	toldAt       time.Time // when it said so
	toldOwn      int       // of them this process's
	begun        int       // batch items of this process, lately
	begunAt      time.Time // the last of them
}

// unaccounted is work at the engine that no process has told of, such as that of one which is cut off from this one. A single
// report proves none: the counts are a little older or newer than it.
func (engine *engine) unaccounted() int {
	if engine.reports < reportsKept {
		return 0
	}
	return max(0, slices.Min(engine.unknown[:]))
}

// total is the work at the engine as far as known: what processes have told of, or what the engine itself has said just
// now with what this process has begun and ended there since. Either may be behind; the larger one is taken.
func (engine *engine) total(now time.Time) int {
	total := engine.counted() + engine.unaccounted()
	if now.Sub(engine.toldAt) < toldFor {
		total = max(total, engine.told+engine.own()-engine.toldOwn)
	}
	return total
}

// own is the work of this process.
func (engine *engine) own() int { return engine.online + engine.batch }

// counted is the work that processes have told of.
func (engine *engine) counted() int {
	return engine.online + engine.batch + engine.otherOnline + engine.otherBatch
}

// allOnline takes unaccounted work as online, since batch items of others are never worth more.
func (engine *engine) allOnline(now time.Time) int {
	return engine.total(now) - engine.batch - engine.otherBatch
}

type waiter struct {
	ticket int
	want   Request
}

// Pool is the state of the decisions of one process.
type Pool struct {
	Self         string // the name under which the others hear this process's counts
	Random       *rand.Rand
	BatchBacklog bool // batch items of this process wait for a slot

	engines  map[uint64]*engine
	services map[string][]*engine // the same, by service; their order changes with each choice
	touched  map[uint64]*engine   // whose work has changed since the last look for preemptions, or was too much then
	peers    map[string][]Counts
	hungry   map[string]bool   // peers whose batch items wait for a slot
	hashes   map[string]uint64 // of the names of processes
	waiting  []waiter          // those who have to be placed first in front
	tickets  int
	rate     float64 // of own releases, a second
	rateAt   time.Time
}

// SetEngines replaces the engines that may be used; counts of those that stay are kept.
func (pool *Pool) SetEngines(engines []fleet.Engine) {
	next := make(map[uint64]*engine, len(engines))
	for _, described := range engines {
		digest := described.Digest()
		known, ok := pool.engines[digest]
		if !ok {
			known = &engine{digest: digest}
		}
		known.Engine = described
		if known.Slots <= 0 {
			known.Slots = defaultSlots
		}
		next[digest] = known
	}
	pool.engines, pool.services, pool.touched = next, map[string][]*engine{}, maps.Clone(next)
	for _, digest := range slices.Sorted(maps.Keys(next)) { // so that equal seeds choose alike
		service := next[digest].Service
		pool.services[service] = append(pool.services[service], next[digest])
	}
	for _, engine := range next {
		engine.otherOnline, engine.otherBatch, engine.suspectOf, engine.batchOf = 0, 0, 0, map[string]int{}
	}
	for peer, counts := range pool.peers {
		pool.add(peer, counts, 1)
	}
}

// ApplyCounts takes in the counts of another process; nil forgets it.
func (pool *Pool) ApplyCounts(peer string, counts []Counts) {
	if pool.peers == nil {
		pool.peers, pool.hungry = map[string][]Counts{}, map[string]bool{}
	}
	pool.add(peer, pool.peers[peer], -1)
	delete(pool.hungry, peer)
	if counts == nil {
		delete(pool.peers, peer)
		delete(pool.hashes, peer)
		return
	}
	pool.peers[peer] = counts
	pool.add(peer, counts, 1)
	if slices.ContainsFunc(counts, func(count Counts) bool { return count.Engine == backlogEngine }) {
		pool.hungry[peer] = true
	}
}

// add adds a peer's counts to the engines' sums, sign times.
func (pool *Pool) add(peer string, counts []Counts, sign int) {
	for _, count := range counts {
		engine, ok := pool.engines[count.Engine]
		if !ok {
			continue
		}
		engine.otherOnline += sign * count.Online
		engine.otherBatch += sign * count.Batch
		if count.Ejected {
			engine.suspectOf += sign
		}
		if engine.batchOf[peer] += sign * count.Batch; engine.batchOf[peer] == 0 {
			delete(engine.batchOf, peer)
		}
		pool.touched[count.Engine] = engine
	}
}

// RecordReporterLoad takes in how many requests an engine says that it has, at an address.
func (pool *Pool) RecordReporterLoad(address string, requests int) {
	for _, engine := range pool.engines {
		if engine.Address == address {
			engine.unknown[engine.reports%reportsKept] = requests - engine.counted()
			engine.reports++
			pool.touched[engine.digest] = engine
		}
	}
}

// LocalCounts returns the counts of this process, for the others.
func (pool *Pool) LocalCounts(now time.Time) (counts []Counts) {
	for digest, engine := range pool.engines {
		suspect := now.Before(engine.suspectUntil)
		if engine.online > 0 || engine.batch > 0 || suspect {
			counts = append(counts, Counts{Engine: digest, Online: engine.online, Batch: engine.batch, Ejected: suspect})
		}
	}
	if pool.BatchBacklog {
		counts = append(counts, Counts{Engine: backlogEngine})
	}
	slices.SortFunc(counts, func(a, b Counts) int { return cmp.Compare(a.Engine, b.Engine) })
	return counts
}

// standing says how much an engine is trusted.
type standing uint8

const (
	trusted    standing = iota
	doubted             // it has failed some of the others lately, and not this process
	distrusted          // it has failed this process lately
)

func (engine *engine) standing(now time.Time) standing {
	switch {
	case now.Before(engine.suspectUntil):
		return distrusted
	case engine.suspectOf >= doubters:
		return doubted
	}
	return trusted
}

// pick returns the best of so many random engines of a standing that fit. It looks no further than it has to; eligible is
// the number of engines that it has seen, whether they fit or not.
func (pool *Pool) pick(now time.Time, want Request, standing standing, choices int, fits func(*engine) bool, load func(*engine) int) (chosen *engine, eligible int) {
	engines := pool.services[want.Service]
	fitting := 0
	for position := range engines {
		other := position + pool.Random.IntN(len(engines)-position)
		engines[position], engines[other] = engines[other], engines[position]
		candidate := engines[position]
		if candidate.Draining || candidate.standing(now) != standing || slices.Contains(want.Excluded, candidate.digest) {
			continue
		}
		eligible++
		if !fits(candidate) {
			continue
		}
		if chosen == nil || load(candidate) < load(chosen) || load(candidate) == load(chosen) && candidate.FailureDomain == want.Domain {
			chosen = candidate
		}
		if fitting++; fitting == choices {
			break
		}
	}
	return chosen, eligible
}

// AcquireOnline places an online request: at an engine with a free slot, else where a batch item can give way, else in
// the queue, unless the queue drains too late for it.
func (pool *Pool) AcquireOnline(now time.Time, want Request) (decision Decision) {
	decision, ok := pool.place(now, want)
	if ok {
		return decision
	}
	if decision.Candidates == 0 {
		return Decision{RetryAfter: maxRetryAfter, Reason: "no engine", Waiting: len(pool.waiting)}
	}
	drain := pool.EstimateWait(now)
	if now.Add(drain).After(want.Deadline) {
		return Decision{RetryAfter: retryAfter(drain), Reason: "queue drains too late", Candidates: decision.Candidates, Waiting: len(pool.waiting)}
	}
	pool.tickets++
	pool.waiting = append(pool.waiting, waiter{ticket: pool.tickets, want: want})
	slices.SortStableFunc(pool.waiting, func(a, b waiter) int { return a.want.Deadline.Compare(b.want.Deadline) })
	return Decision{Ticket: pool.tickets}
}

// place takes a slot for a request: a free one, else one where a batch item can give way. Engines that have failed this
// process are chosen only where there are no others; those that failed others, where the rest is full.
func (pool *Pool) place(now time.Time, want Request) (decision Decision, ok bool) {
	free := func(engine *engine) bool { return engine.total(now) < engine.Slots }
	preemptible := func(engine *engine) bool { return engine.allOnline(now) < engine.Slots }
	total := func(engine *engine) int { return engine.total(now) }
	allOnline := func(engine *engine) int { return engine.allOnline(now) }
	decision.Waiting = len(pool.waiting)
	for _, standing := range []standing{trusted, doubted, distrusted} {
		if standing == distrusted && decision.Candidates > 0 {
			break
		}
		chosen, eligible := pool.pick(now, want, standing, onlineChoices, free, total)
		decision.Candidates += eligible
		if chosen == nil && eligible > 0 {
			chosen, _ = pool.pick(now, want, standing, onlineChoices, preemptible, allOnline)
		}
		if chosen == nil {
			continue
		}
		decision.Engine, decision.Admitted, decision.Load = chosen.Engine, true, chosen.total(now)
		decision.Urgent = decision.Load >= chosen.Slots || chosen.otherBatch > 0 && decision.Load+1 >= chosen.Slots
		chosen.online++
		pool.touched[chosen.digest] = chosen
		return decision, true
	}
	return decision, false
}

// Overloaded reports whether an engine has more work than slots as far as known, so that it may leave a request waiting.
func (pool *Pool) Overloaded(now time.Time, chosen fleet.Engine) bool {
	engine, ok := pool.engines[chosen.Digest()]
	return ok && engine.total(now) > engine.Slots
}

// EstimateWait estimates how long one more request would wait, from the rate at which slots became free lately.
func (pool *Pool) EstimateWait(now time.Time) time.Duration {
	rate := pool.rate
	if pool.rateAt.IsZero() {
		rate = firstRateGuess
	} else {
		rate *= decay(now.Sub(pool.rateAt))
	}
	rate = max(rate, 1)
	return time.Duration(float64(len(pool.waiting)+1) / rate * float64(time.Second))
}

// retryAfter is when a caller is to come back to a queue that takes drain to empty.
func retryAfter(drain time.Duration) time.Duration {
	return min(max(drain, minRetryAfter), maxRetryAfter)
}

func decay(passed time.Duration) float64 {
	return 1 / (1 + max(0, passed.Seconds())/rateWindow.Seconds())
}

// AcquireBatch places a batch item at the emptiest engine, which keeps some slots free for online requests.
func (pool *Pool) AcquireBatch(now time.Time, want Request) (chosen fleet.Engine, ok bool) {
	if len(pool.waiting) > 0 {
		return chosen, false
	}
	roomy := func(engine *engine) bool {
		return pool.mine(now, engine) && now.Sub(engine.crowdedAt) >= batchCooldown
	}
	total := func(engine *engine) int { return engine.total(now) }
	emptiest, _ := pool.pick(now, want, trusted, len(pool.engines), roomy, total)
	if emptiest == nil {
		return chosen, false
	}
	emptiest.begun = emptiest.begunSince(now) + 1
	emptiest.begunAt = now
	emptiest.batch++
	pool.touched[emptiest.digest] = emptiest
	return emptiest.Engine, true
}

// mine reports whether this process may take one more slot of an engine for a batch item. The processes whose items wait
// share the free ones in turns, in an order that they all know: those that have not heard of each other's items yet
// don't take the same slot.
func (pool *Pool) mine(now time.Time, engine *engine) bool {
	free := engine.Slots - batchHeadroom - engine.total(now)
	if free <= 0 {
		return false
	}
	rank, own := 0, pool.order(pool.Self, engine.digest)
	for peer := range pool.hungry {
		if pool.order(peer, engine.digest) < own {
			rank++
		}
	}
	begun := engine.begunSince(now)
	return begun*(len(pool.hungry)+1)+rank < free+begun
}

// begunSince is the number of batch items that this process has begun at the engine and the others may not know of yet.
func (engine *engine) begunSince(now time.Time) int {
	if now.Sub(engine.begunAt) >= hearingPeriod {
		return 0
	}
	return engine.begun
}

// Release gives a slot back.
func (pool *Pool) Release(now time.Time, chosen fleet.Engine, batch bool) {
	engine, ok := pool.engines[chosen.Digest()]
	if ok && batch {
		engine.batch = max(0, engine.batch-1)
	} else if ok {
		engine.online = max(0, engine.online-1)
	}
	if batch {
		return
	}
	if pool.rateAt.IsZero() {
		pool.rate = firstRateGuess
	} else {
		kept := decay(now.Sub(pool.rateAt))
		pool.rate = pool.rate*kept + 1/rateWindow.Seconds()*kept
	}
	pool.rateAt = now
}

// RecordFailure records that an engine broke a connection, did not take one or stayed silent. It returns until when the engine
// gets no work, and its failures in a row; the zero time where it is not known.
func (pool *Pool) RecordFailure(now time.Time, chosen fleet.Engine) (until time.Time, failures int) {
	engine, ok := pool.engines[chosen.Digest()]
	if !ok {
		return time.Time{}, 0
	}
	pause := min(suspectLimit, suspectBase<<min(engine.failures, 8))
	engine.failures++
	if until := now.Add(pause); until.After(engine.suspectUntil) {
		engine.suspectUntil = until
	}
	return engine.suspectUntil, engine.failures
}

// RecordAnswerLoad takes in how many requests an engine says that it has, in the head of an answer to this process. It returns whether
// the engine has no room for more; rejected says that it turned that request away, which is not among them.
func (pool *Pool) RecordAnswerLoad(now time.Time, chosen fleet.Engine, requests int, rejected bool) (full bool) {
	engine, ok := pool.engines[chosen.Digest()]
	if !ok {
		return false
	}
	engine.told, engine.toldAt, engine.toldOwn = requests, now, engine.own()
	if rejected {
		engine.toldOwn--
	}
	pool.touched[engine.digest] = engine
	return requests >= engine.Slots
}

// RecordReplaced records that another engine answers at the engine's address: it will not be back. It returns until when the
// engine gets no work; the zero time where it is not known.
func (pool *Pool) RecordReplaced(now time.Time, chosen fleet.Engine) (until time.Time) {
	if engine, ok := pool.engines[chosen.Digest()]; ok {
		engine.suspectUntil = now.Add(gonePause)
		return engine.suspectUntil
	}
	return time.Time{}
}

// RecordSuccess records that an engine answered as it should.
func (pool *Pool) RecordSuccess(chosen fleet.Engine) {
	if engine, ok := pool.engines[chosen.Digest()]; ok {
		engine.failures, engine.suspectUntil = 0, time.Time{}
	}
}

// ProcessQueue places waiting requests, those with the nearest limit first, and refuses those whose time is up.
func (pool *Pool) ProcessQueue(now time.Time) (grants []Grant) {
	kept := pool.waiting[:0]
	full := map[string]bool{} // services that have no slot for anybody
	for _, waiter := range pool.waiting {
		var decision Decision
		ok := false
		if !full[waiter.want.Service] {
			decision, ok = pool.place(now, waiter.want)
			full[waiter.want.Service] = !ok && len(waiter.want.Excluded) == 0
		}
		switch {
		case ok:
			grants = append(grants, Grant{Ticket: waiter.ticket, Decision: decision})
		case now.After(waiter.want.Deadline):
			decision = Decision{RetryAfter: retryAfter(pool.EstimateWait(now)), Reason: "no slot in time", Candidates: decision.Candidates, Waiting: len(pool.waiting)}
			grants = append(grants, Grant{Ticket: waiter.ticket, Decision: decision})
		default:
			kept = append(kept, waiter)
		}
	}
	pool.waiting = kept
	return grants
}

// Cancel takes a request out of the queue; it reports whether it was still there.
func (pool *Pool) Cancel(ticket int) bool {
	before := len(pool.waiting)
	pool.waiting = slices.DeleteFunc(pool.waiting, func(waiter waiter) bool { return waiter.ticket == ticket })
	return len(pool.waiting) < before
}

// QueueLength returns the length of the queue.
func (pool *Pool) QueueLength() int { return len(pool.waiting) }

// Preemptions returns how many of this process's batch items at each engine have to give their slot back. What is there
// beyond the engine's slots falls to the owners of its batch items in an order that all of them know, so that two
// items are not preempted for the same request.
func (pool *Pool) Preemptions(now time.Time) (preemptions map[uint64]int) {
	for digest, engine := range pool.touched {
		excess := engine.total(now) - engine.Slots
		if excess <= 0 {
			delete(pool.touched, digest)
			continue
		}
		engine.crowdedAt = now
		if engine.batch == 0 {
			continue
		}
		own := pool.order(pool.Self, digest)
		for peer, items := range engine.batchOf {
			if pool.order(peer, digest) < own {
				excess -= items
			}
		}
		if excess <= 0 {
			continue
		}
		if preemptions == nil {
			preemptions = map[uint64]int{}
		}
		preemptions[digest] = min(excess, engine.batch)
	}
	return preemptions
}

// BatchOwners returns the other processes that have told of batch items at an engine.
func (pool *Pool) BatchOwners(chosen fleet.Engine) (owners []string) {
	owners = []string{}
	if engine, ok := pool.engines[chosen.Digest()]; ok {
		owners = slices.AppendSeq(owners, maps.Keys(engine.batchOf))
	}
	return owners
}

// order is a process's place among those with batch items at an engine: who is last there is the last to start an item and
// the last to lose one. It differs from engine to engine, so that no process always comes first.
func (pool *Pool) order(process string, digest uint64) uint64 {
	hash, ok := pool.hashes[process]
	if !ok {
		if pool.hashes == nil {
			pool.hashes = map[string]uint64{}
		}
		hash = xxhash.Sum64String(process)
		pool.hashes[process] = hash
	}
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:8], hash)
	binary.BigEndian.PutUint64(pair[8:], digest)
	return xxhash.Sum64(pair[:])
}
