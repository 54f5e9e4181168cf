package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipway/core/coordination/speed"
	"cowslipway/core/state/fleet"
)

// previewDraws is the number of times that a request is placed for a preview, as each placement compares random engines.
const previewDraws = 64

// Preview is how this process would place a request now, and what it goes by.
type Preview struct {
	Admitted   bool          // an engine would run the request at once
	Queued     bool          // an online request would wait for a slot
	RetryAfter time.Duration // of a request that would be rejected
	Waiting    int           // online requests in the queue of this process
	Wait       time.Duration // estimated for one more request in the queue
	Uneven     bool          // engines differ in speed, so that the time that a request takes decides
	Engines    []Prospect    // all engines of the service, the likeliest first
}

// Prospect is what a Preview says of one engine.
type Prospect struct {
	Engine      fleet.Engine
	Share       float64 // of the requests like this one that would go to the engine, 0 to 1
	Obstacle    string  // why the engine would not be chosen; empty if it may be
	Load        int     // requests and items at the engine, as far as this process knows
	Batch       int     // batch items among them
	Unaccounted int     // requests that the engine's reporter counts and no process has reported
	// ReportedLoad is what the engine said in its latest response to this process, ReportAge ago; ReportAge is negative if it never did.
	ReportedLoad int
	ReportAge    time.Duration
	Belief       speed.Belief // of the engine's speed
	Failures     int          // consecutive ones that this process saw
}

// PreviewOnline returns how an online request would be placed now. It changes nothing.
func (pool *Pool) PreviewOnline(now time.Time, request Request) (preview Preview) {
	candidates := 0
	preview = pool.preview(now, request, func(pool *Pool) (engine fleet.Engine, ok bool) {
		decision, ok := pool.acquireSlot(now, request)
		candidates = decision.Candidates
		return decision.Engine, ok
	})
	switch {
	case preview.Admitted:
	case candidates == 0:
		preview.RetryAfter = maxRetryAfter
	case now.Add(preview.Wait).After(request.Deadline):
		preview.RetryAfter = retryAfter(preview.Wait)
	default:
		preview.Queued = true
	}
	return preview
}

// PreviewBatch returns how a batch item of this process would be placed now. It changes nothing.
func (pool *Pool) PreviewBatch(now time.Time, request Request) (preview Preview) {
	preview = pool.preview(now, request, func(pool *Pool) (engine fleet.Engine, ok bool) { return pool.AcquireBatch(now, request) })
	for index := range preview.Engines {
		prospect := &preview.Engines[index]
		keepsLast := prospect.Engine.Slots > batchHeadroom || !preview.Admitted
		if prospect.Obstacle == "" && keepsLast && prospect.Engine.Slots-prospect.Load <= batchHeadroom {
			prospect.Obstacle = "its last free slot is left to online requests"
		}
	}
	return preview
}

// preview places a request several times in a copy of pool, which is restored each time.
func (pool *Pool) preview(now time.Time, request Request, place func(*Pool) (engine fleet.Engine, ok bool)) (preview Preview) {
	preview = Preview{Waiting: len(pool.queue), Wait: pool.EstimateWait(now), Uneven: pool.isUneven(now, request.Service)}
	chosen := map[uint64]int{}
	examined := pool.copyForPreview(request.Service)
	for range previewDraws {
		engine, ok := place(examined)
		if !ok {
			break
		}
		preview.Admitted = true
		digest := engine.Digest()
		chosen[digest]++
		*examined.engines[digest] = *pool.engines[digest]
		examined.reserves = pool.copyReserves()
		if limited := pool.limits[digest]; limited != nil {
			examined.limits[digest] = limited.copied()
		}
	}
	for _, engine := range examined.enginesByService[request.Service] {
		reportAge := time.Duration(-1)
		if !engine.responseLoadAt.IsZero() {
			reportAge = now.Sub(engine.responseLoadAt)
		}
		preview.Engines = append(preview.Engines, Prospect{
			Engine: engine.Engine, Share: float64(chosen[engine.digest]) / previewDraws, Obstacle: examined.obstacle(now, engine, request),
			Load: engine.load(now), Batch: engine.localBatch + engine.peerBatch, Unaccounted: engine.unaccounted(),
			ReportedLoad: engine.responseLoad, ReportAge: reportAge, Belief: engine.speed.Believe(now), Failures: engine.consecutiveFailures,
		})
	}
	slices.SortFunc(preview.Engines, func(a, b Prospect) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(len(a.Obstacle), len(b.Obstacle)), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Engine.ID, b.Engine.ID))
	})
	return preview
}

// copyForPreview returns a copy of pool in which the engines of a service can be acquired without an effect on pool.
func (pool *Pool) copyForPreview(service string) (copied *Pool) {
	replica := *pool
	replica.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	replica.engines, replica.enginesByService, replica.changed = map[uint64]*engine{}, map[string][]*engine{}, map[uint64]*engine{}
	for _, original := range pool.enginesByService[service] {
		duplicate := *original
		replica.engines[duplicate.digest] = &duplicate
		replica.enginesByService[service] = append(replica.enginesByService[service], &duplicate)
	}
	replica.released = nil // the engines in it are those of pool
	for _, original := range pool.released {
		if duplicate := replica.engines[original.digest]; duplicate != nil {
			replica.released = append(replica.released, duplicate)
		}
	}
	replica.limits = make(map[uint64]*limited, len(pool.limits))
	for digest, original := range pool.limits {
		replica.limits[digest] = original.copied()
	}
	replica.reserves = pool.copyReserves()
	replica.uneven, replica.alike, replica.processHashes = maps.Clone(pool.uneven), maps.Clone(pool.alike), maps.Clone(pool.processHashes)
	return &replica
}

// copied returns a copy whose tokens can be used without an effect on known.
func (known *limited) copied() *limited {
	duplicate := *known
	duplicate.tokens = slices.Clone(known.tokens)
	return &duplicate
}

// obstacle returns why an engine would not be chosen for a request, or nothing if it may be.
func (pool *Pool) obstacle(now time.Time, engine *engine, request Request) string {
	switch {
	case engine.Draining:
		return "draining"
	case pool.isLeaving(now, engine.digest) || engine.peersSayLeaving > 0:
		return "it said that it leaves"
	case request.Version != "" && engine.SoftwareVersion != request.Version:
		return "software of version " + engine.SoftwareVersion
	case pool.mayErr(now, engine):
	case now.Before(engine.ejectedUntil):
		return "ejected after failures for another " + engine.ejectedUntil.Sub(now).Round(time.Millisecond).String()
	case pool.isDoubted(now, engine):
		return "it answered with errors; members try it in turns"
	case engine.peerEjections >= suspectQuorum:
		return "ejected by several members"
	}
	switch {
	case !pool.hasToken(now, engine):
		return "its limit has no token for this process"
	case engine.onlineLoad(now) >= engine.Slots:
		return "full"
	}
	return ""
}
