package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/quota"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/process/node"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

// lateWrite is how long a write without a response may still take effect.
const lateWrite = 6 * time.Second

// admission decides which batch jobs of one route this process accepts.
type admission struct {
	counting chan struct{} // holds a token while a job is being counted in the store

	mutex   sync.Mutex // guards the fields below
	limiter quota.Limiter
	latest  quota.Counter // the newest that the store has shown
}

// admissions holds the admission of each route with a bound, by the route's name.
type admissions struct {
	started time.Time

	mutex   sync.Mutex
	byRoute map[string]*admission
}

// of returns the admission of a route.
func (admissions *admissions) of(route string) *admission {
	admissions.mutex.Lock()
	defer admissions.mutex.Unlock()
	found, ok := admissions.byRoute[route]
	if !ok {
		if admissions.byRoute == nil {
			admissions.byRoute = map[string]*admission{}
		}
		found = &admission{counting: make(chan struct{}, 1), limiter: quota.Limiter{Started: admissions.started}}
		admissions.byRoute[route] = found
	}
	return found
}

// submission is a batch job that is being submitted.
type submission struct {
	call   port.Call
	route  routes.Route
	txn    store.Txn // its first condition is that the job does not exist
	items  int
	tokens int64 // of all items
}

// tokensOf returns the sum of the tokens of items.
func tokensOf(items []jobrecord.Item) (tokens int64) {
	for _, item := range items {
		tokens += int64(item.Tokens)
	}
	return tokens
}

// submitBounded accepts a batch job if its tokens fit on its route, and answers the call.
func (server *Server) submitBounded(ctx context.Context, writer http.ResponseWriter, job submission) {
	admission := server.admissions.of(job.route.Name)
	usage, decision := server.decide(admission, job)
	if decision.Verdict == quota.AcceptShared {
		err := server.createJob(ctx, job.txn)
		admission.mutex.Lock()
		switch {
		case err == nil:
			admission.limiter.Settle(decision.Grant, time.Now())
		case errors.Is(err, store.ErrNotExecuted):
			admission.limiter.Refund(decision.Grant)
		default:
			admission.limiter.Settle(decision.Grant, time.Now().Add(lateWrite))
		}
		admission.mutex.Unlock()
		server.answerSubmission(writer, job, err, quotaFields(job, usage, decision)...)
		return
	}
	usage, decision, err := server.createCounted(ctx, admission, job)
	fields := quotaFields(job, usage, decision)
	switch {
	case err != nil || decision.Verdict == quota.AcceptCounted:
		server.answerSubmission(writer, job, err, fields...)
	case decision.Verdict == quota.Defer:
		server.reject(writer, job.call, http.StatusServiceUnavailable, decision.RetryAfter, "not run: it is not known here yet whether the job fits", fields...)
	default:
		server.reject(writer, job.call, http.StatusTooManyRequests, decision.RetryAfter, "not run: the tokens that may wait on the route are used up", fields...)
	}
}

// quotaFields returns the log fields that tell what a decision about a job rests on.
func quotaFields(job submission, usage quota.Usage, decision quota.Decision) []zap.Field {
	return []zap.Field{
		zap.Stringer("quota", decision.Verdict), zap.Int64("tokens", job.tokens), zap.Int64("tokens_waiting", decision.Estimate),
		zap.Int64("tokens_allowed", job.route.MaxWaitingTokens), zap.Duration("view_age", usage.ViewAge),
	}
}

// decide decides about a job by the newest counter that is known.
func (server *Server) decide(admission *admission, job submission) (usage quota.Usage, decision quota.Decision) {
	usage = server.Node.QuotaUsage(job.route.Name)
	bound := quota.Bound{Tokens: job.route.MaxWaitingTokens, Overshoot: server.Node.Settings.QuotaOvershoot}
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if admission.latest.Revision < usage.Seen.Revision {
		admission.latest = usage.Seen
	}
	usage.Latest = admission.latest
	decision = admission.limiter.Decide(time.Now(), bound, usage, job.tokens)
	telemetry.QuotaDecisions.Add(decision.Verdict.String(), 1)
	return usage, decision
}

