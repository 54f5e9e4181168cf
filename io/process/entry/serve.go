package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/kataras/iris/v12"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"cowslipway/core/state/config"
	"cowslipway/core/state/request"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/peer"
	"cowslipway/io/transport/http1"
)

// Handler returns the handler of the HTTP interface for callers and operators. The error is that of building the routes.
func (entry *Entry) Handler() (handler http.Handler, err error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/chat/completions", entry.withAccount(entry.createCompletion))
	app.Post("/v1/completions", entry.withAccount(entry.createCompletion))
	app.Get("/v1/models", entry.withAccount(entry.listModels))
	app.Post("/v1/files", entry.withAccount(entry.uploadFile))
	app.Get("/v1/files", entry.withAccount(entry.listFiles))
	app.Get("/v1/files/{id}", entry.withAccount(entry.getFile))
	app.Get("/v1/files/{id}/content", entry.withAccount(entry.getFileContent))
	app.Post("/v1/batches", entry.withAccount(entry.createBatch))
	app.Get("/v1/batches", entry.withAccount(entry.listBatches))
	app.Get("/v1/batches/{id}", entry.withAccount(entry.getBatch))
	app.Post("/v1/batches/{id}/cancel", entry.withAccount(entry.cancelBatch))
	entry.addOperatorRoutes(app)
	app.Any("/services/{service}/{path:path}", entry.withAccount(entry.callService))
	app.Get("/healthz", entry.health)
	app.Get("/readyz", entry.readiness)
	app.Get("/debug/vars", iris.FromStd(expvar.Handler()))
	app.OnErrorCode(iris.StatusNotFound, func(ctx iris.Context) {
		entry.writeError(ctx.ResponseWriter(), caller.InvalidRequest(http.StatusNotFound, "unknown_path", "there is nothing at %s", ctx.Path()))
	})
	if err = app.Build(); err != nil {
		return nil, errors.Annotate(err, "building the HTTP interface")
	}
	return app, nil
}

// health serves the load balancer's health check, which fails while the entry drains.
func (entry *Entry) health(ctx iris.Context) {
	if entry.draining.Load() {
		ctx.StopWithText(http.StatusServiceUnavailable, "draining\n")
		return
	}
	_, _ = ctx.WriteString("ok\n")
}

// readiness reports whether the entry can serve requests: a target daemon is connected and a configuration adopted.
func (entry *Entry) readiness(ctx iris.Context) {
	if entry.draining.Load() || !entry.ready.Load() {
		ctx.StopWithText(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	_, _ = ctx.WriteString("ok\n")
}

// noRoomRetryAfter is the time in which memory becomes free as callers that have stopped sending are disconnected.
const noRoomRetryAfter = time.Second

// session is one HTTP request of a caller or an operator.
type session struct {
	ctx           context.Context // carries the trace span of an account's request; nil before authentication
	iris          iris.Context
	id            string         // request ID
	account       config.Account // zero for operators
	configuration config.Configuration
	started       time.Time
}

// withAccount returns a handler that authenticates the client account of a request and calls serve.
func (entry *Entry) withAccount(serve func(*session) *caller.Error) iris.Handler {
	return func(ctx iris.Context) {
		entry.inFlight.Add(1)
		defer entry.inFlight.Add(-1)
		entry.metrics.requests.Add(1)
		session := &session{iris: ctx, id: request.NewID("req-"), started: time.Now(), configuration: entry.configurations.Current()}
		session.setHeader(caller.RequestIDHeader, session.id)
		failure := entry.authenticate(session)
		if failure == nil {
			failure = entry.serveTraced(session, serve)
		}
		if failure != nil {
			entry.writeError(ctx.ResponseWriter(), failure)
		}
	}
}

// serveTraced calls serve within a trace span, whose parent is the one that the caller sent, if any.
func (entry *Entry) serveTraced(session *session, serve func(*session) *caller.Error) *caller.Error {
	ctx := telemetry.WithTraceparent(session.iris.Request().Context(), session.iris.GetHeader("traceparent"))
	ctx, span := entry.Tracer.Start(ctx, "entry.request", trace.WithAttributes(
		attribute.String("request_id", session.id),
		attribute.String("account", session.account.Name),
	))
	defer span.End()
	session.ctx = ctx
	return serve(session)
}

// authenticate sets the account of a session by the API key of the request.
func (entry *Entry) authenticate(session *session) *caller.Error {
	if session.configuration.Version == 0 {
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonNoConfiguration})
	}
	key, ok := strings.CutPrefix(session.iris.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return caller.InvalidRequest(http.StatusUnauthorized, "missing_api_key", "an API key is needed: \"Authorization: Bearer KEY\"")
	}
	session.account, ok = session.configuration.AccountByKey(key)
	if !ok {
		return caller.InvalidRequest(http.StatusUnauthorized, "invalid_api_key", "the API key is not known")
	}
	return nil
}

