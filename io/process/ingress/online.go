package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
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
	// trialRetryAfter covers the claim of a trial and the run of most requests.
	trialRetryAfter = time.Second
	copyBufferBytes = 16 << 10
	// soundEvents is the number of events from which on a run counts as one that did not end its engine.
	soundEvents = node.SoundEvents
	// bufferedBodyBytes is how much of a response that is not a stream is read before its header is forwarded, so that
	// another engine can still be tried when the connection breaks.
	bufferedBodyBytes = 64 << 10
)

// quarantinedReason is the reason for which a request is rejected under which several engines have ended.
const quarantinedReason = "quarantined, since engines ended while they ran this request"

// quarantinedPartReason is the reason for which a request is rejected that has a part of a prompt under which several engines have ended.
const quarantinedPartReason = "quarantined, since engines ended while they ran requests with a part of its prompt"

// unprovenReason is the reason for which a request is rejected while another copy of it is tried.
const unprovenReason = "quarantined until one like it has run, since engines ended while they ran copies of this request, or others with a part of its prompt"

// The reasons for which a caller cannot resume a stream.
const (
	versionGoneReason    = "no engine has the software version that began the stream any longer"
	versionUnknownReason = "it is not known which software version began the stream"
	serviceGoneReason    = "the route no longer leads to the service that began the stream"
)

const (
	// noRetry is the retry delay of a rejection that a repeat would meet again.
	noRetry = time.Duration(-1)
	// unknownRetryAfter is the retry delay where a member that may know the stream did not respond.
	unknownRetryAfter = 300 * time.Millisecond
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

// onlineRequest is the state of one online request until the caller has its response.
type onlineRequest struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	call     port.Call
	route    routes.Route
	table    *routes.Table
	service  string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time // zero if there is none

	attempts        int
	connectFailures int      // engines that did not accept a connection
	excluded        []uint64 // digests of the engines tried
	mayHaveExecuted bool
	reachedEngine   bool                           // in at least one attempt
	recorded        <-chan struct{}                // closed once other members know which build streams the response; nil if they need not
	trials          map[poisonpill.Fingerprint]int // numbers of the trials that the request runs as, by the request or part that is tried
	version         string                         // software version at which the stream began and may go on; empty while it may begin at any
	headerSent      bool                           // the caller has been sent status and header
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
	table := server.Node.Table()
	uri, path := requestURI(request)
	route, ok := table.Match(requestHost(request), path)
	if !ok {
		server.reject(writer, call, http.StatusNotFound, 0, "no route matches")
		return
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			server.reject(writer, call, http.StatusRequestEntityTooLarge, 0, err.Error())
			return
		}
		panic(http.ErrAbortHandler) // the caller disconnected before it had sent the whole request
	}
	if route.Kind == routes.Batch {
		server.serveSubmission(writer, request, call, route, path, body)
		return
	}
	online := &onlineRequest{
		server: server, writer: writer, request: request, call: call, route: route, table: table,
		service: route.SelectService(call.RequestID), header: upstream.EndToEnd(request.Header), body: body,
		arrived: arrived, lastEventID: call.LastEventID,
	}
	online.request.RequestURI = uri
	online.content = sync.OnceValue(online.readContent)
	if online.call.LastEventID != "" && online.resumable() && !online.findVersion() {
		return
	}
	remaining := call.Remaining
	if route.Timeout > 0 && (remaining == 0 || route.Timeout < remaining) {
		remaining = route.Timeout
	}
	if remaining > 0 {
		online.deadline = arrived.Add(remaining)
	}
	online.run()
}

// resumable reports whether the response is a stream that another engine may resume.
func (online *onlineRequest) resumable() bool {
	return online.route.Kind == routes.Stream && online.route.Resumable
}

// build returns the build at which the stream may go on.
func (online *onlineRequest) build() fleet.Build {
	return fleet.Build{Service: online.service, Version: online.version}
}

