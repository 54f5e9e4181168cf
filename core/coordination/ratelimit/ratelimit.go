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
	shards       = 16
	burstSeconds = 1 // of an account's rate that may come at once
	minBurst     = 1
)

// Limiter bounds the rates of many accounts in bounded memory. An account's rates are divided by the number
// of entries, since the balancer spreads its requests over them.
type Limiter struct {
	MaxAccounts int // remembered at a time; the account idle for longest is forgotten first

	once    sync.Once
	entries atomic.Int64
	shards  [shards]shard
}

type shard struct {
	mutex    sync.Mutex
	accounts *simplelru.LRU[string, *buckets]
}

type buckets struct {
	requests, tokens *rate.Limiter
}

// SetEntries records how many entries are live; the rates are divided by it from now on.
func (limiter *Limiter) SetEntries(entries int) { limiter.entries.Store(int64(entries)) }

// Allow takes one request with an estimate of its tokens from account; where it is over its rates, it
// returns false and when to come back.
func (limiter *Limiter) Allow(now time.Time, account config.Account, tokens int64) (ok bool, retryAfter time.Duration) {
	limiter.once.Do(limiter.init)
	shard := &limiter.shards[xxhash.Sum64String(account.Name)%shards]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	buckets := limiter.buckets(now, shard, account)
	wanted := min(int(tokens), buckets.tokens.Burst())
	request := buckets.requests.ReserveN(now, 1)
	token := buckets.tokens.ReserveN(now, wanted)
	wait := max(request.DelayFrom(now), token.DelayFrom(now))
	if wait == 0 {
		return true, 0
	}
	request.CancelAt(now)
	token.CancelAt(now)
	return false, wait
}

func (limiter *Limiter) init() {
	perShard := max(1, (limiter.MaxAccounts+shards-1)/shards)
	for i := range limiter.shards {
		// An error would mean a size below 1.
		limiter.shards[i].accounts, _ = simplelru.NewLRU[string, *buckets](perShard, nil)
	}
}

func (limiter *Limiter) buckets(now time.Time, shard *shard, account config.Account) *buckets {
	entries := float64(max(limiter.entries.Load(), 1))
	requests, tokens := account.RequestsPerSecond/entries, account.TokensPerSecond/entries
	known, ok := shard.accounts.Get(account.Name)
	if !ok {
		known = &buckets{
			requests: rate.NewLimiter(rate.Limit(requests), burst(requests)),
			tokens:   rate.NewLimiter(rate.Limit(tokens), burst(tokens)),
		}
		shard.accounts.Add(account.Name, known)
		return known
	}
	adjust(now, known.requests, requests)
	adjust(now, known.tokens, tokens)
	return known
}

// adjust changes the rate of limiter without giving its account a new burst.
func adjust(now time.Time, limiter *rate.Limiter, perSecond float64) {
	if limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burst(perSecond))
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond*burstSeconds)) }
