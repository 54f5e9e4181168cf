package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/tidwall/gjson"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"cowslipway/core/coordination/gate"
	"cowslipway/core/state/request"
	"cowslipway/core/state/runs"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/protocol/engine"
	"cowslipway/io/protocol/peer"
)

const (
	copyBufferBytes     = 32 << 10
	promptBytesPerToken = 4         // estimates the tokens of a prompt until the engine reports the actual number
	maxUsageBytes       = 256 << 10 // bytes of a response that are searched for the number of tokens
	maxResumes          = 2         // resumptions of the event stream of one attempt
	defaultRetryAfter   = 500 * time.Millisecond
	eventStreamType     = "text/event-stream"
)

// errPreempted is the cancellation cause of batch work that was preempted.
const errPreempted = errors.ConstError("batch work preempted")

// errNotFramed is the cause of an error about a response that may be a part of the engine's. It is not the engine's end.
const errNotFramed = errors.ConstError("the response has neither a length nor chunks, and may have ended with the engine")

// execution is the state of one attempt that the daemon processes.
type execution struct {
	daemon  *Daemon
	target  *target
	attempt peer.Attempt
	body    []byte
	writer  *peer.ResponseWriter
	work    gate.Work
	handle  *attemptHandle

	started        time.Time
	lastToken      time.Time // time of the last token; zero before the first
	tokens         int64     // cost of the attempt: counted here, or as the engine reported it
	receivedEvents int       // events received from the engine
	headSent       bool      // the head of the response was passed to writer, even if that failed
}

// HandleAttempt runs one attempt and sends its response, ending with the frame that reports the outcome.
func (daemon *Daemon) HandleAttempt(ctx context.Context, attempt peer.Attempt, body []byte, writer *peer.ResponseWriter) {
	daemon.inFlight.Add(1)
	defer daemon.inFlight.Add(-1)
	daemon.metrics.attempts.Add(1)
	ctx = telemetry.WithTraceparent(ctx, attempt.TraceParent)
	ctx, span := daemon.Tracer.Start(ctx, "target.attempt", trace.WithAttributes(
		attribute.String("request_id", attempt.RequestID),
		attribute.String("target", attempt.Target),
	))
	defer span.End()
	execution := &execution{daemon: daemon, attempt: attempt, body: body, writer: writer, started: time.Now()}
	end := execution.run(ctx)
	if execution.target != nil {
		end.Load = execution.target.currentLoad()
	}
	daemon.history.End(attempt.AttemptID, end.Outcome(), time.Now())
	daemon.countEnd(end)
	daemon.Log.Debug("attempt ended",
		zap.String("request_id", attempt.RequestID),
		zap.String("account", attempt.Account),
		zap.String("target", attempt.Target),
		zap.Stringer("disposition", end.Disposition),
		zap.String("reason", string(end.Reason)))
	span.SetAttributes(attribute.String("disposition", end.Disposition.String()))
	writer.WriteEnd(end)
}

// countEnd counts the attempt that ended with end in the metrics.
func (daemon *Daemon) countEnd(end peer.End) {
	switch {
	case end.Disposition == request.Done:
		daemon.metrics.done.Add(1)
	case end.Disposition == request.NotRun:
		daemon.metrics.rejected.Add(string(end.Reason), 1)
	case end.Reason == request.ReasonPreempted:
		daemon.metrics.preempted.Add(1)
	}
}