// findVersion sets service and version to those that began the stream which the caller resumes. If they are not known, or no longer
// serve, it rejects the request at once and returns false: the caller can then begin anew.
func (online *onlineRequest) findVersion() (ok bool) {
	started, begunBy := time.Now(), online.call.BegunBy
	if begunBy != "" {
		online.service = online.route.SelectService(begunBy) // as for the request that began the stream
	}
	window := node.StreamWindow(online.route.Timeout)
	found, known := online.server.Node.FindStream(online.request.Context(), begunBy, online.service, window)
	retryAfter, reason, outcome := noRetry, "", "found"
	switch {
	case !known:
		reason, outcome = versionUnknownReason, "unknown"
		if found.Silent > 0 {
			retryAfter = unknownRetryAfter
		}
	case !online.route.LeadsTo(found.Build.Service):
		reason, outcome = serviceGoneReason, "service gone"
	case !online.server.Node.Serves(found.Build):
		reason, outcome = versionGoneReason, "version gone"
	}
	telemetry.Resumptions.Add(outcome, 1)
	online.server.Log.Info("resumption", zap.String("request", online.call.RequestID), zap.String("begun_by", begunBy), zap.String("last_event", online.call.LastEventID),
		zap.String("service", found.Build.Service), zap.String("software", found.Build.Version), zap.String("source", found.Source), zap.Int("asked", found.Asked),
		zap.Int("silent", found.Silent), zap.Duration("window", window), zap.Duration("took", time.Since(started)), zap.Duration("view_age", online.server.Node.ViewAge()), zap.String("outcome", outcome))
	if reason != "" {
		online.server.reject(online.writer, online.call, http.StatusServiceUnavailable, retryAfter, "not run: "+reason)
		return false
	}
	online.service, online.version = found.Build.Service, found.Build.Version
	return true
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
		online.attempts++
		if online.resumable() && online.version == "" {
			online.recorded = online.server.Node.RecordStream(ctx, online.call.RequestID, decision.Engine.Build(), online.attempts+online.connectFailures, node.StreamWindow(online.route.Timeout))
		}
		online.log("placed", decision.Engine, online.decisionFields(decision, waited)...)
		result, cause := online.attempt(ctx, decision.Engine)
		online.reachedEngine = online.reachedEngine || result != notExecuted
		telemetry.Attempts.Add(result.String(), 1)
		telemetry.EngineResults.Add(decision.Engine.ID+" "+result.String(), 1)
		online.log("attempt", decision.Engine, zap.Stringer("outcome", result), telemetry.NamedErr("cause", cause), online.fingerprintField(result))
		if !errors.Is(cause, upstream.ErrNotSent) {
			online.interruptedAt = time.Now()
		} else if online.recordConnectFailure() {
			online.attempts-- // the request was not sent in this attempt
		}
		if result == served || result == failureForwarded {
			online.recordOutcome(result.String())
			return
		}
		if online.events > 0 && online.resumable() {
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

// readContent returns what engines read of the request.
func (online *onlineRequest) readContent() poisonpill.Content {
	return poisonpill.Content{
		Request: poisonpill.FingerprintOf(online.request.Method, online.request.Host, online.request.RequestURI, online.body),
		Parts:   online.parts(),
	}
}

// fingerprint returns the fingerprint of the request.
func (online *onlineRequest) fingerprint() poisonpill.Fingerprint { return online.content().Request }

// parts returns the parts of the prompt that other requests may have too.
func (online *onlineRequest) parts() []poisonpill.Part {
	return poisonpill.PartsOf(online.server.Node.Engines.PromptParts(online.header))
}

// fingerprintField returns the log field with the fingerprint of the request after an attempt whose outcome is unknown, and
// no field after any other attempt.
func (online *onlineRequest) fingerprintField(result outcome) zap.Field {
	if result != unknown {
		return zap.Skip()
	}
	return zap.Stringer("fingerprint", online.fingerprint())
}

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

// decisionFields returns the log fields for the state of the engines and the queue at the time of a placement decision.
func (online *onlineRequest) decisionFields(decision placement.Decision, waited time.Duration) []zap.Field {
	return []zap.Field{
		zap.String("software", decision.Engine.SoftwareVersion), zap.String("begun_by", online.call.BegunBy),
		zap.Bool("urgent", decision.Urgent), zap.Int("load", decision.Load), zap.Int("candidates", decision.Candidates), zap.Int("limited", decision.Limited),
		zap.Int("waiting", decision.Waiting), zap.Duration("waited", waited), zap.Duration("view_age", online.server.Node.ViewAge()),
	}
}

// quarantined returns a quarantine that keeps the request from running at engine, or at any engine if that is the zero value. ok is
// false if there is none, or if the request may run as the trial of all that there are.
func (online *onlineRequest) quarantined(ctx context.Context, engine fleet.Engine) (quarantine poisonpill.Quarantine, ok bool) {
	quarantines, ambiguous := online.server.Node.Quarantines(online.content, engine)
	for _, quarantine := range quarantines {
		if ambiguous || !online.mayTry(ctx, quarantine) {
			return quarantine, true
		}
	}
	return quarantine, false
}

// mayTry reports whether the request may run although it, or a part of its prompt, is quarantined: as the only one in the fleet that does.
func (online *onlineRequest) mayTry(ctx context.Context, quarantine poisonpill.Quarantine) (allowed bool) {
	if number, ok := online.trials[quarantine.Fingerprint]; ok {
		return number == quarantine.TrialNumber && !online.reachedEngine
	}
	if !online.server.Node.TakeTrial(ctx, online.call.RequestID, quarantine) {
		return false
	}
	if online.trials == nil {
		online.trials = map[poisonpill.Fingerprint]int{}
	}
	online.trials[quarantine.Fingerprint] = quarantine.TrialNumber
	return true
}

// rejectQuarantined returns why a quarantined request is rejected and when it may run again. While its quarantine is unproven, that
// is once a trial has completed.
func (online *onlineRequest) rejectQuarantined(quarantine poisonpill.Quarantine) (retryAfter time.Duration, reason string, fields []zap.Field) {
	reason, retryAfter = quarantinedReason, time.Until(quarantine.Until)
	if quarantine.Part != "" {
		reason = quarantinedPartReason
	}
	if quarantine.Unproven && quarantine.Trials > 0 {
		reason, retryAfter = unprovenReason, trialRetryAfter
	}
	return retryAfter, reason, []zap.Field{zap.Stringer("fingerprint", quarantine.Fingerprint), zap.String("part", quarantine.Part), zap.Int("ends", len(quarantine.Ends)), zap.Time("until", quarantine.Until)}
}

// placementRequest returns the request for a slot at the next engine. Its deadline leaves time for the first event, or for
// the next one of a stream that has begun.
func (online *onlineRequest) placementRequest() placement.Request {
	deadline := online.arrived.Add(online.route.TargetLatency - firstEventReserve)
	if online.headerSent {
		deadline = time.Now().Add(online.route.MaxPause)
	}
	return placement.Request{Service: online.service, Version: online.version, Domain: online.server.Node.Settings.FailureDomain, Excluded: online.excluded, Deadline: deadline, Prefix: online.call.Prefix}
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
		online.server.reject(online.writer, online.call, http.StatusServiceUnavailable, retryAfter, "not run: "+reason, decisionFields...)
	}
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
		Attempt: port.Attempt{RequestID: online.call.RequestID, Engine: engine.ID, Remaining: remaining, LastEventID: online.lastEventID},
	})
	if err != nil {
		online.reportFailure(ctx, engine)
		if errors.Is(err, upstream.ErrNotSent) {
			return notExecuted, err
		}
		online.checkEngineEnd(ctx, engine, sent, eventsBefore)
		return unknown, err
	}
	defer exchange.Abort()
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
	case status >= http.StatusInternalServerError && online.route.Retryable() && online.attempts < online.route.MaxAttempts:
		exchange.Discard()
		return unknown, errors.Errorf("status %d", status)
	case online.headerSent && (status != http.StatusOK || !isEvents(exchange.Response)):
		exchange.Discard()
		return unknown, errors.Errorf("status %d for the rest of a stream", status)
	}
	if online.route.Kind == routes.Stream && status == http.StatusOK && isEvents(exchange.Response) {
		online.streaming = true
		err = online.forwardEvents(ctx, engine, exchange, watchdog)
	} else {
		watchdog.stop()
		err = online.forwardBody(ctx, engine, exchange)
	}
	if err != nil {
		online.reportFailure(ctx, engine)
		online.checkEngineEnd(ctx, engine, sent, eventsBefore)
		return unknown, err
	}
	exchange.Release()
	node.RecordSuccess(engine)
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