// writeError counts failure and sends it as the response.
func (entry *Entry) writeError(writer http.ResponseWriter, failure *caller.Error) {
	if failure.Type == "invalid_request_error" {
		entry.metrics.badInput.Add(failure.Code, 1)
	} else {
		entry.metrics.rejected.Add(failure.Code, 1)
	}
	failure.Write(writer)
}

// readBody reads the body of a request, up to limit bytes.
func (entry *Entry) readBody(session *session, limit int64) (body []byte, failure *caller.Error) {
	timeout, failure := caller.ParseTimeout(session.iris.Request().Header, entry.Settings.DefaultTimeout.Duration())
	if failure != nil {
		return nil, failure
	}
	body, err := http1.ReadBody(session.iris.ResponseWriter().Naive(), session.iris.Request(), limit, session.started.Add(timeout))
	if err == nil {
		return body, nil
	}
	session.setHeader("Connection", "close")
	return nil, bodyFailure(err, limit)
}

// bodyFailure returns the error for a body that was not read.
func bodyFailure(err error, limit int64) *caller.Error {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		return caller.InvalidRequest(http.StatusRequestEntityTooLarge, "body_too_large", "the body has more than the %d bytes that are allowed", limit)
	case errors.Is(err, http1.ErrNoRoom):
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonOverloaded, RetryAfter: noRoomRetryAfter})
	case errors.Is(err, os.ErrDeadlineExceeded):
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonDeadline})
	}
	return caller.InvalidRequest(http.StatusBadRequest, "broken_body", "the body ended early")
}

// createCompletion serves /v1/chat/completions and /v1/completions.
func (entry *Entry) createCompletion(session *session) *caller.Error {
	body, failure := entry.readBody(session, entry.Settings.MaxBodyBytes)
	if failure != nil {
		return failure
	}
	completion, failure := caller.ParseCompletion(body)
	if failure != nil {
		return failure
	}
	call, failure := entry.newCall(session, completion.Model, session.iris.Path(), body)
	if failure != nil {
		return failure
	}
	call.tokens, call.prefix = completion.Tokens, completion.PrefixHash
	call.headers = []peer.Header{{Name: "Content-Type", Value: "application/json"}}
	return entry.serveCall(session, call, completion.Stream)
}

// newCall creates the call for a request after checking its service, timeout and places.
func (entry *Entry) newCall(session *session, serviceName, path string, body []byte) (created *call, failure *caller.Error) {
	service, ok := session.configuration.Service(serviceName)
	if !ok || !session.account.MayUse(serviceName) {
		return nil, caller.InvalidRequest(http.StatusNotFound, "unknown_service", "the service %q does not exist or the account may not use it", serviceName)
	}
	header := session.iris.Request().Header
	timeout, failure := caller.ParseTimeout(header, entry.Settings.DefaultTimeout.Duration())
	if failure != nil {
		return nil, failure
	}
	places, failure := entry.permittedPlaces(session.account, service, header.Get(caller.PlaceHeader))
	if failure != nil {
		return nil, failure
	}
	deadline := session.started.Add(timeout)
	if !entry.late.Load().MayServe(time.Now(), deadline) {
		return nil, caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonDraining})
	}
	return &call{
		id:         session.id,
		account:    session.account,
		service:    service,
		version:    session.configuration.Version,
		class:      request.Online,
		method:     session.iris.Method(),
		path:       path,
		body:       body,
		idempotent: service.Idempotent(path),
		weight:     session.configuration.Weight(session.account.Name, serviceName),
		places:     places,
		deadline:   deadline,
	}, nil
}

