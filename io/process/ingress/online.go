package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/coordination/retry"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/transport/upstream"

	"cowslipway/io/process/telemetry"
)

const (
	// firstEventReserve is what an engine with a free slot takes to the first event, with the ways there and back.
	firstEventReserve = 60 * time.Millisecond
	// silenceShare of its latency target is how long a stream that can go on elsewhere waits for its first event.
	silenceShare = 0.5
	// pauseFactor times the longest pause that is still on time makes a stream go on elsewhere.
	pauseFactor = 2
	// silenceExtensions bound it to five times that where the engine, or this process, is only busy.
	silenceExtensions = 4
	// maxUnreached engines are tried beside the attempts that a route allows: a domain or half of a service may be gone, and
	// a connection is refused within 1 ms.
	maxUnreached = 8
	copyBytes    = 16 << 10
	// wholeBytes of an answer that is no stream are read before its head is handed on, so that another engine can
	// still be tried when this one breaks off.
	wholeBytes = 64 << 10
)

// errSilent ended an attempt whose engine sent nothing for too long.
const errSilent = errors.ConstError("the engine was silent")

// errQueued ended an attempt that waited in the queue of an engine, which is no failure of the engine.
const errQueued = errors.ConstError("it waited at the engine")

// outcome is how one attempt ended.
type outcome uint8

const (
	served  outcome = iota // the caller has the whole answer
	notRun                 // the engine did not run it and will not
	unknown                // it may have run, or is broken off
	final                  // the engine's own failure, which was handed on
)

var outcomeNames = [...]string{"served", "not run", "unknown", "failure forwarded"}

// String returns the outcome's name.
func (outcome outcome) String() string { return outcomeNames[outcome] }

// online is one online request on its way.
type online struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	call    port.Call
	route   routes.Route
	table   *routes.Table
	service string
	header  http.Header
	body    []byte
	arrived time.Time
	expires time.Time // zero: never

	attempts   int
	unreached  int // engines that took no connection
	excluded   []uint64
	mayHaveRun bool
	started    bool   // the head of the answer is with the caller
	streaming  bool   // the answer is a stream of events
	lastEvent  string // that the caller has had
	events     int
	firstAt    time.Time
}

func (server *Server) serveRouted(writer http.ResponseWriter, request *http.Request, call port.Call, arrived time.Time) {
	if !server.Node.Ready() {
		server.refuse(writer, call, http.StatusServiceUnavailable, unreadyRetry, "not run: configuration and engines are not known yet")
		return
	}
	table := server.Node.Table()
	uri, path := targetOf(request)
	route, ok := table.Match(hostOf(request), path)
	if !ok {
		server.refuse(writer, call, http.StatusNotFound, 0, "no route matches")
		return
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			server.refuse(writer, call, http.StatusRequestEntityTooLarge, 0, err.Error())
			return
		}
		panic(http.ErrAbortHandler) // the caller broke off in the middle of its request
	}
	if route.Kind == routes.Batch {
		server.serveSubmission(writer, request, call, route, path, body)
		return
	}
	online := &online{
		server: server, writer: writer, request: request, call: call, route: route, table: table,
		service: route.Service(call.RequestID), header: upstream.EndToEnd(request.Header), body: body,
		arrived: arrived, lastEvent: call.LastEvent,
	}
	online.request.RequestURI = uri
	remaining := call.Remaining
	if route.Timeout > 0 && (remaining == 0 || route.Timeout < remaining) {
		remaining = route.Timeout
	}
	if remaining > 0 {
		online.expires = arrived.Add(remaining)
	}
	online.run()
}

// run walks the plan forward: engine after engine, until one has served the request or none may be tried.
func (online *online) run() {
	ctx := online.request.Context()
	if !online.expires.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, online.expires)
		defer cancel()
	}
	retryAfter, reason := time.Duration(0), ""
	var inputs []zap.Field // of the last decision, for the log
	for online.attempts < online.route.MaxAttempts && ctx.Err() == nil {
		asked := time.Now()
		decision, err := online.server.Node.Acquire(ctx, online.want())
		waited := time.Since(asked)
		if err != nil {
			break
		}
		if !decision.Admitted {
			retryAfter, reason = decision.RetryAfter, decision.Reason
			inputs = online.inputs(decision, waited)
			break
		}
		online.attempts++
		online.log("placed", decision.Engine, online.inputs(decision, waited)...)
		result, cause := online.attempt(ctx, decision.Engine)
		telemetry.Attempts.Add(result.String(), 1)
		telemetry.EngineResults.Add(decision.Engine.ID+" "+result.String(), 1)
		online.log("attempt", decision.Engine, zap.Stringer("outcome", result), telemetry.Cause("cause", cause))
		if errors.Is(cause, upstream.ErrNotSent) && online.mayReach() {
			online.attempts-- // it was sent to nobody
		}
		if result == served || result == final {
			online.count(result.String())
			return
		}
		online.excluded = append(online.excluded, decision.Engine.Digest())
		reason = "engine failed"
		if result == unknown {
			online.mayHaveRun = true
			if !online.route.Repeatable() || online.started && !online.streaming {
				break
			}
		}
	}
	online.giveUp(ctx, retryAfter, reason, inputs)
}

