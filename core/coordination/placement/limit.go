package placement

import (
	"maps"
	"slices"
	"time"

	"cowslipway/core/state/fleet"
)

const (
	// tokenLifetime is how long a token may be used. The owner of an engine's limit counts it as used from the start.
	tokenLifetime = 500 * time.Millisecond
	// maxTokenWait is how far ahead the owner of a limit promises tokens. When a member takes over a limit, the tokens that the owner before
	// has promised add to its own.
	maxTokenWait = 250 * time.Millisecond
	// onlineFirst is how long batch items get no tokens after an online request had to wait for one.
	onlineFirst = time.Second
	// maxSavedTokens and maxSaving bound the tokens of the past that a burst may use, by their number and by the time over which they
	// add up.
	maxSavedTokens = 3
	maxSaving      = time.Second
	// minLimitedRate is the rate, in requests per second, at which an engine gets requests at least: only its responses tell that its
	// limit has changed.
	minLimitedRate = 0.25
	// demandWindow is the time over which a process counts the requests for which it wants tokens.
	demandWindow = 500 * time.Millisecond
	// maxTokens bounds the tokens that are asked for at once for an engine.
	maxTokens = 32
	// askRetryDelay is the time after which a token is asked for again that the owner did not promise, or if it did not respond.
	askRetryDelay = 200 * time.Millisecond
	// maxAskDelay bounds that time, since the rate may rise.
	maxAskDelay = time.Second
	// limitedMark turns the digest of an engine into that under which load counts say that the sender, which owns the engine's limit, takes
	// the engine for limited. Processes that do not know it ignore the counts of an engine that they do not list.
	limitedMark = 0x6c696d6974656421
	// noticePause is the least time between two notices of a process that an engine is not limited.
	noticePause = 100 * time.Millisecond
	// maxBuckets bounds the engines whose limits this process owns or knows. Only those that are not listed are forgotten.
	maxBuckets = 4096
)

// Limit is what an engine said last about the rate of requests that it takes from all processes together.
type Limit struct {
	Rate   float64 // requests per second
	Lifted bool    // there is no limit
	At     time.Time
}

// LimitAsk is a request for tokens to the process that owns the limit of an engine.
type LimitAsk struct {
	Engine uint64 // digest
	Owner  string // member ID
	Limit  Limit  // as this process knows it
	Count  int    // of tokens
	Batch  bool   // the tokens are for batch items
	Urgent bool   // an online request waits, and no engine without a limit has room for it
}

// LimitGrant is the response to a LimitAsk.
type LimitGrant struct {
	Limit  Limit           // as the owner knows it
	Tokens []time.Duration // times from now on from which each of the tokens may be used
	Retry  time.Duration   // time after which to ask again if there are no tokens
}

// limited is an engine that has named a limit to this process, and what this process may send to it.
type limited struct {
	Limit

	tokens   []time.Time // times from which they may be used, earliest first
	asking   int         // tokens that were asked for and not responded to
	askAfter time.Time   // no tokens are asked for before
	denied   int         // asks in a row without a token
	urgent   bool        // the latest ask was urgent
}

// demand counts the requests for a service, by demandWindow.
type demand struct {
	window         int64     // number of the current window
	count, earlier int       // in the current window and in the one before
	unplacedAt     time.Time // when a request last found no room, also for want of a token
}

// RecordLimit records the limit that an engine named in a response, or that it named none in the response to a request that was sent at
// a time: responses may overtake each other. It reports whether that is news, also if it is news only to the owner of the limit: this
// process may never have been told of a limit that others keep to.
func (pool *Pool) RecordLimit(now, sent time.Time, descriptor fleet.Engine, rate float64, named bool) (news bool) {
	known := pool.limits[descriptor.Digest()]
	switch {
	case named:
		return pool.mergeLimit(descriptor.Digest(), Limit{Rate: rate, At: now})
	case known != nil && !known.Lifted && sent.After(known.At):
		return pool.mergeLimit(descriptor.Digest(), Limit{Lifted: true, At: now})
	case (known == nil || known.Lifted && sent.Sub(known.At) >= noticePause) && pool.peersSayLimited(descriptor.Digest()):
		pool.mergeLimit(descriptor.Digest(), Limit{Lifted: true, At: sent}) // the owner may know a limit that was named since
		return true
	}
	return false
}

