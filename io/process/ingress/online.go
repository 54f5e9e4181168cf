package ingress

import (
	"context"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/coordination/withdrawal"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/transport/http1"
	"cowslipway/io/transport/upstream"

	"cowslipway/io/process/node"
	"cowslipway/io/process/telemetry"
)

const (
	// firstEventReserve is the time from sending a request to an engine with a free slot until its first event arrives.
	firstEventReserve = 60 * time.Millisecond
	// maxConnectFailures bounds how many engines may refuse a connection without using up the attempts that the route
	// allows: a whole failure domain or half of a service may be down, and a connection is refused within 1 ms.
	maxConnectFailures = 8
	// recordWait bounds the wait for members that hold the record of a stream; they respond within a few milliseconds.
	recordWait = 100 * time.Millisecond
	// noRoomRetryAfter is the time in which memory becomes free as callers that have stopped sending are disconnected.
	noRoomRetryAfter = time.Second
	// trialRetryAfter covers the claim of a trial and the run of most requests.
	trialRetryAfter = time.Second
	copyBufferBytes = 16 << 10
	// soundEvents is the number of events from which on a run counts as one that did not end its engine.
	soundEvents = node.SoundEvents
	// bufferedBodyBytes is how much of a response that is not a stream is read before its header is forwarded, so that
	// another engine can still be tried when the connection breaks.
	bufferedBodyBytes = 64 << 10
)

// onlineRequest is the state of one online request until the caller has its response.
type onlineRequest struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	call     port.Call
	caller   identity // by the configuration at the arrival, and before each attempt by the newest
	route    routes.Route
	table    *routes.Table
	service  string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time // zero if there is none

	usage      float64 // of the caller's account by all ingresses, relative to its limit
	usageKnown bool

	attempts        int
	connectFailures int      // engines that did not accept a connection
	excluded        []uint64 // digests of the engines tried
	erred           bool     // an engine answered with status 500; another one that does tells of the request, not of itself
	mayHaveExecuted bool
	reachedEngine   bool                           // in at least one attempt
	recorded        <-chan struct{}                // closed once other members know which build streams the response; nil if they need not
	trials          map[poisonpill.Fingerprint]int // numbers of the trials that the request runs as, by the request or part that is tried
	version         string                         // software version at which the stream began and may go on; empty while it may begin at any
	headerSent      bool                           // the caller has been sent status and header
	verified        upstream.Verification          // how it is known which incarnation of the engine received the last attempt
	streaming       bool                           // the response is a stream of events
	lastEventID     string                         // ID of the last event sent to the caller
	events          int                            // sent to the caller
	content         func() poisonpill.Content      // returns what engines read of the request
	leftSilent      uint64                         // digest of the engine that the stream was moved from last; 0 if there is none or it was returned to
	next            *placed                        // slot at the engine of the next attempt, if the last one was moved; nil otherwise
	firstEventAt    time.Time
	interruptedAt   time.Time // end of the last attempt in which the request was sent
}

