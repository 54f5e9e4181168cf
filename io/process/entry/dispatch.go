package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"cowslipway/core/coordination/retry"
	"cowslipway/core/coordination/routing"
	"cowslipway/core/state/config"
	"cowslipway/core/state/request"
	"cowslipway/core/state/runs"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/protocol/peer"
	"cowslipway/io/transport/http1"
)

// call is one request that is to be sent to a target.
type call struct {
	id          string // request ID
	attemptID   string // ID of the next attempt; if empty, each attempt gets a new one
	account     config.Account
	service     config.Service
	version     int64 // of the configuration that the call was created with
	class       request.Class
	method      string
	path        string // with the query
	headers     []peer.Header
	body        []byte
	tokens      int64  // estimate for prompt and response
	prefix      uint64 // hash of the first blocks of the prompt; 0 disables affinity
	fingerprint uint64 // of account, service, method, path and body
	idempotent  bool
	weight      float64  // weight of the account for the service
	places      []string // permitted places, nearest first
	deadline    time.Time
	grantID     uint64 // grant of a batch item
	jobID       string // job of a batch item
}

// receiver receives the response to a call as it arrives.
type receiver interface {
	// head is called at most once for each attempt, with the head of the response from the target of view.
	head(head peer.Head, view *targetView)
	// data is called with the next part of the body. An error stops the attempt.
	data(data []byte) (err error)
	// responseStarted reports whether part of the response was sent to the caller, which rules out another attempt.
	responseStarted() bool
}

// result is how a call ended. target, place and end are those of the last attempt, zero if there was none.
type result struct {
	request.Outcome
	target   string
	place    string
	attempts int
	end      peer.End
}

// dispatch sends a call to one target after another until an attempt succeeds or the call may not be retried.
func (entry *Entry) dispatch(ctx context.Context, call *call, receiver receiver) (result result) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	plan := &retry.Plan{MaxAttempts: entry.Settings.MaxAttempts, Idempotent: call.idempotent, Deadline: call.deadline}
	entry.retryBudget.Deposit()
	combined := request.Outcome{Disposition: request.NotRun}
	for {
		view, rejection := entry.chooseTarget(call, plan)
		if view == nil {
			if plan.Attempts() == 0 {
				combined = rejection
			}
			break
		}
		plan.Begin(view.name)
		result.target, result.place = view.name, view.place
		outcome, end := entry.attempt(ctx, call, view, receiver)
		result.end = end
		combined = combineOutcomes(combined, outcome)
		if outcome.Disposition == request.Done || receiver.responseStarted() || !plan.ShouldRetry(time.Now(), outcome, &entry.retryBudget) {
			break
		}
		entry.metrics.retries.Add(1)
	}
	result.Outcome, result.attempts = combined, plan.Attempts()
	return result
}

// combineOutcomes returns the outcome of a request whose earlier attempts ended with earlier and whose latest attempt ended
// with latest. If the latest attempt was rejected but an earlier one was or may have been executed, the earlier disposition
// remains. If the latest attempt failed after one that may have been executed, the disposition remains MayHaveRun.
func combineOutcomes(earlier, latest request.Outcome) request.Outcome {
	if latest.Disposition == request.NotRun && earlier.Disposition != request.NotRun {
		latest.Disposition = earlier.Disposition
	}
	if latest.Disposition == request.Failed && earlier.Disposition == request.MayHaveRun {
		latest.Disposition = request.MayHaveRun
	}
	return latest
}

// chooseTarget returns the target for the next attempt. If no target is available, it returns nil and the reason.
func (entry *Entry) chooseTarget(call *call, plan *retry.Plan) (view *targetView, rejection request.Outcome) {
	views := entry.fleet.Load().services[call.service.Name]
	now := time.Now()
	var buffer [64]routing.Candidate
	candidates := buffer[:0]
	for _, view := range views {
		candidates = append(candidates, view.candidate(now, !view.daemon.usable(now) || plan.HasTried(view.name)))
	}
	properties := routing.Request{Places: call.places, Prefix: call.prefix}
	chosen := entry.Chooser.Choose(newRand(), properties, candidates)
	if chosen < 0 {
		return nil, request.Outcome{Disposition: request.NotRun, Reason: request.ReasonNoTarget}
	}
	return views[chosen], request.Outcome{}
}