// peersSayLimited reports whether the owner of an engine's limit takes the engine for limited.
func (pool *Pool) peersSayLimited(digest uint64) bool {
	engine, ok := pool.engines[digest]
	return ok && engine.peersSayLimited > 0
}

// saysLimited reports whether peers are to know that an engine is limited, since this process owns the limit.
func (pool *Pool) saysLimited(digest uint64) bool {
	known := pool.limits[digest]
	return known != nil && !known.Lifted && pool.buckets[digest] != nil && pool.limitOwner(digest) == pool.Self
}

// mergeLimit applies what a process knows of an engine's limit if that is newer. It reports whether the limit has changed.
func (pool *Pool) mergeLimit(digest uint64, limit Limit) (changed bool) {
	known := pool.limits[digest]
	if limit.At.IsZero() || known != nil && !limit.At.After(known.At) {
		return false
	}
	if pool.limits == nil {
		pool.limits = map[uint64]*limited{}
	}
	if known == nil {
		known = &limited{Limit: Limit{Lifted: true}}
		if len(pool.limits) >= maxBuckets {
			maps.DeleteFunc(pool.limits, func(digest uint64, _ *limited) bool { return pool.engines[digest] == nil })
		}
		pool.limits[digest] = known
	}
	changed = known.Lifted != limit.Lifted || known.Rate != limit.Rate
	known.Limit = limit
	return changed
}

// token returns the index of a token of an engine that may be used at a time. ok is false if the engine is limited and there is none,
// and index is -1 if it is not limited.
func (pool *Pool) token(now time.Time, engine *engine) (index int, ok bool) {
	known := pool.limits[engine.digest]
	if known == nil || known.Lifted {
		return -1, true
	}
	index = slices.IndexFunc(known.tokens, func(from time.Time) bool { return !now.Before(from) && now.Sub(from) < tokenLifetime })
	return index, index >= 0
}

// hasToken reports whether the limit of an engine allows another request of this process.
func (pool *Pool) hasToken(now time.Time, engine *engine) bool {
	_, ok := pool.token(now, engine)
	return ok
}

// takeToken uses a token if the engine is limited.
func (pool *Pool) takeToken(now time.Time, engine *engine) {
	if index, _ := pool.token(now, engine); index >= 0 {
		known := pool.limits[engine.digest]
		known.tokens = slices.Delete(known.tokens, index, index+1)
	}
}

// reluctance returns the load that an engine is taken to have in addition when engines are compared: one that is in need gets requests
// once others are half full, and its tokens are saved until then.
func (pool *Pool) reluctance(engine *engine) (load int) {
	if known := pool.limits[engine.digest]; known != nil && !known.Lifted {
		return engine.Slots / 2
	}
	return 0
}

// countDemand counts an online request for a service.
func (pool *Pool) countDemand(now time.Time, service string) {
	if len(pool.limits) == 0 {
		return
	}
	if pool.demands == nil {
		pool.demands = map[string]*demand{}
	}
	counted := pool.demands[service]
	if counted == nil {
		counted = &demand{}
		pool.demands[service] = counted
	}
	counted.advance(now)
	counted.count++
}

// advance moves on to the window of a time.
func (demand *demand) advance(now time.Time) {
	window := now.UnixNano() / int64(demandWindow)
	if window == demand.window {
		return
	}
	earlier := 0
	if window == demand.window+1 {
		earlier = demand.count
	}
	demand.window, demand.count, demand.earlier = window, 0, earlier
}

// limitedCandidates returns the number of engines of a service that could run a request if their limits allowed it. It is called for a
// request that found no room.
func (pool *Pool) limitedCandidates(now time.Time, request Request) (count int) {
	if len(pool.limits) == 0 {
		return 0
	}
	if counted := pool.demands[request.Service]; counted != nil {
		counted.unplacedAt = now
	}
	for _, engine := range pool.enginesByService[request.Service] {
		if !pool.hasToken(now, engine) && pool.eligible(now, engine, request, healthy) && engine.onlineLoad(now) < engine.Slots {
			count++
		}
	}
	return count
}

// mayWaitForToken reports whether a request is queued although slots are released too slowly for it, since engines with room only lack
// tokens: the owners of their limits may have saved some, and the next response may lift a limit.
func (pool *Pool) mayWaitForToken(now time.Time, request Request, limited int) bool {
	return now.Before(request.Deadline) && len(pool.queue) < limited*maxSavedTokens
}

