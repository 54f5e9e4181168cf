package retry

import (
	"math/rand/v2"
	"time"

	"cowslipway/core/state/request"
)

// Plan is the finite plan of one request. It is walked forward only, so it ends after MaxAttempts whatever
// the errors are; strategies that reset one another can alternate for ever, as the Frontier client's did
// before its 2.8.21 ("Frontier client retry strategy", r33).
type Plan struct {
	MaxAttempts int
	Idempotent  bool
	Deadline    time.Time

	attempts int
	tried    []string
}

// Begin records that an attempt on target starts.
func (plan *Plan) Begin(target string) {
	plan.attempts++
	plan.tried = append(plan.tried, target)
}

// Attempts returns the number of attempts begun.
func (plan *Plan) Attempts() int { return plan.attempts }

// HasTried reports whether target had its attempt.
func (plan *Plan) HasTried(target string) bool {
	for _, tried := range plan.tried {
		if tried == target {
			return true
		}
	}
	return false
}

// ShouldRetry reports whether a further target may be tried after outcome.
func (plan *Plan) ShouldRetry(now time.Time, outcome request.Outcome, budget *Budget) bool {
	if plan.attempts >= plan.MaxAttempts || !now.Before(plan.Deadline) {
		return false
	}
	return outcome.Retryable(plan.Idempotent) && budget.Withdraw()
}

// Backoff returns the time before retry number attempt (from 1 on): exponential with full jitter.
func Backoff(random *rand.Rand, base, limit time.Duration, attempt int) time.Duration {
	ceiling := limit
	if shift := attempt - 1; shift < 32 && base<<shift < limit && base<<shift > 0 {
		ceiling = base << shift
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