// permittedPlaces returns the places in which account and service permit a request to run: the place of the entry first, the
// others in the order of the service's configuration. If requested is not empty, only that place is considered.
func (entry *Entry) permittedPlaces(account config.Account, service config.Service, requested string) (places []string, failure *caller.Error) {
	for _, place := range service.Places {
		if !account.MayRunIn(place) || requested != "" && place != requested {
			continue
		}
		if place == entry.Settings.Place {
			places = slices.Insert(places, 0, place)
			continue
		}
		places = append(places, place)
	}
	if len(places) == 0 {
		return nil, caller.InvalidRequest(http.StatusForbidden, "forbidden_place", "no place is permitted for this account, service and %s", caller.PlaceHeader)
	}
	return places, nil
}

// fingerprint returns a hash that identifies the request of a call. It is the same at all entries and when the request is sent
// again.
func fingerprint(call *call) uint64 {
	parts := []string{call.account.Name, call.service.Name, call.path}
	if call.method != http.MethodPost {
		// No account has an empty name, so no request with POST has the same hash. Requests with POST keep the hash that
		// claims of earlier versions hold.
		parts = append([]string{"", call.method}, parts...)
	}
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.body)
	return digest.Sum64()
}

// serveCall rejects a call that exceeds the account's rate limits or is a poison pill; otherwise it sends the call to a target
// and the response to the caller.
func (entry *Entry) serveCall(session *session, call *call, stream bool) *caller.Error {
	call.fingerprint = fingerprint(call)
	if ok, retryAfter := entry.rateLimiter.Allow(session.started, call.account, call.tokens); !ok {
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonAccountLimit, RetryAfter: retryAfter})
	}
	if key := session.iris.GetHeader(caller.IdempotencyKeyHeader); key != "" && !call.idempotent {
		return entry.serveAtMostOnce(session, call, key)
	}
	if failure := entry.rejectQuarantined(call); failure != nil {
		return failure
	}
	if stream {
		return entry.serveStream(session, call)
	}
	return entry.serveBuffered(session, call)
}

// rejectQuarantined returns an error if the call is a poison pill. It says that the call has not run.
func (entry *Entry) rejectQuarantined(call *call) *caller.Error {
	if _, quarantined := entry.suspects.status(call.fingerprint); !quarantined {
		return nil
	}
	return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonPoisonPill})
}

// newReceiver returns a receiver that holds memory for the response besides the body of the call.
func newReceiver(session *session, call *call) (receiver *bufferedReceiver) {
	return &bufferedReceiver{hold: func(bytes int64) error { return http1.Hold(session.iris.Request(), int64(len(call.body))+bytes) }}
}

// serveBuffered serves a call whose response is sent only once it is complete, so that a failed attempt can be retried.
func (entry *Entry) serveBuffered(session *session, call *call) *caller.Error {
	receiver := newReceiver(session, call)
	result := entry.dispatch(session.ctx, call, receiver)
	return entry.respondBuffered(session, call, result, receiver)
}

// respondBuffered logs the result of a call and sends its buffered response, or an error if there is none.
func (entry *Entry) respondBuffered(session *session, call *call, result result, receiver *bufferedReceiver) *caller.Error {
	entry.logResult(session, call, result)
	header := session.iris.ResponseWriter().Header()
	header.Set(caller.TargetHeader, result.target)
	if result.Disposition != request.Done {
		return caller.OutcomeError(result.Outcome)
	}
	header.Set(caller.DispositionHeader, result.Disposition.String())
	receiver.write(session.iris.ResponseWriter())
	return nil
}

