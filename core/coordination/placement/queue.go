package placement

import (
	"slices"
	"time"

	"cowslipway/core/coordination/shares"
)

const (
	rateWindow         = time.Second           // time constant of the average release rate
	initialReleaseRate = 20                    // slots per second, as two engines release; used before the first release
	minRetryAfter      = 50 * time.Millisecond // a caller that retries earlier arrives before a slot is free
	maxRetryAfter      = 1500 * time.Millisecond
	firstMargin        = 10 * time.Millisecond // before its deadline, the first request in the queue is rejected
)

// waiter is an online request in the queue.
type waiter struct {
	ticket  int
	request Request
}

// AcquireOnline places an online request: at an engine with a free slot, else at one where it preempts a batch item,
// else in the queue. The request is rejected if no engine can run it or if it would wait beyond its deadline.
func (pool *Pool) AcquireOnline(now time.Time, request Request) (decision Decision) {
	pool.countDemand(now, request.Service)
	if request.Account != "" {
		pool.shares.Report(now, request.Account, request.Weight, request.Usage, request.UsageKnown)
	}
	decision, ok := pool.acquireSlot(now, request)
	if ok {
		if request.Account != "" {
			pool.shares.Serve(now, request.Account)
		}
		return decision
	}
	decision.Limited = pool.limitedCandidates(now, request)
	if decision.Candidates == 0 {
		return Decision{RetryAfter: maxRetryAfter, Reason: "no engine", Waiting: len(pool.queue)}
	}
	ticket := pool.lastTicket + 1
	queue := append(slices.Clone(pool.queue), waiter{ticket: ticket, request: request})
	pool.sortQueue(now, queue)
	ahead := len(pool.queue)
	if request.Account != "" {
		ahead = slices.IndexFunc(queue, func(other waiter) bool { return other.ticket == ticket })
	}
	wait := pool.estimateWait(now, ahead)
	if now.Add(wait).After(request.Deadline) && !pool.mayWaitForToken(now, request, decision.Limited) {
		return Decision{RetryAfter: retryAfter(wait), Reason: "queue drains too late", Candidates: decision.Candidates, Limited: decision.Limited, Waiting: len(pool.queue)}
	}
	pool.lastTicket++
	pool.queue = queue
	return Decision{Ticket: pool.lastTicket, Limited: decision.Limited}
}

// sortQueue orders waiting requests: by deadline, or fairly as soon as one of them has an account.
func (pool *Pool) sortQueue(now time.Time, queue []waiter) {
	if slices.ContainsFunc(queue, func(waiter waiter) bool { return waiter.request.Account != "" }) {
		shares.Sort(&pool.shares, now, queue, func(waiter waiter) shares.Entry {
			return shares.Entry{Account: waiter.request.Account, Priority: waiter.request.Priority, Deadline: waiter.request.Deadline}
		})
		return
	}
	slices.SortStableFunc(queue, func(a, b waiter) int { return a.request.Deadline.Compare(b.request.Deadline) })
}

// EstimateWait estimates how long one more request would wait in the queue, from the rate at which this process has
// released slots lately.
func (pool *Pool) EstimateWait(now time.Time) time.Duration {
	return pool.estimateWait(now, len(pool.queue))
}

// estimateWait estimates how long a request waits with so many others ahead of it in the queue.
func (pool *Pool) estimateWait(now time.Time, ahead int) time.Duration {
	rate := pool.releaseRate
	if pool.releaseRateAt.IsZero() {
		rate = initialReleaseRate
	} else {
		rate *= decay(now.Sub(pool.releaseRateAt))
	}
	rate = max(rate, 1)
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// remainingWait estimates how long a request waits on that waits already with so many others ahead of it. The first one waits almost to its
// deadline: a process that releases few slots itself can't estimate when another one releases a slot.
func (pool *Pool) remainingWait(now time.Time, ahead int) (wait time.Duration) {
	wait = pool.estimateWait(now, ahead)
	if ahead == 0 {
		return min(wait, firstMargin)
	}
	return wait
}

// retryAfter returns the delay after which a caller should retry if the estimated wait in the queue is wait.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// decay returns the weight, from 1 down to 0, of a rate that was measured elapsed ago.
func decay(elapsed time.Duration) float64 {
	return 1 / (1 + max(0, elapsed.Seconds())/rateWindow.Seconds())
}

// ProcessQueue places the requests in the queue in their order, and rejects those whose deadline was exceeded, and those of accounts that
// can't get a slot in time behind the others. It returns the decisions.
func (pool *Pool) ProcessQueue(now time.Time) (grants []Grant) {
	pool.sortQueue(now, pool.queue)
	kept := pool.queue[:0]
	full := map[string]bool{} // services without a slot for any request
	for _, waiter := range pool.queue {
		var decision Decision
		ok := false
		if !full[waiter.request.Service] {
			decision, ok = pool.acquireSlot(now, waiter.request)
			full[waiter.request.Service] = !ok && waiter.request.Only == 0 && len(waiter.request.Excluded) == 0 && waiter.request.Version == "" && !waiter.request.SkipEjected
		}
		switch {
		case ok:
			if waiter.request.Account != "" {
				pool.shares.Serve(now, waiter.request.Account)
			}
			grants = append(grants, Grant{Ticket: waiter.ticket, Decision: decision})
		case now.After(waiter.request.Deadline):
			decision = Decision{RetryAfter: retryAfter(pool.EstimateWait(now)), Reason: "no slot in time", Candidates: decision.Candidates, Limited: pool.limitedCandidates(now, waiter.request), Waiting: len(pool.queue)}
			grants = append(grants, Grant{Ticket: waiter.ticket, Decision: decision})
		case waiter.request.Account != "" && now.Add(pool.remainingWait(now, len(kept))).After(waiter.request.Deadline):
			decision = Decision{RetryAfter: retryAfter(pool.EstimateWait(now)), Reason: "queue drains too late", Candidates: decision.Candidates, Limited: pool.limitedCandidates(now, waiter.request), Waiting: len(pool.queue)}
			grants = append(grants, Grant{Ticket: waiter.ticket, Decision: decision})
		default:
			kept = append(kept, waiter)
		}
	}
	pool.queue = kept
	return grants
}

// Cancel removes a request from the queue and reports whether it was still there.
func (pool *Pool) Cancel(ticket int) bool {
	before := len(pool.queue)
	pool.queue = slices.DeleteFunc(pool.queue, func(waiter waiter) bool { return waiter.ticket == ticket })
	return len(pool.queue) < before
}

// QueueLength returns the number of online requests in the queue.
func (pool *Pool) QueueLength() int { return len(pool.queue) }
