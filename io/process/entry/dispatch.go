package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/coordination/retry"
	"cowslipway/core/coordination/routing"
	"cowslipway/core/state/config"
	"cowslipway/core/state/request"
	"cowslipway/core/state/runs"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/protocol/peer"
)

// call is one request on its way to a target.
type call struct {
	id          string
	attemptID   string // of the next attempt; empty lets each attempt make its own
	account     config.Account
	service     config.Service
	version     int64
	class       request.Class
	method      string
	path        string
	headers     []peer.Header
	body        []byte
	tokens      int64
	prefix      uint64
	fingerprint uint64
	idempotent  bool
	weight      float64
	places      []string // permitted, nearest first
	deadline    time.Time
	grantID     uint64 // of a batch item
	jobID       string // of a batch item
}

// receiver takes the answer to a call as it arrives.
type receiver interface {
	// head is called once for each attempt that gets an answer.
	head(head peer.Head, view *targetView)
	// data reports an error where the caller is gone.
	data(data []byte) (err error)
	// committed reports whether the caller has got something already, so that no further attempt may follow.
	committed() bool
}

// result is how a call ended.
type result struct {
	request.Outcome
	target   string
	place    string
	attempts int
	end      peer.End
}

// dispatch takes a call through its plan of attempts.
func (entry *Entry) dispatch(ctx context.Context, call *call, receiver receiver) (result result) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	plan := &retry.Plan{MaxAttempts: entry.Settings.MaxAttempts, Idempotent: call.idempotent, Deadline: call.deadline}
	entry.retryBudget.Deposit()
	ended := request.Outcome{Disposition: request.NotRun}
	for {
		view, refusal := entry.chooseTarget(call, plan)
		if view == nil {
			if plan.Attempts() == 0 {
				ended = refusal
			}
			break
		}
		plan.Begin(view.name)
		result.target, result.place = view.name, view.place
		outcome, end := entry.attempt(ctx, call, view, receiver)
		result.end = end
		ended = combineOutcomes(ended, outcome)
		if outcome.Disposition == request.Done || receiver.committed() || !plan.ShouldRetry(time.Now(), outcome, &entry.retryBudget) {
			break
		}
		entry.metrics.retries.Add(1)
	}
	result.Outcome, result.attempts = ended, plan.Attempts()
	return result
}

// combineOutcomes returns what is to be said of a request after a further attempt: once an attempt may have run, a
// later refusal does not make the request one that has not.
func combineOutcomes(before, now request.Outcome) request.Outcome {
	if now.Disposition == request.NotRun && before.Disposition != request.NotRun {
		now.Disposition = before.Disposition
	}
	if now.Disposition == request.Failed && before.Disposition == request.MayHaveRun {
		now.Disposition = request.MayHaveRun
	}
	return now
}

// chooseTarget returns the target of the next attempt, or why there is none.
func (entry *Entry) chooseTarget(call *call, plan *retry.Plan) (view *targetView, refusal request.Outcome) {
	views := entry.fleet.Load().services[call.service.Name]
	now := time.Now()
	var buffer [64]routing.Candidate
	candidates := buffer[:0]
	for _, view := range views {
		candidates = append(candidates, view.candidate(now, !view.daemon.usable(now) || plan.HasTried(view.name)))
	}
	wanted := routing.Request{Places: call.places, Prefix: call.prefix}
	chosen := entry.Chooser.Choose(newRand(), wanted, candidates)
	if chosen < 0 {
		return nil, request.Outcome{Disposition: request.NotRun, Reason: request.ReasonNoTarget}
	}
	return views[chosen], request.Outcome{}
}

// attempt sends a call to one target and passes the answer on.
func (entry *Entry) attempt(ctx context.Context, call *call, view *targetView, receiver receiver) (outcome request.Outcome, end peer.End) {
	ctx, span := entry.Tracer.Start(ctx, "entry.attempt", trace.WithAttributes(attribute.String("target", view.name)))
	defer span.End()
	suspect, _ := entry.suspects.status(call.fingerprint)
	attempt := entry.newAttempt(ctx, call, view)
	attempt.Suspect = suspect
	entry.metrics.attempts.Add(1)
	view.outstanding.Add(1)
	defer view.outstanding.Add(-1)
	run := newRun(call, attempt)
	entry.history.Begin(run)
	entry.history.Start(run.AttemptID)
	outcome, end = sendAttempt(ctx, attempt, call.body, view, receiver)
	entry.history.End(run.AttemptID, outcome, time.Now())
	if end.Load.Target == view.name {
		view.recordLoad(end.Load)
	}
	entry.updateSuspects(call.fingerprint, suspect, outcome)
	span.SetAttributes(attribute.String("disposition", outcome.Disposition.String()))
	return outcome, end
}