// sendHeader sends status and header of the response to the caller. A stream keeps those of its first engine.
func (online *onlineRequest) sendHeader(response *http.Response) {
	if online.headerSent {
		return
	}
	online.headerSent = true
	header := online.writer.Header()
	for name, values := range upstream.EndToEnd(response.Header) {
		header[name] = values
	}
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // keeps net/http from adding a field that the engine did not send
		}
	}
	online.writer.WriteHeader(response.StatusCode)
}

// forwardEvents forwards whole events as they arrive. It fails where the order of event IDs shows that the stream repeats
// an event.
func (online *onlineRequest) forwardEvents(ctx context.Context, engine fleet.Engine, exchange *upstream.Exchange, watchdog *watchdog) (err error) {
	defer func() { err = errors.Annotate(err, "forwarding a stream") }()
	events := upstream.NewEventReader(exchange.Response.Body)
	flusher := http.NewResponseController(online.writer)
	received := 0 // in this attempt
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && received == 0 && online.lastEventID == "" && !exchange.Framed() {
			return errors.New("the connection ended before the first event")
		}
		if errors.Is(err, io.EOF) {
			if err = online.checkEnd(ctx, engine, exchange); err == nil {
				online.sendHeader(exchange.Response)
			}
			return err
		}
		if err != nil {
			return err
		}
		if event.ID != "" && !upstream.Follows(online.lastEventID, event.ID) {
			return errors.Errorf("event %q after event %q", event.ID, online.lastEventID)
		}
		if err = watchdog.eventReceived(); err != nil {
			return err
		}
		if online.events == 0 {
			online.awaitRecord()
			online.firstEventAt = time.Now()
		}
		online.events++
		if received++; received == soundEvents {
			online.server.Node.RecordSound(engine, online.parts())
		}
		online.sendHeader(exchange.Response)
		if _, err = online.writer.Write(event.Raw); err != nil {
			return err
		}
		if event.ID != "" {
			online.lastEventID = event.ID
		}
		if err = flusher.Flush(); err != nil {
			return err
		}
	}
}

