package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipway/core/coordination/cost"
	"cowslipway/core/coordination/shares"
	"cowslipway/core/coordination/speed"
	"cowslipway/core/state/fleet"
)

const (
	defaultSlots = 8 // for an engine whose registration gives no number of slots
)

// Request describes an online request or a batch item that needs a slot.
type Request struct {
	Service  string    // service whose engines can run the request
	Version  string    // software version that the engine must have, to resume a stream; empty if it may have any
	Domain   string    // failure domain preferred among equally loaded engines
	Only     uint64    // digest of the only engine that may be chosen; 0 if any may be
	Excluded []uint64  // digests of engines that must not be chosen
	Deadline time.Time // latest useful start of an online request
	Due      time.Time // by which a batch item should be done; zero if that is unknown
	Prefix   Prefix    // shared part of the prompt of an online request
	Account  string    // client account of an online request; empty if there are no accounts
	Weight   float64   // share of the account relative to those of other accounts; 0 means 1
	Priority int       // 0 is the most urgent
	// Usage is what the account has been granted lately by all processes together, relative to its limit, if UsageKnown is set.
	Usage      float64
	UsageKnown bool
	// Work is the expected time in a slot of an engine of usual speed; 0 means unknown.
	Work time.Duration
	// SkipEjected keeps the request from engines that this process has ejected, also if there are no others. It is set for a request that
	// runs already, and is as likely to go on where it is.
	SkipEjected bool
	// Repeatable says that the request may be sent to another engine if this one fails, so that it may try an engine that failed before.
	Repeatable bool
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
	Candidates int           // engines that could have been chosen
	Limited    int           // engines with room that could not be chosen because of their limits
	Load       int           // known load of the chosen engine before this request
	Waiting    int           // requests in the queue of this process
	Belief     speed.Belief  // what was believed of the chosen engine's speed
	Work       time.Duration // expected of the request, from Request.Work
}

// Grant is the decision on a request that waited in the queue.
type Grant struct {
	Ticket   int // Decision.Ticket that AcquireOnline returned for the request
	Decision Decision
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
	queue            []waiter             // waiting online requests, in the order of sortQueue
	shares           shares.Tracker       // of accounts
	lastTicket       int
	releaseRate      float64   // online slots per second that this process released, averaged over rateWindow
	releaseRateAt    time.Time // when releaseRate was last updated
	kinds            speed.Kinds
	outputs          cost.Kinds
	released         []*engine            // engines at which this process has released a slot since its latest load counts
	speedNews        map[uint64]bool      // digests of the engines of which peers have not been sent all observations
	alike            map[string]alike     // by service
	uneven           map[string]time.Time // when an engine was last found to differ in speed, by service
	reserves         map[string]*reserve  // of the services that have engines with no more slots than batchHeadroom
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
		engine.peerOnline, engine.peerBatch, engine.peerEjections, engine.peersSayLeaving, engine.peersSaySound, engine.peersSayErring, engine.batchByPeer = 0, 0, 0, 0, 0, 0, map[string]int{}
		engine.peersSayLimited = 0
	}
	for peer, counts := range pool.peerCounts {
		pool.addCounts(peer, counts, 1)
	}
	pool.forgetReleases()
	pool.setReserves()
}
