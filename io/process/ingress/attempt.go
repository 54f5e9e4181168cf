package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/transport/upstream"

	"cowslipway/io/process/node"
)

// outcome is the result of one attempt.
type outcome uint8

const (
	served           outcome = iota // the caller has received the whole response
	notExecuted                     // the engine has not executed the request and will not
	unknown                         // the request may have been executed, or its response was interrupted
	failureForwarded                // the caller has received the engine's error response
)

var outcomeNames = [...]string{"served", "not run", "unknown", "failure forwarded"}

// String returns the name of the outcome in logs and metrics.
func (outcome outcome) String() string { return outcomeNames[outcome] }

// recordConnectFailure counts an engine that did not accept a connection. It reports whether another engine may be tried
// without using up an attempt: for some time from the arrival on, or from the interruption of a stream that has begun.
func (online *onlineRequest) recordConnectFailure() bool {
	online.connectFailures++
	since, limit := online.arrived, online.firstEventTimeout()
	if online.headerSent {
		since, limit = online.interruptedAt, online.eventTimeout()
	}
	return online.connectFailures < maxConnectFailures && time.Since(since) < limit
}

// attempt sends the request to one engine and forwards its response to the caller.
func (online *onlineRequest) attempt(ctx context.Context, engine fleet.Engine) (result outcome, cause error) {
	node := online.server.Node
	defer node.Release(engine, false)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() { cause = online.attemptCause(ctx, cause) }()
	watchdog := online.startWatchdog(ctx, engine, cancel)
	defer func() { online.next = watchdog.stop() }()
	remaining := time.Duration(0)
	if !online.deadline.IsZero() {
		remaining = time.Until(online.deadline)
	}
	sent, eventsBefore := time.Now(), online.events
	exchange, err := node.Upstream.Send(ctx, upstream.Request{
		Address: engine.Address,
		Method:  online.request.Method,
		URI:     online.request.RequestURI,
		Host:    online.request.Host,
		Header:  online.header,
		Body:    online.body,
		Attempt: port.Attempt{RequestID: online.call.RequestID, Engine: engine.ID, Remaining: remaining, LastEventID: online.lastEventID, Account: online.caller.accountName(), HasAccounts: online.caller.hasAccounts},

		StartUnixMilli: engine.StartUnixMilli, GoesOn: online.lastEventID != "",
	})
	if errors.Is(err, upstream.ErrRestarted) {
		node.RecordReplaced(engine)
		return notExecuted, err
	}
	if errors.Is(err, upstream.ErrUnverified) {
		return notExecuted, err
	}
	if err != nil {
		online.reportFailure(ctx, engine)
		if errors.Is(err, upstream.ErrNotSent) {
			return notExecuted, err
		}
		online.checkEngineEnd(ctx, engine, sent, eventsBefore)
		return unknown, err
	}
	defer exchange.Abort()
	online.verified = exchange.Verified
	status := exchange.Response.StatusCode
	engineFull := node.RecordResponseHead(engine, sent, exchange.Head, exchange.Head.NotExecuted)
	switch {
	case exchange.Head.NotExecuted:
		exchange.Discard()
		if exchange.Head.WrongEngine {
			node.RecordReplaced(engine)
		} else if !engineFull {
			node.RecordFailure(engine)
		}
		return notExecuted, errors.Errorf("status %d, not run", status)
	case !exchange.Head.Signed:
		online.reportFailure(ctx, engine)
		return unknown, errors.Errorf("status %d without the engine's signature", status)
	case status == http.StatusInternalServerError && !online.erred:
		online.erred = true
		node.RecordErrorResponse(engine)
	}
	switch {
	case status >= http.StatusInternalServerError && online.route.Retryable() && online.attempts < online.route.MaxAttempts:
		exchange.Discard()
		return unknown, errors.Errorf("status %d", status)
	case online.headerSent && (status != http.StatusOK || !isEvents(exchange.Response)):
		exchange.Discard()
		return unknown, errors.Errorf("status %d for the rest of a stream", status)
	}
	if online.route.Kind == routes.Stream && status == http.StatusOK && isEvents(exchange.Response) {
		online.streaming = true
		err = online.forwardEvents(ctx, engine, exchange, sent, watchdog)
	} else {
		watchdog.stop()
		err = online.forwardBody(ctx, engine, exchange)
	}
	if err != nil {
		if !errors.Is(err, upstream.ErrNoEvidence) { // the engine may be sound
			online.reportFailure(ctx, engine)
		}
		online.checkEngineEnd(ctx, engine, sent, eventsBefore)
		return unknown, err
	}
	exchange.Release()
	if status < http.StatusInternalServerError {
		node.RecordSuccess(engine)
	}
	if status >= http.StatusBadRequest {
		return failureForwarded, nil
	}
	if exchange.Framed() || online.events-eventsBefore >= soundEvents {
		node.RecordCompletion(online.fingerprint)
		node.RecordSound(engine, online.parts())
	}
	return served, nil
}

// attemptCause returns the reason for which an attempt was cancelled, in place of the connection error that resulted from
// the cancellation. It returns cause where the attempt was not cancelled.
func (online *onlineRequest) attemptCause(ctx context.Context, cause error) error {
	switch {
	case cause == nil:
		return nil
	case errors.Is(context.Cause(ctx), errIdleTimeout), errors.Is(context.Cause(ctx), errQueued):
		return context.Cause(ctx)
	case online.request.Context().Err() != nil:
		return errors.New("the caller disconnected")
	case ctx.Err() != nil:
		return errors.New("deadline exceeded")
	}
	return cause
}

// isEvents reports whether the body of response is a stream of events.
func isEvents(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// reportFailure records a failure of engine, unless the caller has disconnected, the deadline was exceeded or the request
// waited in the engine's queue.
func (online *onlineRequest) reportFailure(ctx context.Context, engine fleet.Engine) {
	if errors.Is(context.Cause(ctx), errQueued) || online.request.Context().Err() != nil || !online.deadline.IsZero() && !time.Now().Before(online.deadline) {
		return
	}
	online.server.Node.RecordFailure(engine)
}

// checkEngineEnd finds out whether engine has ended under the request, unless this process or the caller ended the attempt.
// eventsBefore is the number of events sent to the caller before the attempt.
func (online *onlineRequest) checkEngineEnd(ctx context.Context, engine fleet.Engine, sent time.Time, eventsBefore int) {
	if ctx.Err() == nil {
		online.server.Node.CheckEngineEnd(ctx, node.EngineRun{Engine: engine, RequestID: online.call.RequestID, Content: online.content(), Sent: sent, Events: online.events - eventsBefore})
	}
}