// serveRouted handles a request whose route decides whether it is an online request or the submission of a batch job.
func (server *Server) serveRouted(writer http.ResponseWriter, request *http.Request, call port.Call, arrived time.Time) {
	if !server.Node.Ready() {
		server.reject(writer, call, http.StatusServiceUnavailable, notReadyRetryAfter, "not run: configuration and engines are not known yet")
		return
	}
	uri, path := requestURI(request)
	var route routes.Route
	matched := false
	caller, ok := server.authenticate(writer, call, func(table *routes.Table) bool {
		route, matched = table.Match(request.Host, path)
		return matched && route.Public
	})
	if !ok {
		return
	}
	table := caller.table
	if !caller.hasAccounts {
		route, matched = table.Match(request.Host, path)
	}
	if !matched && !withdrawal.ProvesAbsence(caller.proofAge) {
		server.reject(writer, call, http.StatusServiceUnavailable, staleRetryAfter, "not run: no route matches, and the configuration known here may be out of date", zap.Duration("proof_age", caller.proofAge))
		return
	}
	if !matched {
		server.reject(writer, call, http.StatusNotFound, 0, "no route matches")
		return
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	remaining := call.Remaining
	if route.Timeout > 0 && (remaining == 0 || route.Timeout < remaining) {
		remaining = route.Timeout
	}
	deadline := time.Time{}
	if remaining > 0 && route.Kind != routes.Batch {
		deadline = arrived.Add(remaining)
	}
	body, err := http1.ReadBody(writer, request, limit, deadline)
	if err != nil {
		server.rejectBody(writer, call, err)
		return
	}
	if route.Kind == routes.Batch {
		server.serveSubmission(writer, request, call, caller.accountName(), route, path, body)
		return
	}
	if !server.late.Load().MayServe(time.Now(), deadline) {
		server.reject(writer, call, http.StatusServiceUnavailable, stoppingRetryAfter, "not run: the process stops before the request has to end")
		return
	}
	online := &onlineRequest{
		server: server, writer: writer, request: request, call: call, caller: caller, route: route, table: table,
		service: route.SelectService(call.RequestID), header: upstream.EndToEnd(request.Header), body: body,
		arrived: arrived, lastEventID: call.LastEventID, deadline: deadline,
	}
	online.request.RequestURI = uri
	online.content = sync.OnceValue(online.readContent)
	if online.call.LastEventID != "" && online.resumable() && !online.findVersion() {
		return
	}
	done, ok := online.admitAccount()
	if !ok {
		return
	}
	defer done()
	online.run()
}

// rejectBody answers a call whose body was not read.
func (server *Server) rejectBody(writer http.ResponseWriter, call port.Call, err error) {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		writer.Header().Set("Connection", "close")
		server.reject(writer, call, http.StatusRequestEntityTooLarge, 0, err.Error())
	case errors.Is(err, http1.ErrNoRoom):
		writer.Header().Set("Connection", "close")
		server.reject(writer, call, http.StatusServiceUnavailable, noRoomRetryAfter, "not run: "+err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		writer.Header().Set("Connection", "close")
		server.reject(writer, call, http.StatusRequestTimeout, 0, "not run: time is up before the whole request has arrived")
	default:
		panic(http.ErrAbortHandler) // the caller disconnected before it had sent the whole request
	}
}

// run tries one engine after another until one has served the request or no further attempt is allowed.
func (online *onlineRequest) run() {
	ctx := online.request.Context()
	if !online.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, online.deadline)
		defer cancel()
	}
	defer func() {
		for fingerprint, number := range online.trials {
			online.server.Node.ReturnTrial(fingerprint, number, online.reachedEngine)
		}
	}()
	defer online.returnSlot()
	retryAfter, reason := time.Duration(0), ""
	var fields []zap.Field // of the decision not to send the request to an engine
	for (online.attempts < online.route.MaxAttempts || online.leftSilent != 0) && ctx.Err() == nil {
		if quarantine, ok := online.quarantined(ctx, fleet.Engine{}); ok {
			retryAfter, reason, fields = online.rejectQuarantined(quarantine)
			break
		}
		decision, waited, err := online.acquire(ctx)
		if err != nil {
			break
		}
		if !decision.Admitted {
			retryAfter, reason = decision.RetryAfter, decision.Reason
			if online.version != "" && decision.Candidates == 0 && !online.server.Node.Serves(online.build()) {
				retryAfter, reason = noRetry, versionGoneReason
			}
			fields = online.decisionFields(decision, waited)
			break
		}
		if quarantine, ok := online.quarantined(ctx, decision.Engine); ok { // since it began to wait for the slot, or at this engine's build only
			online.server.Node.Release(decision.Engine, false)
			retryAfter, reason, fields = online.rejectQuarantined(quarantine)
			break
		}
		if !online.recheck() {
			online.server.Node.Release(decision.Engine, false)
			_, retryAfter, reason = online.caller.refusal()
			fields = append(online.decisionFields(decision, waited), online.caller.fields()...)
			break
		}
		online.attempts++
		online.log("placed", decision.Engine, slices.Concat(online.decisionFields(decision, waited), speedFields(decision), online.caller.fields())...)
		online.verified = upstream.Unverified
		sent := time.Now()
		result, cause := online.attempt(ctx, decision.Engine)
		online.reachedEngine = online.reachedEngine || result != notExecuted
		telemetry.Attempts.Add(result.String(), 1)
		telemetry.EngineResults.Add(decision.Engine.ID+" "+result.String(), 1)
		online.log("attempt", decision.Engine, zap.Stringer("outcome", result), zap.String("verified", string(online.verified)), telemetry.NamedErr("cause", cause), online.fingerprintField(result))
		if !errors.Is(cause, upstream.ErrNotSent) {
			online.interruptedAt = time.Now()
		} else if online.recordConnectFailure() {
			online.attempts-- // the request was not sent in this attempt
		}
		if result == served {
			online.recordOutput()
		}
		if result == served || result == failureForwarded {
			online.recordOutcome(result.String())
			return
		}
		if online.events > 0 && online.resumable() {
			if online.version == "" && online.server.Node.BegunElsewhere(decision.Engine, sent) {
				reason = engineReplacedReason
				break
			}
			online.version = decision.Engine.SoftwareVersion
		}
		online.excluded = append(online.excluded, decision.Engine.Digest())
		if errors.Is(cause, errIdleTimeout) {
			online.leftSilent = decision.Engine.Digest()
		}
		reason = "engine failed"
		if result == unknown {
			online.mayHaveExecuted = true
			if !online.route.Retryable() || online.headerSent && !online.streaming {
				break
			}
		}
	}
	online.rejectUnserved(ctx, retryAfter, reason, fields)
}

