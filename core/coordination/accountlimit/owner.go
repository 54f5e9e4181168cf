package accountlimit

import (
	"maps"
	"math"
	"time"

	"cowslipway/core/state/routes"
)

const (
	// usageWindow is the time constant of an account's usage.
	usageWindow = 5 * time.Second
	// maxIdleBuckets is the number of new buckets after which those that are full are forgotten.
	maxIdleBuckets = 1024
)

// Ask asks the owner of a part of an account's limit for a token, or returns one.
type Ask struct {
	Account string `json:"account"`
	Shard   int    `json:"shard"`
	Owner   string `json:"-"`                // name of the VM
	Return  int64  `json:"return,omitempty"` // stamp of the grant whose token is returned; 0 asks for a token
	Again   bool   `json:"again,omitempty"`  // an owner has told the request to wait before
}

// Outcome is what an owner does with an Ask.
type Outcome uint8

// The outcomes of asks.
const (
	Silent     Outcome = iota // the owner did not respond in time
	Granted                   // a token was granted or taken back
	Exceeded                  // the account has exceeded this part of its limit
	TakingOver                // the owner before may still grant
	Outdated                  // the owner's view of the member list is too old
	NotOwner                  // another member is the owner
	Unknown                   // the owner knows no limit of the account
)

var outcomeNames = [...]string{Silent: "silent", Granted: "granted", Exceeded: "exceeded", TakingOver: "taking over", Outdated: "outdated", NotOwner: "not owner", Unknown: "unknown"}

// String returns the name of outcome in logs and metrics.
func (outcome Outcome) String() string { return outcomeNames[min(int(outcome), len(outcomeNames)-1)] }

// Grant is the response to an Ask.
type Grant struct {
	Outcome Outcome       `json:"outcome"`
	Wait    time.Duration `json:"wait"`  // time until the next token is due, or until the owner has taken over
	Left    float64       `json:"left"`  // tokens left
	Usage   float64       `json:"usage"` // what the account has been granted lately, relative to its limit
	Stamp   int64         `json:"stamp"` // Unix nanoseconds of the owner's clock, to return the token
	// Due reports that the account has not exceeded its limit: tokens are missing since the bucket began empty, and the request may wait
	// for the next one.
	Due bool `json:"due,omitempty"`
}

// bucket is the token bucket of a part of an account's limit.
type bucket struct {
	level   float64
	missing float64   // tokens that a bucket that had begun full would hold besides, less those that requests wait for
	at      time.Time // of level
	used    float64   // tokens granted lately, decaying by usageWindow
	fullAt  time.Time // when the bucket is full unless tokens are granted
	changes int       // of the member list that the bucket takes into account
	ready   time.Time // from when on this process may grant
}

type bucketKey struct {
	account string
	shard   int
}

// advance adds what has flowed into the bucket.
func (bucket *bucket) advance(now time.Time, rate, capacity float64) {
	if elapsed := now.Sub(bucket.at).Seconds(); elapsed > 0 {
		bucket.level += elapsed * rate
		bucket.used *= math.Exp(-elapsed / usageWindow.Seconds())
		bucket.at = now
	}
	if excess := bucket.level - capacity; excess > 0 {
		bucket.level, bucket.missing = capacity, max(0, bucket.missing-excess)
	}
}

// Serve responds to the ask of an ingress, as the owner of a part of an account's limit. known reports whether account is in the
// configuration.
func (limiter *Limiter) Serve(now time.Time, ask Ask, account routes.Account, known bool) (grant Grant) {
	bounds := limiter.Bounds
	switch {
	case !known || account.Rate <= 0 || ask.Shard < 0 || ask.Shard >= bounds.shards(account):
		return Grant{Outcome: Unknown}
	case limiter.viewAge(now) > maxViewAge || limiter.mayHaveLeft(now):
		return Grant{Outcome: Outdated}
	case limiter.members.owner(ask.Account, ask.Shard) != limiter.Self:
		return Grant{Outcome: NotOwner}
	}
	rate, capacity := bounds.shardRate(account), bounds.shardCapacity(account)
	bucket := limiter.bucketOf(now, ask, capacity)
	if now.Before(bucket.ready) {
		return Grant{Outcome: TakingOver, Wait: bucket.ready.Sub(now)}
	}
	bucket.advance(now, rate, capacity)
	if ask.Return != 0 {
		if age := time.Duration(now.UnixNano() - ask.Return); age >= 0 && age <= bounds.part(returnShare) {
			bucket.level = min(bucket.level+1, capacity)
			bucket.used = max(0, bucket.used-1)
		}
		return Grant{Outcome: Granted, Left: bucket.level}
	}
	grant = Grant{Outcome: Exceeded, Stamp: now.UnixNano()}
	switch {
	case bucket.level >= 1:
		bucket.level--
		bucket.used++
		grant.Outcome = Granted
		if ask.Again { // while it waited, its token was not counted as missing
			bucket.missing = min(bucket.missing+1, capacity)
		}
	case ask.Again:
		grant.Due = true
	case bucket.missing >= 1 && now.Sub(bucket.ready) < bounds.settleTime():
		bucket.missing--
		grant.Due = true
	}
	bucket.fullAt = now.Add(time.Duration((capacity - bucket.level) / rate * float64(time.Second)))
	grant.Left, grant.Usage = bucket.level, bucket.used/(rate*usageWindow.Seconds())
	grant.Wait = time.Duration(max(0, 1-bucket.level) / rate * float64(time.Second))
	return grant
}

// bucketOf returns the bucket of a part of an account's limit. One that this process has not granted from since it became the owner began
// to fill, without tokens, when the owner before had certainly stopped.
func (limiter *Limiter) bucketOf(now time.Time, ask Ask, capacity float64) *bucket {
	key := bucketKey{ask.Account, ask.Shard}
	known := limiter.buckets[key]
	if known != nil && known.changes == limiter.members.changes {
		return known
	}
	if known == nil {
		if limiter.buckets == nil {
			limiter.buckets = map[bucketKey]*bucket{}
		}
		limiter.forgetFull(now)
		known = &bucket{}
		limiter.buckets[key] = known
	}
	known.changes = limiter.members.changes
	since, _ := limiter.members.ownedSince(limiter.Self, ask.Account, ask.Shard)
	if known.at.Before(since) {
		known.ready = since.Add(maxViewAge)
		known.level, known.missing, known.used, known.at = 0, capacity, 0, known.ready
	}
	return known
}

// forgetFull forgets the buckets that are full by now: new ones are as full.
func (limiter *Limiter) forgetFull(now time.Time) {
	if len(limiter.buckets)%maxIdleBuckets == maxIdleBuckets-1 {
		maps.DeleteFunc(limiter.buckets, func(_ bucketKey, bucket *bucket) bool { return now.After(bucket.fullAt) })
	}
}
