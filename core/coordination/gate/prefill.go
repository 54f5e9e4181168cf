package gate

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	prefillBurst    = 50 * time.Millisecond // of the rate that may come at once
	prefillShrink   = 0.7
	prefillGrowth   = 1.05
	minPrefillShare = 0.05 // of the configured rate
)

// PrefillLimiter limits how fast batch work brings prompts to an engine beside online work: prompts are
// processed in the order of their arrival, so a crowd of them delays the first token of those that follow.
type PrefillLimiter struct {
	TokensPerSecond float64 // 0 sets no limit

	limiter *rate.Limiter
}

func (pace *PrefillLimiter) init() {
	if pace.limiter == nil {
		pace.limiter = rate.NewLimiter(rate.Limit(pace.TokensPerSecond), pace.burst(pace.TokensPerSecond))
	}
}

func (pace *PrefillLimiter) burst(tokensPerSecond float64) int {
	return max(1, int(tokensPerSecond*prefillBurst.Seconds()))
}

// Available returns how many prompts of tokens each may come now, at most limit.
func (pace *PrefillLimiter) Available(now time.Time, tokens int64, limit int) int {
	if pace.TokensPerSecond <= 0 {
		return limit
	}
	pace.init()
	available := pace.limiter.TokensAt(now)
	if available <= 0 {
		return 0
	}
	// A prompt that is longer than the burst comes alone.
	return min(limit, max(1, int(available/float64(max(tokens, 1)))))
}

// Reserve records a prompt that goes to the engine.
func (pace *PrefillLimiter) Reserve(now time.Time, tokens int64) {
	if pace.TokensPerSecond <= 0 {
		return
	}
	pace.init()
	for tokens > 0 {
		// A reservation can't exceed the burst; the rest is owed.
		part := min(tokens, int64(pace.limiter.Burst()))
		pace.limiter.ReserveN(now, int(part))
		tokens -= part
	}
}

// AdjustRate slows the pace down where first tokens came too late, and lets it recover slowly.
func (pace *PrefillLimiter) AdjustRate(now time.Time, tooLate bool) {
	if pace.TokensPerSecond <= 0 {
		return
	}
	pace.init()
	change := prefillGrowth
	if tooLate {
		change = prefillShrink
	}
	adapted := float64(pace.limiter.Limit()) * change
	adapted = min(pace.TokensPerSecond, max(minPrefillShare*pace.TokensPerSecond, adapted))
	pace.limiter.SetLimitAt(now, rate.Limit(adapted))
	pace.limiter.SetBurstAt(now, pace.burst(adapted))
}