// serveStream serves a call whose response is forwarded as it arrives. If the response breaks off, serveStream aborts the
// caller's connection by a panic.
func (entry *Entry) serveStream(session *session, call *call) *caller.Error {
	receiver := &streamReceiver{writer: session.iris.ResponseWriter()}
	result := entry.dispatch(session.ctx, call, receiver)
	entry.logResult(session, call, result)
	switch {
	case result.Disposition == request.Done:
		return nil
	case !receiver.started:
		session.setHeader(caller.TargetHeader, result.target)
		return caller.OutcomeError(result.Outcome)
	case receiver.writeFailed || session.ctx.Err() != nil:
		entry.metrics.callerAborts.Add(1)
	default:
		// Send an error event, so that the caller does not take the partial response for a complete one.
		entry.metrics.brokenResponses.Add(1)
		_, _ = receiver.writer.Write(append(append([]byte("data: "), caller.OutcomeError(result.Outcome).Body()...), "\n\n"...))
		_ = http.NewResponseController(receiver.writer).Flush()
	}
	panic(http.ErrAbortHandler)
}

// logResult logs and counts a finished call.
func (entry *Entry) logResult(session *session, call *call, result result) {
	entry.metrics.finished.Add(result.Disposition.String(), 1)
	entry.Log.Info("request",
		zap.String("request_id", call.id),
		zap.String("account", call.account.Name),
		zap.String("service", call.service.Name),
		zap.String("target", result.target),
		zap.String("target_place", result.place),
		zap.Stringer("disposition", result.Disposition),
		zap.String("reason", string(result.Reason)),
		zap.Int("attempts", result.attempts),
		zap.Duration("duration", time.Since(session.started)))
}

// modelList is the response of GET /v1/models in the OpenAI interface.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the model services that the account may use.
func (entry *Entry) listModels(session *session) *caller.Error {
	models := modelList{Object: "list", Data: []model{}}
	for _, service := range session.configuration.Services {
		if service.Type == config.ModelService && session.account.MayUse(service.Name) {
			models.Data = append(models.Data, model{ID: service.Name, Object: "model", OwnedBy: "cowslipway"})
		}
	}
	return writeJSON(session, models)
}

// writeJSON sends value as the response.
func writeJSON(session *session, value any) *caller.Error {
	session.iris.ContentType("application/json")
	if err := json.NewEncoder(session.iris.ResponseWriter()).Encode(value); err != nil {
		return caller.InvalidRequest(http.StatusInternalServerError, "internal_error", "the answer could not be written")
	}
	return nil
}

// forwardedHeaders are the header fields that callService forwards.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}

// callService serves a request to a path of a service. It forwards the query and forwardedHeaders with it.
func (entry *Entry) callService(session *session) *caller.Error {
	body, failure := entry.readBody(session, entry.Settings.MaxBodyBytes)
	if failure != nil {
		return failure
	}
	ctx := session.iris
	path := "/" + ctx.Params().Get("path")
	call, failure := entry.newCall(session, ctx.Params().Get("service"), path, body)
	if failure != nil {
		return failure
	}
	if query := ctx.Request().URL.RawQuery; query != "" {
		call.path += "?" + query
	}
	for _, name := range forwardedHeaders {
		if value := ctx.GetHeader(name); value != "" {
			call.headers = append(call.headers, peer.Header{Name: name, Value: value})
		}
	}
	call.tokens = int64(len(body)/bytesPerToken) + 1
	return entry.serveCall(session, call, false)
}

const bytesPerToken = 4 // estimate

// setHeader sets a header field of the response, replacing its earlier values.
func (session *session) setHeader(name, value string) {
	session.iris.ResponseWriter().Header().Set(name, value)
}