// createCounted writes a batch job and its route's counter, if the job fits by the counter that the store has then. Jobs of one
// route are counted one after the other, so that those of this process do not conflict. The decision is that about the last
// attempt; AcceptCounted without an error means that the job exists.
func (server *Server) createCounted(ctx context.Context, admission *admission, job submission) (usage quota.Usage, decision quota.Decision, err error) {
	select {
	case admission.counting <- struct{}{}:
		defer func() { <-admission.counting }()
	case <-ctx.Done():
		return usage, decision, errors.Annotate(store.ErrNotExecuted, "waiting for other jobs to be counted")
	}
	for {
		usage, decision = server.decide(admission, job)
		switch decision.Verdict {
		case quota.AcceptShared: // other jobs were counted meanwhile
			admission.mutex.Lock()
			admission.limiter.Refund(decision.Grant)
			admission.mutex.Unlock()
			decision.Verdict = quota.AcceptCounted
		case quota.Reject, quota.Defer:
			// The job may have been accepted at another process, which the view does not show yet.
			_, exists, err := server.Node.Store.Get(ctx, job.txn.Conditions[0].Key)
			if err != nil {
				// A read that fails leaves no doubt: nothing was written.
				return usage, decision, errors.Annotate(store.ErrNotExecuted, err.Error())
			}
			if exists {
				decision.Verdict = quota.AcceptCounted
			}
			return usage, decision, nil
		case quota.AcceptCounted:
		}
		changed, err := server.commitCounted(ctx, admission, job, usage.Latest)
		if !changed {
			return usage, decision, err
		}
	}
}

// commitCounted writes a batch job on condition that the counter of its route is still latest. It reports whether the counter has
// been changed by another process, and the job does not exist.
func (server *Server) commitCounted(ctx context.Context, admission *admission, job submission, latest quota.Counter) (changed bool, err error) {
	key := server.Node.QuotaKey(job.route.Name)
	next := latest.WithTokens(job.tokens)
	value, err := jobrecord.Encode(next)
	if err != nil {
		return false, err
	}
	txn := job.txn
	txn.Conditions = append(txn.Conditions[:len(txn.Conditions):len(txn.Conditions)], store.Condition{Key: key, Revision: latest.Revision})
	txn.Writes = append(txn.Writes[:len(txn.Writes):len(txn.Writes)], store.Write{Key: key, Value: value})
	revision, current, err := server.commitUntilKnown(ctx, txn)
	if err == nil {
		next.Revision = revision
		admission.setLatest(next)
		return false, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return false, err
	}
	found := quota.Counter{}
	for _, item := range current {
		switch {
		case item.Revision == 0 || item.Deleted:
		case item.Key == job.txn.Conditions[0].Key:
			return false, nil // accepted before
		case item.Key == key:
			found, _ = node.DecodeCounter(item) // the view reports a counter that can't be read
		}
	}
	admission.setLatest(found)
	return true, nil
}

// setLatest records a counter that the store has shown.
func (admission *admission) setLatest(counter quota.Counter) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if counter.Revision > admission.latest.Revision {
		admission.latest = counter
	}
}

// commitUntilKnown commits txn, and sends it again until its outcome is known or ctx ends. The cause of its error is then
// store.ErrNotExecuted only if no call took effect; a call that the store refuses never does. The conditions of txn must hold at most once.
func (server *Server) commitUntilKnown(ctx context.Context, txn store.Txn) (revision int64, current []store.Item, err error) {
	uncertain := false // whether an earlier call may still take effect
	for {
		revision, current, err = server.Node.Store.Commit(ctx, txn)
		if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrRefused) {
			return revision, current, err
		}
		uncertain = uncertain || !errors.Is(err, store.ErrNotExecuted)
		select {
		case <-ctx.Done():
			if uncertain {
				// The cause of err concerns the last call only; an earlier one may have taken effect.
				return 0, nil, errors.Annotate(store.ErrOutcomeUnknown, err.Error())
			}
			return 0, nil, err
		case <-time.After(commitRetryDelay):
		}
	}
}
