package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxViewAge is the age of a view up to which it contains all jobs but those that were accepted within that time.
	MaxViewAge = 2 * time.Second
	// shareWindow is the time in which a process may accept one share of the overshoot: a process decides with a view that is up
	// to MaxViewAge old, and so did the others.
	shareWindow = 2 * MaxViewAge
	// shareWindows is the number of windows that two decisions can span, one after the other, while their writes are on the way to
	// the store. The overshoot covers the shares of all of them.
	shareWindows = 2
	// drainWindow is the time over which the rate of finished tokens is measured.
	drainWindow = 10 * time.Second
	// minRetryAfter is the shortest time until a view can show that a job fits.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds the time that a caller is told to wait when few tokens are finished.
	maxRetryAfter = 10 * time.Second
)

// Bound is the bound of a route.
type Bound struct {
	Tokens    int64   // that may wait
	Overshoot float64 // share of Tokens by which processes that do not know of each other's jobs yet may exceed it
}

// Counter is the record in the store of the tokens of all jobs that were ever accepted against it. It is changed by
// compare-and-swap, in the transaction that accepts the job.
type Counter struct {
	Revision int64 `json:"-"`      // at which it was last changed; 0 if it does not exist
	Tokens   int64 `json:"tokens"` // of all jobs
}

// WithTokens returns a copy of counter that includes the tokens of another job.
func (counter Counter) WithTokens(tokens int64) Counter {
	counter.Tokens += tokens
	return counter
}

// Usage is what a process knows of the items that wait on a route.
type Usage struct {
	Waiting   int64         // tokens of the unfinished items of the jobs in the view
	Finished  int64         // tokens of the items that the view has shown to be finished, counted from any start
	Seen      Counter       // as it is in the view
	Latest    Counter       // the newest one that is known
	ViewAge   time.Duration // largest possible age of the view
	Processes int           // that accept jobs
}

// Verdict is what a process may do with a job.
type Verdict uint8

// The verdicts.
const (
	Reject Verdict = iota // it does not fit
	Defer                 // the view is too old to tell
	// AcceptShared accepts the job on the share of the overshoot that the process may use without asking.
	AcceptShared
	// AcceptCounted accepts the job if Usage.Latest is still the counter in the store when it is increased by the job's tokens.
	AcceptCounted
)

var verdictNames = [...]string{Reject: "reject", Defer: "defer", AcceptShared: "shared", AcceptCounted: "counted"}

// String returns the name of verdict in logs and metrics.
func (verdict Verdict) String() string { return verdictNames[verdict] }

// Decision is a verdict and what it rests on.
type Decision struct {
	Verdict    Verdict
	Estimate   int64         // tokens that wait at most, without the job and without what other processes accepted on their shares
	RetryAfter time.Duration // of a rejected job: when it can be expected to fit; 0 if it never does
	Grant      *Grant        // of a job that is accepted on the share: to be settled or refunded
}

// Limiter decides for one process which jobs of one route it accepts, so that the tokens that wait on the route never exceed
// the bound and its overshoot, whatever the processes know of each other. It must not be used concurrently.
//
// A process accepts a job without asking if its view says that the job fits, and if all that it accepted in this way within
// shareWindow is no more than its share of the overshoot. Otherwise the job is counted in the store. The counter tells a
// process how many tokens its view does not show yet, except those accepted on shares, which the overshoot covers.
type Limiter struct {
	Started time.Time // of the process, which may have used its share before it was restarted

	grants  []*Grant
	drained []sample // within drainWindow, oldest first
}

// Grant is a job that was accepted on the share of a process.
type Grant struct {
	tokens  int64
	settled time.Time // time by which its record was written; zero if that is not known yet
}

// sample is a value of Usage.Finished.
type sample struct {
	at     time.Time
	tokens int64
}

// Decide decides about a job with a number of tokens.
func (limiter *Limiter) Decide(now time.Time, bound Bound, usage Usage, tokens int64) (decision Decision) {
	limiter.observe(now, usage.Finished)
	overshoot := int64(float64(bound.Tokens) * max(0, bound.Overshoot))
	decision.Estimate = usage.Waiting + max(0, usage.Latest.Tokens-usage.Seen.Tokens)
	room := bound.Tokens - decision.Estimate
	share := overshoot / shareWindows / int64(max(1, usage.Processes))
	// A view that is older may lack the shares of more windows.
	missed := int64(max(0, math.Ceil(float64(usage.ViewAge-MaxViewAge)/float64(shareWindow)))) * overshoot / shareWindows
	switch {
	case tokens > room:
		decision.Verdict = Reject
		if tokens <= bound.Tokens {
			decision.RetryAfter = limiter.retryAfter(tokens - room)
		}
	case usage.ViewAge <= MaxViewAge && limiter.granted(now)+tokens <= share && now.Sub(limiter.Started) >= shareWindow:
		decision.Verdict, decision.Grant = AcceptShared, &Grant{tokens: tokens}
		limiter.grants = append(limiter.grants, decision.Grant)
	case tokens > room-missed:
		decision.Verdict, decision.RetryAfter = Defer, minRetryAfter
	default:
		decision.Verdict = AcceptCounted
	}
	return decision
}

// Settle records the latest time at which the job of grant was written, or may still be.
func (limiter *Limiter) Settle(grant *Grant, written time.Time) { grant.settled = written }

// Refund takes back a grant whose job was certainly not written.
func (limiter *Limiter) Refund(grant *Grant) {
	limiter.grants = slices.DeleteFunc(limiter.grants, func(other *Grant) bool { return other == grant })
}

// granted returns the tokens that were accepted on the share within shareWindow.
func (limiter *Limiter) granted(now time.Time) (tokens int64) {
	limiter.grants = slices.DeleteFunc(limiter.grants, func(grant *Grant) bool {
		return !grant.settled.IsZero() && now.Sub(grant.settled) > shareWindow
	})
	for _, grant := range limiter.grants {
		tokens += grant.tokens
	}
	return tokens
}

// observe records the tokens that have been finished so far.
func (limiter *Limiter) observe(now time.Time, finished int64) {
	limiter.drained = append(limiter.drained, sample{now, finished})
	for len(limiter.drained) > 2 && now.Sub(limiter.drained[1].at) > drainWindow {
		limiter.drained = limiter.drained[1:]
	}
}

// retryAfter returns the time in which a number of tokens can be expected to be finished, at the rate of the last seconds.
func (limiter *Limiter) retryAfter(tokens int64) time.Duration {
	first, last := limiter.drained[0], limiter.drained[len(limiter.drained)-1]
	finished, elapsed := last.tokens-first.tokens, last.at.Sub(first.at)
	if finished <= 0 || elapsed <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(elapsed) * float64(tokens) / float64(finished))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