// mayReach counts an engine that was not reached, and reports whether another one may be tried in its place.
func (online *online) mayReach() bool {
	online.unreached++
	return online.unreached < maxUnreached && time.Since(online.arrived) < time.Duration(float64(online.route.TargetLatency)*silenceShare)
}

// inputs says what a decision was made from.
func (online *online) inputs(decision placement.Decision, waited time.Duration) []zap.Field {
	return []zap.Field{
		zap.Bool("urgent", decision.Urgent), zap.Int("load", decision.Load), zap.Int("candidates", decision.Candidates),
		zap.Int("waiting", decision.Waiting), zap.Duration("waited", waited), zap.Duration("view_age", online.server.Node.ViewAge()),
	}
}

func (online *online) want() placement.Want {
	latest := online.arrived.Add(online.route.TargetLatency - firstEventReserve)
	if online.started {
		latest = time.Now().Add(online.route.MaxPause)
	}
	return placement.Want{Service: online.service, Domain: online.server.Node.Settings.FailureDomain, Excluded: online.excluded, Latest: latest}
}

// giveUp answers a request that no engine has served.
func (online *online) giveUp(ctx context.Context, retryAfter time.Duration, reason string, inputs []zap.Field) {
	switch {
	case online.request.Context().Err() != nil:
		online.count("caller gone")
		online.log("caller gone", fleet.Engine{})
		panic(http.ErrAbortHandler)
	case online.started:
		online.count("broken off")
		online.log("broken off", fleet.Engine{}, zap.String("reason", reason))
		panic(http.ErrAbortHandler)
	case online.mayHaveRun && ctx.Err() != nil:
		online.server.refuse(online.writer, online.call, http.StatusGatewayTimeout, 0, "time is up; the request may have run")
	case online.mayHaveRun:
		online.server.refuse(online.writer, online.call, http.StatusBadGateway, 0, "the request may have run: "+reason)
	default:
		if reason == "" {
			reason = "time is up"
		}
		online.server.refuse(online.writer, online.call, http.StatusServiceUnavailable, max(retryAfter, unreadyRetry/10), "not run: "+reason, inputs...)
	}
}

// attempt sends the request to one engine and hands its answer on.
func (online *online) attempt(ctx context.Context, engine fleet.Engine) (result outcome, cause error) {
	node := online.server.Node
	defer node.Release(engine, false)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() { cause = online.explain(ctx, cause) }()
	watchdog := online.watch(engine, cancel)
	defer watchdog.stop()
	remaining := time.Duration(0)
	if !online.expires.IsZero() {
		remaining = time.Until(online.expires)
	}
	exchange, err := node.Upstream.Send(ctx, upstream.Request{
		Address: engine.Address,
		Method:  online.request.Method,
		URI:     online.request.RequestURI,
		Host:    online.request.Host,
		Header:  online.header,
		Body:    online.body,
		Attempt: port.Attempt{RequestID: online.call.RequestID, Engine: engine.ID, Remaining: remaining, LastEvent: online.lastEvent},
	})
	if err != nil {
		online.blame(ctx, engine)
		if errors.Is(err, upstream.ErrNotSent) {
			return notRun, err
		}
		return unknown, err
	}
	defer exchange.Abort()
	status := exchange.Response.StatusCode
	full := node.RecordReportedLoad(engine, exchange.Answer, exchange.Answer.NotExecuted)
	switch {
	case exchange.Answer.NotExecuted:
		exchange.Drain()
		if exchange.Answer.WrongEngine {
			node.RecordReplaced(engine)
		} else if !full {
			node.RecordFailure(engine)
		}
		return notRun, errors.Errorf("status %d, not run", status)
	case !exchange.Answer.Signed:
		online.blame(ctx, engine)
		return unknown, errors.Errorf("status %d without the engine's signature", status)
	case status >= http.StatusInternalServerError && online.route.Repeatable() && online.attempts < online.route.MaxAttempts:
		exchange.Drain()
		return unknown, errors.Errorf("status %d", status)
	case online.started && (status != http.StatusOK || !isEvents(exchange.Response)):
		exchange.Drain()
		return unknown, errors.Errorf("status %d for the rest of a stream", status)
	}
	if online.route.Kind == routes.Stream && status == http.StatusOK && isEvents(exchange.Response) {
		online.streaming = true
		err = online.forwardEvents(exchange, watchdog)
	} else {
		watchdog.stop()
		err = online.forwardBody(exchange)
	}
	if err != nil {
		online.blame(ctx, engine)
		return unknown, err
	}
	exchange.Finish()
	node.RecordSuccess(engine)
	if status >= http.StatusBadRequest {
		return final, nil
	}
	return served, nil
}

// explain puts what ended an attempt in the place of the error that followed from it.
func (online *online) explain(ctx context.Context, cause error) error {
	switch {
	case cause == nil:
		return nil
	case errors.Is(context.Cause(ctx), errSilent), errors.Is(context.Cause(ctx), errQueued):
		return context.Cause(ctx)
	case online.request.Context().Err() != nil:
		return errors.New("the caller left")
	case ctx.Err() != nil:
		return errors.New("time was up")
	}
	return cause
}