// attempt sends a call to the target of view once and forwards the response to receiver. It does not send a call that has been
// quarantined since it was accepted, since the target daemon may not know of that.
func (entry *Entry) attempt(ctx context.Context, call *call, view *targetView, receiver receiver) (outcome request.Outcome, end peer.End) {
	suspect, quarantined := entry.suspects.status(call.fingerprint)
	if quarantined {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonPoisonPill}, peer.End{}
	}
	ctx, span := entry.Tracer.Start(ctx, "entry.attempt", trace.WithAttributes(attribute.String("target", view.name)))
	defer span.End()
	attempt := entry.newAttempt(ctx, call, view)
	attempt.Suspect = suspect
	entry.metrics.attempts.Add(1)
	view.outstanding.Add(1)
	defer view.outstanding.Add(-1)
	run := newRun(call, attempt)
	entry.history.Begin(run)
	entry.history.Start(run.AttemptID)
	conns := view.daemon.connections.Load()
	outcome, end = sendAttempt(ctx, attempt, call.body, conns, view, receiver)
	entry.history.End(run.AttemptID, outcome, time.Now())
	if end.Load.Target == view.name {
		view.recordLoad(end.Load)
	}
	if outcome.Disposition == request.MayHaveRun && outcome.Reason == request.ReasonTargetLost {
		if entry.suspects.recordLoss(call.fingerprint, suspect, run.Started) && !view.leaving() {
			view.daemon.recordLoss(call.fingerprint, conns)
		}
	} else {
		entry.updateSuspects(call.fingerprint, suspect, outcome)
	}
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

// sendAttempt sends an attempt over conns to the target daemon of view and forwards the response to receiver. end is the last
// frame of the response, zero if none was received. conns is nil if the daemon is not connected.
func sendAttempt(ctx context.Context, attempt peer.Attempt, body []byte, conns *connections, view *targetView, receiver receiver) (outcome request.Outcome, end peer.End) {
	if conns == nil {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonTargetLost}, peer.End{}
	}
	response, err := conns.clientFor(attempt.Class).SendAttempt(ctx, attempt, body)
	if err != nil {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonTargetLost}, peer.End{}
	}
	stop := context.AfterFunc(ctx, response.Cancel)
	defer stop()
	var refusal error
	if response.ReadHead() == nil {
		receiver.head(response.Head, view)
		refusal = forwardResponse(response, receiver)
	}
	outcome = forwardedOutcome(response.Outcome(), refusal)
	outcome.Reason = endReason(ctx, outcome.Reason)
	return outcome, response.End()
}

// forwardedOutcome returns the outcome of an attempt whose response the receiver has refused with an error, or taken whole if it is nil. The
// daemon does not know of the refusal, after which the attempt may have been cancelled or not.
func forwardedOutcome(reported request.Outcome, refusal error) request.Outcome {
	switch {
	case refusal == nil || reported.Disposition != request.Done && reported.Reason != request.ReasonCancelled:
		return reported
	case errors.Is(refusal, errItemsHoldMemory):
		return request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonPreempted}
	case reported.Disposition == request.Done || errors.Is(refusal, errResponseTooLarge) || errors.Is(refusal, http1.ErrNoRoom):
		return request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonBrokenResponse}
	}
	return reported // the caller has disconnected
}

// endReason returns why an attempt ended; reported is the reason that the response gave. If ctx is done, entry and target
// stop the attempt independently, so a target that does not respond to the cancellation in time is not taken as lost.
func endReason(ctx context.Context, reported request.Reason) request.Reason {
	if ctx.Err() == nil || reported != request.ReasonTargetLost && reported != request.ReasonCancelled {
		return reported
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.ReasonDeadline
	}
	return request.ReasonCancelled
}

// forwardResponse forwards the body of a response to receiver. If receiver returns an error, it cancels the attempt and
// reads on to the last frame, which holds the outcome. It returns the error of receiver.
func forwardResponse(response *peer.ResponseStream, receiver receiver) (refusal error) {
	for {
		data, err := response.Next()
		if err != nil {
			return nil //nolint:nilerr // the last frame holds the outcome
		}
		if refusal = receiver.data(data); refusal != nil {
			response.Cancel()
			response.Discard()
			return refusal
		}
	}
}

// updateSuspects updates the state of the request with fingerprint after an attempt. suspect is true if the attempt was sent
// as that of a suspect, which the target runs isolated from other suspects.
func (entry *Entry) updateSuspects(fingerprint uint64, suspect bool, outcome request.Outcome) {
	switch {
	case outcome.Reason == request.ReasonPoisonPill:
		entry.suspects.quarantine(fingerprint)
	case outcome.Disposition == request.Done && suspect:
		entry.suspects.clear(fingerprint)
	case outcome.Disposition != request.MayHaveRun:
		return
	case outcome.Reason == request.ReasonEngineLost:
		// The daemon records the crash; here the request only becomes a suspect, so that the next attempt is sent as one.
		entry.suspects.merge([]uint64{fingerprint}, nil)
	}
}