// notRun returns the end of an attempt that was rejected and was not executed.
func notRun(reason request.Reason, retryAfter time.Duration) peer.End {
	return peer.End{Disposition: request.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// run checks the attempt, waits for its admission and runs it on the engine.
func (execution *execution) run(ctx context.Context) (end peer.End) {
	if rejection, rejected := execution.checkAcceptable(); rejected {
		return rejection
	}
	daemon, attempt := execution.daemon, execution.attempt
	ctx, cancelTimeout := context.WithTimeout(ctx, attempt.Remaining)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !daemon.history.Begin(execution.runRecord()) {
		return notRun(request.ReasonTombstoned, 0)
	}
	execution.handle = &attemptHandle{decision: make(chan gate.Action, 1), cancel: cancel, jobID: attempt.JobID}
	if rejection, rejected := execution.awaitAdmission(ctx); rejected {
		return rejection
	}
	if !daemon.history.Start(attempt.AttemptID) {
		execution.finish(peer.End{}, false)
		return notRun(request.ReasonTombstoned, 0)
	}
	daemon.metrics.admitted.Add(1)
	end, crashed := execution.runOnEngine(ctx)
	return execution.finish(end, crashed)
}

// checkAcceptable rejects an attempt that the daemon may not run, whatever the load: for example one for another service
// or one that its account may not run in this place.
func (execution *execution) checkAcceptable() (end peer.End, rejected bool) {
	daemon, attempt := execution.daemon, execution.attempt
	target, ok := daemon.targets[attempt.Target]
	if !ok || target.settings.Service != attempt.Service {
		return notRun(request.ReasonWrongService, 0), true
	}
	execution.target = target
	if daemon.draining.Load() {
		return notRun(request.ReasonDraining, 0), true
	}
	current := daemon.configurations.Current()
	if current.Version == 0 {
		return notRun(request.ReasonNoConfiguration, defaultRetryAfter), true
	}
	service, known := current.Service(attempt.Service)
	account, knownAccount := current.Account(attempt.Account)
	permitted := known && knownAccount && service.Permits(daemon.Settings.Place) && account.MayRunIn(daemon.Settings.Place)
	if permitted {
		return peer.End{}, false
	}
	if attempt.Version > current.Version {
		return notRun(request.ReasonStaleVersion, defaultRetryAfter), true
	}
	return notRun(request.ReasonForbiddenPlace, 0), true
}

// runRecord returns the record of the attempt for the daemon's history.
func (execution *execution) runRecord() runs.Run {
	attempt := execution.attempt
	return runs.Run{
		RequestID:  attempt.RequestID,
		AttemptID:  attempt.AttemptID,
		Account:    attempt.Account,
		Service:    attempt.Service,
		Place:      execution.daemon.Settings.Place,
		Target:     attempt.Target,
		Idempotent: attempt.Idempotent,
		Started:    execution.started,
	}
}

// awaitAdmission submits the attempt to the gate and waits for the decision. An attempt that is cancelled before it is
// admitted was not executed.
func (execution *execution) awaitAdmission(ctx context.Context) (end peer.End, rejected bool) {
	attempt := execution.attempt
	execution.tokens = int64(len(execution.body) / promptBytesPerToken)
	execution.work = gate.Work{
		ID:              attempt.AttemptID,
		Account:         attempt.Account,
		Entry:           attempt.Entry,
		Class:           attempt.Class,
		EstimatedTokens: attempt.Tokens,
		PromptTokens:    execution.tokens,
		Weight:          attempt.Weight,
		Deadline:        execution.started.Add(attempt.Remaining),
		Preemptible:     attempt.Idempotent,
		Suspect:         attempt.Suspect,
		GrantID:         attempt.GrantID,
	}
	daemon := execution.daemon
	daemon.postEvent(submitEvent{target: execution.target, work: execution.work, fingerprint: attempt.Fingerprint, handle: execution.handle})
	select {
	case action := <-execution.handle.decision:
		return rejectedEnd(action)
	case <-ctx.Done():
	}
	reply := make(chan bool, 1)
	daemon.postEvent(cancelEvent{target: execution.target, work: execution.work, reply: reply})
	if <-reply {
		return notRun(cancelReason(ctx), 0), true
	}
	return rejectedEnd(<-execution.handle.decision)
}

// rejectedEnd returns the end of an attempt that action rejects. It reports false if action admits the attempt.
func rejectedEnd(action gate.Action) (end peer.End, rejected bool) {
	if action.Kind == gate.Reject {
		return notRun(action.Reason, action.RetryAfter), true
	}
	return peer.End{}, false
}

// cancelReason returns the reason why ctx ended: preemption, the deadline, or cancellation otherwise.
func cancelReason(ctx context.Context) request.Reason {
	switch {
	case errors.Is(context.Cause(ctx), errPreempted):
		return request.ReasonPreempted
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return request.ReasonDeadline
	}
	return request.ReasonCancelled
}

// finish releases the slot. It waits for the controller's reply if the attempt is a batch item, which may get a new grant,
// or if it crashed the engine.
func (execution *execution) finish(end peer.End, crashed bool) peer.End {
	event := finishEvent{
		target:      execution.target,
		work:        execution.work,
		tokens:      execution.tokens,
		fingerprint: execution.attempt.Fingerprint,
		crashed:     crashed,
		completed:   end.Disposition == request.Done,
	}
	if execution.work.Class == request.Batch || crashed {
		event.reply = make(chan finishReply, 1)
	}
	execution.daemon.postEvent(event)
	if event.reply == nil {
		return end
	}
	reply := <-event.reply
	end.Grant = reply.grant
	if reply.quarantined {
		end.Reason = request.ReasonPoisonPill
	}
	return end
}

// runOnEngine sends the request to the engine and forwards the response. It resumes an idempotent event stream that breaks.
// crashed reports that the engine was lost while it ran the request.
func (execution *execution) runOnEngine(ctx context.Context) (end peer.End, crashed bool) {
	ctx, span := execution.daemon.Tracer.Start(ctx, "target.engine")
	defer span.End()
	for resumes := 0; ; resumes++ {
		err := execution.callEngine(ctx)
		if err == nil {
			return peer.End{Disposition: request.Done, Tokens: execution.tokens}, false
		}
		if ctx.Err() != nil {
			return peer.End{Disposition: request.Failed, Reason: cancelReason(ctx), Tokens: execution.tokens}, false
		}
		if errors.Is(err, engine.ErrNotSent) && !execution.headSent {
			return notRun(request.ReasonEngineLost, defaultRetryAfter), false
		}
		if errors.Is(err, errNotFramed) {
			return peer.End{Disposition: request.MayHaveRun, Reason: request.ReasonBrokenResponse, Detail: err.Error()}, false
		}
		if !execution.attempt.Idempotent || execution.receivedEvents == 0 || resumes == maxResumes {
			span.RecordError(err)
			return peer.End{Disposition: request.MayHaveRun, Reason: request.ReasonEngineLost, Detail: err.Error()}, true
		}
		execution.daemon.metrics.resumedStreams.Add(1)
	}
}

// callEngine sends the request to the engine once and forwards the response. If an earlier call was interrupted, it
// resumes after the last event received.
func (execution *execution) callEngine(ctx context.Context) (err error) {
	call := engine.Request{
		RequestID:   execution.attempt.RequestID,
		Method:      execution.attempt.Method,
		Path:        execution.attempt.Path,
		Header:      http.Header{},
		Body:        execution.body,
		LastEventID: -1,
	}
	if execution.headSent {
		call.LastEventID = execution.receivedEvents
	}
	for _, header := range execution.attempt.Headers {
		call.Header.Add(header.Name, header.Value)
	}
	response, err := execution.target.client.Do(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")) // may have parameters
	isStream := mediaType == eventStreamType
	if execution.headSent && (response.StatusCode != http.StatusOK || !isStream) {
		return errors.Errorf("status %d for the rest of a stream", response.StatusCode)
	}
	if !execution.headSent {
		execution.headSent = true
		if err = execution.writer.WriteHead(responseHead(response)); err != nil {
			return err
		}
	}
	if isStream {
		return execution.forwardEvents(response.Body)
	}
	body, err := execution.forwardBody(response.Body)
	if err != nil || isFramed(response) || isWhole(response.Header.Get("Content-Type"), body) {
		return err
	}
	return errNotFramed
}

// isFramed reports whether response says where its body ends. Otherwise the body ends with the connection, also if the engine ends.
func isFramed(response *http.Response) bool {
	return response.Body == http.NoBody || response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
}

// isWhole reports whether body shows by itself that nothing of it is missing: it is a JSON object or array. Of other types, such as lines of
// JSON, an object may be a part.
func isWhole(contentType string, body []byte) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	text := bytes.TrimSpace(body)
	return err == nil && mediaType == "application/json" && len(text) > 0 && (text[0] == '{' || text[0] == '[') && json.Valid(text)
}

// responseHead returns the head of response with the forwarded header fields only.
func responseHead(response *http.Response) peer.Head {
	head := peer.Head{Status: response.StatusCode}
	for _, name := range forwardedHeaders {
		for _, value := range response.Header[name] {
			head.Headers = append(head.Headers, peer.Header{Name: name, Value: value})
		}
	}
	return head
}

// forwardedHeaders are the header fields of an engine's response that are forwarded to the caller.
var forwardedHeaders = []string{"Content-Type", "Content-Disposition", "Content-Language", "Etag", "Last-Modified", "Location", "Retry-After"}

// forwardEvents forwards server-sent events as they arrive. It returns io.ErrUnexpectedEOF if the stream ends without
// its final event.
func (execution *execution) forwardEvents(body io.Reader) (err error) {
	events := engine.NewEventReader(body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		execution.writer.WriteData(event)
		if err = execution.writer.Flush(); err != nil {
			return err
		}
		if engine.IsDone(event) {
			return nil
		}
		execution.receivedEvents++
		execution.recordToken()
	}
}

// recordToken counts a token and records its latency if the work is online. The gate limits batch work by this latency.
func (execution *execution) recordToken() {
	execution.tokens++
	now := time.Now()
	if execution.attempt.Class == request.Online {
		if execution.lastToken.IsZero() {
			execution.target.meter.record(now.Sub(execution.started), true)
		} else {
			execution.target.meter.record(now.Sub(execution.lastToken), false)
		}
	}
	execution.lastToken = now
}

// forwardBody forwards a response that is not an event stream and reads the number of tokens from it. It returns the start of the body, up to
// about maxUsageBytes.
func (execution *execution) forwardBody(body io.Reader) (start []byte, err error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			execution.writer.WriteData(buffer[:count])
			if len(start) < maxUsageBytes {
				start = append(start, buffer[:count]...)
			}
		}
		if errors.Is(err, io.EOF) {
			if total := gjson.GetBytes(start, "usage.total_tokens"); total.Exists() {
				execution.tokens = total.Int()
			}
			return start, nil
		}
		if err != nil {
			return start, err
		}
		if err = execution.writer.Flush(); err != nil {
			return start, err
		}
	}
}
