package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"cowslipway/core/state/config"
)

const (
	shards       = 16 // each with its own mutex
	burstSeconds = 1  // bucket size, in seconds at the account's rate
	minBurst     = 1  // smallest bucket size, in requests or tokens
)

// Limiter limits the rates of many accounts in bounded memory. It divides an account's rates by the number of entries,
// since the load balancer spreads the account's requests over them. It is safe for concurrent use.
type Limiter struct {
	MaxAccounts int // accounts tracked at a time; the least recently used account of a shard is evicted first

	once    sync.Once
	entries atomic.Int64
	shards  [shards]shard
}

type shard struct {
	mutex    sync.Mutex
	accounts *simplelru.LRU[string, *accountBuckets]
}

// accountBuckets holds the token buckets of one account.
type accountBuckets struct {
	requests, tokens *rate.Limiter
}

// SetEntries sets the number of running entries by which later calls of Allow divide the rates.
func (limiter *Limiter) SetEntries(entries int) { limiter.entries.Store(int64(entries)) }

// Allow takes one request and its estimated number of tokens out of the buckets of account. If the account exceeds one
// of its rates, Allow takes nothing and returns false and the delay after which the request would be allowed.
func (limiter *Limiter) Allow(now time.Time, account config.Account, tokens int64) (ok bool, retryAfter time.Duration) {
	limiter.once.Do(limiter.init)
	shard := &limiter.shards[xxhash.Sum64String(account.Name)%shards]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	buckets := limiter.bucketsOf(now, shard, account)
	// A reservation cannot exceed the burst: a request with more tokens takes the whole bucket.
	tokenCount := min(int(tokens), buckets.tokens.Burst())
	requestReservation := buckets.requests.ReserveN(now, 1)
	tokenReservation := buckets.tokens.ReserveN(now, tokenCount)
	delay := max(requestReservation.DelayFrom(now), tokenReservation.DelayFrom(now))
	if delay == 0 {
		return true, 0
	}
	requestReservation.CancelAt(now)
	tokenReservation.CancelAt(now)
	return false, delay
}

func (limiter *Limiter) init() {
	perShard := max(1, (limiter.MaxAccounts+shards-1)/shards)
	for i := range limiter.shards {
		// NewLRU fails only for a size below 1.
		limiter.shards[i].accounts, _ = simplelru.NewLRU[string, *accountBuckets](perShard, nil)
	}
}

func (limiter *Limiter) bucketsOf(now time.Time, shard *shard, account config.Account) *accountBuckets {
	entries := float64(max(limiter.entries.Load(), 1))
	requests, tokens := account.RequestsPerSecond/entries, account.TokensPerSecond/entries
	buckets, ok := shard.accounts.Get(account.Name)
	if !ok {
		buckets = &accountBuckets{
			requests: rate.NewLimiter(rate.Limit(requests), burst(requests)),
			tokens:   rate.NewLimiter(rate.Limit(tokens), burst(tokens)),
		}
		shard.accounts.Add(account.Name, buckets)
		return buckets
	}
	setRate(now, buckets.requests, requests)
	setRate(now, buckets.tokens, tokens)
	return buckets
}

// setRate changes the rate and burst of limiter without refilling its bucket.
func setRate(now time.Time, limiter *rate.Limiter, perSecond float64) {
	if limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burst(perSecond))
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond*burstSeconds)) }