func (entry *Entry) newAttempt(ctx context.Context, call *call, view *targetView) peer.Attempt {
	attemptID := call.attemptID
	if attemptID == "" {
		attemptID = request.NewID("attempt-")
	}
	return peer.Attempt{
		RequestID:   call.id,
		AttemptID:   attemptID,
		Version:     call.version,
		Entry:       entry.Settings.Name,
		Class:       call.class,
		Account:     call.account.Name,
		Service:     call.service.Name,
		Place:       view.place,
		Target:      view.name,
		Method:      call.method,
		Path:        call.path,
		Headers:     call.headers,
		Remaining:   time.Until(call.deadline),
		Tokens:      call.tokens,
		Idempotent:  call.idempotent,
		Weight:      call.weight,
		Fingerprint: call.fingerprint,
		TraceParent: telemetry.Traceparent(ctx),
		GrantID:     call.grantID,
		JobID:       call.jobID,
	}
}

func newRun(call *call, attempt peer.Attempt) runs.Run {
	return runs.Run{
		RequestID:  call.id,
		AttemptID:  attempt.AttemptID,
		Account:    call.account.Name,
		Service:    call.service.Name,
		Place:      attempt.Place,
		Target:     attempt.Target,
		Idempotent: call.idempotent,
		Started:    time.Now(),
	}
}

// sendAttempt does one attempt over the connection to the target's daemon.
func sendAttempt(ctx context.Context, attempt peer.Attempt, body []byte, view *targetView, receiver receiver) (outcome request.Outcome, end peer.End) {
	opened := view.daemon.connections.Load()
	if opened == nil {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonTargetLost}, peer.End{}
	}
	answer, err := opened.clientFor(attempt.Class).SendAttempt(ctx, attempt, body)
	if err != nil {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonTargetLost}, peer.End{}
	}
	stop := context.AfterFunc(ctx, answer.Cancel)
	defer stop()
	if answer.ReadHead() == nil {
		receiver.head(answer.Head, view)
		forwardResponse(answer, receiver)
	}
	outcome = answer.Outcome()
	outcome.Reason = endReason(ctx, outcome.Reason)
	return outcome, answer.End()
}

// endReason returns why an attempt ended. When the caller's time is over, entry and target stop the attempt
// side by side, and a target that does not answer the cancel in time need not be lost.
func endReason(ctx context.Context, told request.Reason) request.Reason {
	if ctx.Err() == nil || told != request.ReasonTargetLost && told != request.ReasonCancelled {
		return told
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.ReasonDeadline
	}
	return request.ReasonCancelled
}

func forwardResponse(answer *peer.ResponseStream, receiver receiver) {
	for {
		data, err := answer.Next()
		if err != nil {
			return
		}
		if receiver.data(data) != nil {
			answer.Cancel()
			answer.Discard()
			return
		}
	}
}

// updateSuspects takes what the end of an attempt says about requests that crash targets.
func (entry *Entry) updateSuspects(fingerprint uint64, suspect bool, outcome request.Outcome) {
	switch {
	case outcome.Reason == request.ReasonPoisonPill:
		entry.suspects.quarantine(fingerprint)
	case outcome.Disposition == request.Done && suspect:
		entry.suspects.clear(fingerprint)
	case outcome.Disposition != request.MayHaveRun:
		return
	case outcome.Reason == request.ReasonEngineLost:
		// The daemon keeps the score; here the next attempt must know.
		entry.suspects.merge([]uint64{fingerprint}, nil)
	case outcome.Reason == request.ReasonTargetLost:
		entry.suspects.recordCrash(fingerprint, poisonpill.VMCrash, suspect)
	}
}