// LimitAsks returns the tokens to ask for now: as many as requests arrived lately, spread over the limited engines with room. The caller
// passes the response, if there is one, to ApplyGrant.
func (pool *Pool) LimitAsks(now time.Time) (asks []LimitAsk) {
	if len(pool.limits) == 0 {
		return nil
	}
	for _, service := range slices.Sorted(maps.Keys(pool.enginesByService)) {
		want := 0
		if pool.BatchBacklog {
			want = 1
		}
		if counted := pool.demands[service]; counted != nil {
			counted.advance(now)
			want = max(want, counted.count+counted.earlier)
		}
		if want > 0 {
			asks = append(asks, pool.asksOf(now, service, want)...)
		}
	}
	return asks
}

// asksOf returns the asks for so many tokens of the limited engines of a service.
func (pool *Pool) asksOf(now time.Time, service string, want int) (asks []LimitAsk) {
	var open []*engine
	urgent := pool.isUrgent(now, service)
	engines := pool.enginesByService[service]
	for _, engine := range engines {
		known := pool.limits[engine.digest]
		if known == nil || known.Lifted || !pool.eligible(now, engine, Request{Repeatable: true}, healthy) {
			continue
		}
		known.tokens = slices.DeleteFunc(known.tokens, func(from time.Time) bool { return now.Sub(from) >= tokenLifetime })
		want -= len(known.tokens) + known.asking
		mayAsk := !now.Before(known.askAfter) || urgent && !known.urgent // the owner may have refused only the ask in advance
		if known.asking == 0 && len(known.tokens) == 0 && mayAsk && engine.onlineLoad(now) < engine.Slots {
			open = append(open, engine)
		}
	}
	pool.Random.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	for index, engine := range open {
		if want <= 0 {
			break
		}
		count := min(maxTokens, max(1, want/(len(open)-index)))
		want -= count
		known := pool.limits[engine.digest]
		if urgent && !known.urgent {
			known.denied = 0
		}
		known.asking, known.urgent = count, urgent
		asks = append(asks, LimitAsk{
			Engine: engine.digest, Owner: pool.limitOwner(engine.digest), Limit: known.Limit, Count: count, Batch: pool.BatchBacklog, Urgent: urgent,
		})
	}
	return asks
}

// isUrgent reports whether a request for a service waits, or was rejected so lately that its caller may retry.
func (pool *Pool) isUrgent(now time.Time, service string) bool {
	counted := pool.demands[service]
	return counted != nil && now.Sub(counted.unplacedAt) < demandWindow ||
		slices.ContainsFunc(pool.queue, func(waiter waiter) bool { return waiter.request.Service == service })
}

// EngineName returns the incarnation of a listed engine, or nothing.
func (pool *Pool) EngineName(digest uint64) (name string) {
	if engine, ok := pool.engines[digest]; ok {
		return engine.Incarnation()
	}
	return ""
}

// LimitNotice returns the message that informs the owner of an engine's limit of what this process knows of it, without an ask for tokens;
// ok is false if this process is the owner, or knows nothing.
func (pool *Pool) LimitNotice(descriptor fleet.Engine) (notice LimitAsk, ok bool) {
	digest := descriptor.Digest()
	known := pool.limits[digest]
	if known == nil {
		return notice, false
	}
	notice = LimitAsk{Engine: digest, Owner: pool.limitOwner(digest), Limit: known.Limit}
	return notice, notice.Owner != pool.Self
}

// ApplyGrant applies the response to an ask, or that there was none. It reports whether the limit of the engine has changed.
func (pool *Pool) ApplyGrant(now time.Time, ask LimitAsk, grant LimitGrant, responded bool) (changed bool) {
	known := pool.limits[ask.Engine]
	if known == nil {
		return false
	}
	known.asking = 0
	if !responded {
		known.askAfter = now.Add(askRetryDelay)
		return false
	}
	for _, wait := range grant.Tokens {
		known.tokens = append(known.tokens, now.Add(wait))
	}
	known.denied++
	if len(grant.Tokens) > 0 {
		known.denied = 0
	} else {
		// The more members want the tokens of an engine, the more often an ask is in vain.
		known.askAfter = now.Add(min(grant.Retry<<min(known.denied-1, 8), maxAskDelay))
	}
	return pool.mergeLimit(ask.Engine, grant.Limit)
}