// awaitRecord waits before the first event until other members know which build streams the response, so that the stream can be resumed
// if this process is lost after the event. They have been informed while the engine worked on the event.
func (online *onlineRequest) awaitRecord() {
	if online.recorded == nil {
		return
	}
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-online.recorded:
	case <-timer.C:
	}
}

// forwardBody forwards a response that is not a stream of events.
func (online *onlineRequest) forwardBody(ctx context.Context, engine fleet.Engine, exchange *upstream.Exchange) (err error) {
	defer func() { err = errors.Annotate(err, "forwarding a body") }()
	start, err := io.ReadAll(io.LimitReader(exchange.Response.Body, bufferedBodyBytes))
	if err != nil {
		return err
	}
	whole := len(start) < bufferedBodyBytes
	if whole {
		if err = online.checkEnd(ctx, engine, exchange); err != nil {
			return err
		}
	}
	online.sendHeader(exchange.Response)
	if _, err = online.writer.Write(start); err != nil || whole {
		return err
	}
	if _, err = io.CopyBuffer(online.writer, exchange.Response.Body, make([]byte, copyBufferBytes)); err != nil {
		return err
	}
	return online.checkEnd(ctx, engine, exchange)
}

// checkEnd returns an error if the body of a response, which has been read to its end, ended with its engine.
func (online *onlineRequest) checkEnd(ctx context.Context, engine fleet.Engine, exchange *upstream.Exchange) (err error) {
	if exchange.Framed() {
		return nil
	}
	return online.server.Node.CheckUnframedEnd(ctx, engine)
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
