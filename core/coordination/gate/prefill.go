package gate

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	prefillBurst       = 50 * time.Millisecond // bucket size, as time at the current rate
	prefillDecrease    = 0.7                   // factor on the rate when first tokens exceeded their latency target
	prefillIncrease    = 1.05                  // factor on the rate otherwise
	minPrefillFraction = 0.05                  // lower bound of the rate, as a fraction of the configured rate
)

// PrefillLimiter limits the rate of prompt tokens that batch work sends to an engine while online work runs. An
// engine processes prompts in order of arrival, so a burst of batch prompts delays the first token of every
// online request that arrives after it.
type PrefillLimiter struct {
	TokensPerSecond float64 // maximum rate; 0 means no limit

	limiter *rate.Limiter
}

func (prefill *PrefillLimiter) init() {
	if prefill.limiter == nil {
		prefill.limiter = rate.NewLimiter(rate.Limit(prefill.TokensPerSecond), prefill.burst(prefill.TokensPerSecond))
	}
}

func (prefill *PrefillLimiter) burst(tokensPerSecond float64) int {
	return max(1, int(tokensPerSecond*prefillBurst.Seconds()))
}

// Available returns how many prompts of promptTokens tokens each may be sent now, at most limit.
func (prefill *PrefillLimiter) Available(now time.Time, promptTokens int64, limit int) int {
	if prefill.TokensPerSecond <= 0 {
		return limit
	}
	prefill.init()
	available := prefill.limiter.TokensAt(now)
	if available <= 0 {
		return 0
	}
	// A prompt longer than the burst is still allowed, one at a time.
	return min(limit, max(1, int(available/float64(max(promptTokens, 1)))))
}

// Reserve takes the tokens of a prompt that is sent to the engine out of the bucket, even if that leaves
// it below zero.
func (prefill *PrefillLimiter) Reserve(now time.Time, promptTokens int64) {
	if prefill.TokensPerSecond <= 0 {
		return
	}
	prefill.init()
	for promptTokens > 0 {
		// One reservation cannot exceed the burst, so a long prompt takes several.
		reserved := min(promptTokens, int64(prefill.limiter.Burst()))
		prefill.limiter.ReserveN(now, int(reserved))
		promptTokens -= reserved
	}
}

// AdjustRate decreases the rate if tooLate is set, which means that first tokens of online work exceeded their
// latency target. Otherwise it increases the rate by a small step, up to TokensPerSecond.
func (prefill *PrefillLimiter) AdjustRate(now time.Time, tooLate bool) {
	if prefill.TokensPerSecond <= 0 {
		return
	}
	prefill.init()
	factor := prefillIncrease
	if tooLate {
		factor = prefillDecrease
	}
	adjusted := float64(prefill.limiter.Limit()) * factor
	adjusted = min(prefill.TokensPerSecond, max(minPrefillFraction*prefill.TokensPerSecond, adjusted))
	prefill.limiter.SetLimitAt(now, rate.Limit(adjusted))
	prefill.limiter.SetBurstAt(now, prefill.burst(adjusted))
}
