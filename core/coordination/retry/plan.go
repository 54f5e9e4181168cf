package retry

import (
	"math/rand/v2"
	"time"

	"cowslipway/core/state/request"
)

// Plan limits the attempts of one request. Attempts are only ever counted up, so a plan ends after MaxAttempts whatever the
// errors are. Retry strategies that reset one another can alternate forever, as those of the Frontier client did before
// version 2.8.21 ("Frontier client retry strategy", revision 33).
type Plan struct {
	MaxAttempts int
	Idempotent  bool
	Deadline    time.Time // no retry from this time on

	attempts int
	tried    []string // targets of the attempts so far
}

// Begin records the start of an attempt on target.
func (plan *Plan) Begin(target string) {
	plan.attempts++
	plan.tried = append(plan.tried, target)
}

// Attempts returns the number of attempts begun.
func (plan *Plan) Attempts() int { return plan.attempts }

// HasTried reports whether an attempt on target has begun.
func (plan *Plan) HasTried(target string) bool {
	for _, tried := range plan.tried {
		if tried == target {
			return true
		}
	}
	return false
}

// ShouldRetry reports whether the request may be sent to another target after an attempt that ended with outcome. If so, it
// has withdrawn one retry from budget.
func (plan *Plan) ShouldRetry(now time.Time, outcome request.Outcome, budget *Budget) bool {
	if plan.attempts >= plan.MaxAttempts || !now.Before(plan.Deadline) {
		return false
	}
	return outcome.Retryable(plan.Idempotent) && budget.Withdraw()
}

// Backoff returns the delay before a retry; attempt counts the retries from 1. The delay is random between 0 and
// baseDelay*2^(attempt-1), at most maxDelay (exponential backoff with full jitter).
func Backoff(random *rand.Rand, baseDelay, maxDelay time.Duration, attempt int) time.Duration {
	ceiling := maxDelay
	if shift := attempt - 1; shift < 32 && baseDelay<<shift < maxDelay && baseDelay<<shift > 0 {
		ceiling = baseDelay << shift
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