// acquire acquires a slot for the next attempt, unless the last one was ended for a slot at another engine. Once the attempts are used
// up, the stream may return to the engine that it was moved from: that is no further engine, and may only have paused.
func (online *onlineRequest) acquire(ctx context.Context) (decision placement.Decision, waited time.Duration, err error) {
	if next := online.next; next != nil {
		online.next = nil
		return next.decision, next.waited, nil
	}
	started, request := time.Now(), online.placementRequest()
	if online.attempts >= online.route.MaxAttempts {
		request.Only, request.Excluded, online.leftSilent = online.leftSilent, nil, 0
	}
	decision, err = online.server.Node.Acquire(ctx, request)
	return decision, time.Since(started), err
}

// returnSlot releases the slot for the next attempt if there is no such attempt.
func (online *onlineRequest) returnSlot() {
	if online.next != nil {
		online.server.Node.Release(online.next.decision.Engine, false)
	}
}

// decisionFields returns the log fields for the state of the engines and the queue at the time of a placement decision.
func (online *onlineRequest) decisionFields(decision placement.Decision, waited time.Duration) []zap.Field {
	return []zap.Field{
		zap.String("incarnation", decision.Engine.Incarnation()), zap.String("software", decision.Engine.SoftwareVersion), zap.String("begun_by", online.call.BegunBy),
		zap.Bool("urgent", decision.Urgent), zap.Int("load", decision.Load), zap.Int("candidates", decision.Candidates), zap.Int("limited", decision.Limited),
		zap.Int("waiting", decision.Waiting), zap.Duration("waited", waited), zap.Duration("view_age", online.server.Node.ViewAge()),
	}
}

// placementRequest returns the request for a slot at the next engine. Its deadline leaves time for the first event, or for
// the next one of a stream that has begun.
func (online *onlineRequest) placementRequest() placement.Request {
	deadline := online.arrived.Add(online.route.TargetLatency - firstEventReserve)
	if online.headerSent {
		deadline = time.Now().Add(online.route.MaxPause)
	}
	request := online.caller.apply(placement.Request{
		Service: online.service, Version: online.version, Domain: online.server.Node.Settings.FailureDomain, Excluded: online.excluded, Deadline: deadline,
		Prefix: online.call.Prefix, Priority: online.route.Priority, Repeatable: online.route.Retryable() && online.attempts+1 < online.route.MaxAttempts,
		Work: online.expectedWork(),
	})
	request.Usage, request.UsageKnown = online.usage, online.usageKnown
	return request
}

// rejectUnserved ends a request that no engine has served: with an error status, or by closing the connection where the
// caller has disconnected or has been sent part of the response.
func (online *onlineRequest) rejectUnserved(ctx context.Context, retryAfter time.Duration, reason string, decisionFields []zap.Field) {
	switch {
	case online.request.Context().Err() != nil:
		online.recordOutcome("caller gone")
		online.log("caller gone", fleet.Engine{})
		panic(http.ErrAbortHandler)
	case online.headerSent:
		if ctx.Err() != nil {
			reason = "time is up"
		}
		online.recordOutcome("broken off")
		telemetry.BrokenOff.Add(reason, 1)
		online.log("broken off", fleet.Engine{}, zap.String("reason", reason))
		panic(http.ErrAbortHandler)
	case online.mayHaveExecuted && ctx.Err() != nil:
		online.server.reject(online.writer, online.call, http.StatusGatewayTimeout, 0, "time is up; the request may have run")
	case online.mayHaveExecuted:
		online.server.reject(online.writer, online.call, http.StatusBadGateway, 0, "the request may have run: "+reason, decisionFields...)
	default:
		if reason == "" {
			reason = "time is up"
		}
		if retryAfter != noRetry {
			retryAfter = max(retryAfter, notReadyRetryAfter/10)
		}
		status := http.StatusServiceUnavailable
		if online.caller.verdict == withdrawal.Unknown { // withdrawn since the arrival
			status = http.StatusUnauthorized
		}
		online.server.reject(online.writer, online.call, status, retryAfter, "not run: "+reason, decisionFields...)
	}
}

// recordOutcome records in the metrics how the request ended.
func (online *onlineRequest) recordOutcome(outcome string) {
	label := online.route.Kind.String() + " " + outcome
	telemetry.Requests.Add(label, 1)
	telemetry.RequestTime.Observe(label, time.Since(online.arrived))
	if online.streaming && !online.firstEventAt.IsZero() {
		telemetry.FirstEventTime.Observe(online.route.Kind.String(), online.firstEventAt.Sub(online.arrived))
	}
}

// log writes a line with the state of the request and the given engine, which may be empty.
func (online *onlineRequest) log(message string, engine fleet.Engine, fields ...zap.Field) {
	firstEvent := time.Duration(0)
	if !online.firstEventAt.IsZero() {
		firstEvent = online.firstEventAt.Sub(online.arrived)
	}
	online.server.Log.Info(message, append(fields, zap.String("request", online.call.RequestID), zap.String("route", online.route.Name),
		zap.Int64("configuration", online.table.Version), zap.String("engine", engine.ID), zap.Int("attempt", online.attempts),
		zap.Int("events", online.events), zap.Duration("first", firstEvent), zap.Duration("since_arrival", time.Since(online.arrived)))...)
}
