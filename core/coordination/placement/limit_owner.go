package placement

import (
	"maps"
	"time"
)

// bucket is the token bucket of an engine whose limit this process owns.
type bucket struct {
	next     time.Time // when the next token is due
	onlineAt time.Time // when a token for an online request was last not due at once
}

// reserve takes up to count tokens of a limit. Batch items leave saved tokens to online requests, and asks in advance leave one to urgent
// asks: where other engines have room, an engine in need keeps a token for the time when they have none. The request that uses it may also
// be the first to learn that the limit is lifted.
func (bucket *bucket) reserve(now time.Time, rate float64, count int, batch, urgent bool) (tokens []time.Duration, retry time.Duration) {
	interval := time.Duration(float64(time.Second) / max(rate, minLimitedRate))
	if bucket.next.IsZero() {
		bucket.next = now
	}
	saving := min(maxSavedTokens*interval, interval+maxSaving)
	if earliest := now.Add(-saving); bucket.next.Before(earliest) {
		bucket.next = earliest
	}
	for range min(count, maxTokens) {
		wait := bucket.next.Sub(now)
		switch {
		case batch && (wait > -saving || now.Sub(bucket.onlineAt) < onlineFirst):
			return tokens, max(askRetryDelay, wait+interval)
		case !urgent && wait > -interval:
			bucket.onlineAt = now
			return tokens, max(askRetryDelay, wait+interval)
		case wait > maxTokenWait:
			bucket.onlineAt = now
			return tokens, max(askRetryDelay, wait-maxTokenWait)
		case wait > 0:
			bucket.onlineAt = now
		}
		tokens = append(tokens, max(0, wait))
		bucket.next = bucket.next.Add(interval)
	}
	return tokens, askRetryDelay
}

// GrantTokens responds to the ask of a process, for an engine whose limit this process owns.
func (pool *Pool) GrantTokens(now time.Time, ask LimitAsk) (grant LimitGrant) {
	pool.mergeLimit(ask.Engine, ask.Limit)
	if known := pool.limits[ask.Engine]; known != nil {
		grant.Limit = known.Limit
	}
	if grant.Limit.Lifted || grant.Limit.At.IsZero() {
		return grant
	}
	if pool.buckets == nil {
		pool.buckets = map[uint64]*bucket{}
	}
	if len(pool.buckets) >= maxBuckets {
		maps.DeleteFunc(pool.buckets, func(digest uint64, _ *bucket) bool { return pool.engines[digest] == nil })
	}
	if pool.buckets[ask.Engine] == nil {
		pool.buckets[ask.Engine] = &bucket{}
	}
	grant.Tokens, grant.Retry = pool.buckets[ask.Engine].reserve(now, grant.Limit.Rate, ask.Count, ask.Batch, ask.Urgent)
	return grant
}

// limitOwner returns the member that owns the limit of an engine: the one with the lowest slot priority there, which all members that
// know the same members compute alike.
func (pool *Pool) limitOwner(digest uint64) (owner string) {
	owner = pool.Self
	for peer := range pool.peerCounts {
		if pool.slotPriority(peer, digest) < pool.slotPriority(owner, digest) {
			owner = peer
		}
	}
	return owner
}