func isEvents(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// blame records a failure of engine, unless the caller has left, the time was up or the request waited in a queue.
func (online *online) blame(ctx context.Context, engine fleet.Engine) {
	if errors.Is(context.Cause(ctx), errQueued) || online.request.Context().Err() != nil || !online.expires.IsZero() && !time.Now().Before(online.expires) {
		return
	}
	online.server.Node.RecordFailure(engine)
}

// watchdog ends an attempt whose engine is silent for too long, where the stream can go on elsewhere.
type watchdog struct {
	timer *time.Timer
	pause time.Duration
	began atomic.Bool // an event has come
}

func (online *online) watch(engine fleet.Engine, cancel context.CancelCauseFunc) *watchdog {
	if online.route.Kind != routes.Stream || !online.route.Repeatable() || online.attempts >= online.route.MaxAttempts {
		return &watchdog{}
	}
	first := time.Duration(float64(online.route.TargetLatency) * silenceShare)
	if first <= 0 {
		return &watchdog{}
	}
	watchdog := &watchdog{pause: pauseFactor * max(first, online.route.MaxPause)}
	silence := retry.Silence{Period: first, Extensions: silenceExtensions}
	node := online.server.Node
	watchdog.timer = time.AfterFunc(time.Hour, func() { // armed below, once the field is set
		if silence.Elapsed(time.Since(node.Upstream.Heard(engine.Address)), node.SchedulingDelayed()) {
			if !watchdog.began.Load() && node.Overloaded(engine) {
				cancel(errQueued)
				return
			}
			cancel(errSilent)
			return
		}
		watchdog.timer.Reset(first)
	})
	watchdog.timer.Reset(first)
	return watchdog
}

// heard puts the end off after an event.
func (watchdog *watchdog) heard() {
	if watchdog.timer != nil {
		watchdog.began.Store(true)
		watchdog.timer.Reset(watchdog.pause)
	}
}

func (watchdog *watchdog) stop() {
	if watchdog.timer != nil {
		watchdog.timer.Stop()
	}
}

// head sends the head of the answer to the caller, once: a stream keeps the head of its first engine.
func (online *online) head(response *http.Response) {
	if online.started {
		return
	}
	online.started = true
	header := online.writer.Header()
	for name, values := range upstream.EndToEnd(response.Header) {
		header[name] = values
	}
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // keeps net/http from adding what the engine did not say
		}
	}
	online.writer.WriteHeader(response.StatusCode)
}

// forwardEvents hands whole events on as they come.
func (online *online) forwardEvents(exchange *upstream.Exchange, watchdog *watchdog) (err error) {
	defer func() { err = errors.Annotate(err, "forwarding a stream") }()
	events := upstream.NewEvents(exchange.Response.Body)
	flusher := http.NewResponseController(online.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			online.head(exchange.Response)
			return nil
		}
		if err != nil {
			return err
		}
		if event.ID != "" && !upstream.Follows(online.lastEvent, event.ID) {
			return errors.Errorf("event %q after event %q", event.ID, online.lastEvent)
		}
		watchdog.heard()
		if online.events == 0 {
			online.firstAt = time.Now()
		}
		online.events++
		online.head(exchange.Response)
		if _, err = online.writer.Write(event.Raw); err != nil {
			return err
		}
		if event.ID != "" {
			online.lastEvent = event.ID
		}
		if err = flusher.Flush(); err != nil {
			return err
		}
	}
}

// forwardBody hands an answer on that is no stream of events.
func (online *online) forwardBody(exchange *upstream.Exchange) (err error) {
	defer func() { err = errors.Annotate(err, "forwarding a body") }()
	start, err := io.ReadAll(io.LimitReader(exchange.Response.Body, wholeBytes))
	if err != nil {
		return err
	}
	online.head(exchange.Response)
	if _, err = online.writer.Write(start); err != nil {
		return err
	}
	_, err = io.CopyBuffer(online.writer, exchange.Response.Body, make([]byte, copyBytes))
	return err
}

// count counts the request under how it ended.
func (online *online) count(ended string) {
	label := online.route.Kind.String() + " " + ended
	telemetry.Requests.Add(label, 1)
	telemetry.RequestTime.Observe(label, time.Since(online.arrived))
	if online.streaming && !online.firstAt.IsZero() {
		telemetry.FirstEvent.Observe(online.route.Kind.String(), online.firstAt.Sub(online.arrived))
	}
}

func (online *online) log(message string, engine fleet.Engine, fields ...zap.Field) {
	first := time.Duration(0)
	if !online.firstAt.IsZero() {
		first = online.firstAt.Sub(online.arrived)
	}
	online.server.Log.Info(message, append(fields, zap.String("request", online.call.RequestID), zap.String("route", online.route.Name),
		zap.Int64("configuration", online.table.Version), zap.String("engine", engine.ID), zap.Int("attempt", online.attempts),
		zap.Int("events", online.events), zap.Duration("first", first), zap.Duration("since_arrival", time.Since(online.arrived)))...)
}
