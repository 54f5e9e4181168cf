package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/core/coordination/draining"
	"cowslipway/core/coordination/jobroom"
	"cowslipway/io/port"
	"cowslipway/io/process/node"
	"cowslipway/io/transport/http1"

	"cowslipway/io/process/telemetry"
)

const (
	readHeaderTimeout   = 10 * time.Second // longer than the operator's limit for callers to send a header
	maxHeaderBytes      = 64 << 10
	defaultMaxBodyBytes = 4 << 20 // applies where the configuration sets no limit, and to bodies that are not used
	maxLinger           = 3 * time.Second
	readLimit           = time.Second            // for connections that wait to be accepted, and for their requests, during the shutdown
	shutdownMargin      = time.Second            // between the end of the shutdown and SIGKILL
	waitsEndMargin      = 500 * time.Millisecond // between the end of waiting for results and the cut, for a read of the store
	notReadyRetryAfter  = 500 * time.Millisecond // a starting process has read the configuration by then
	stoppingRetryAfter  = 50 * time.Millisecond  // other processes serve the request at once
)

// Server is the ingress process of one VM. The exported fields must be set before Run is called.
type Server struct {
	Node    *node.Node
	Callers port.Callers
	Log     *zap.Logger

	stopping    atomic.Bool
	late        atomic.Pointer[draining.Late] // nil until the process ceases to accept connections
	waitsEnd    chan struct{}                 // closed shortly before a stop cuts the calls that are left
	admissions  admissions
	connections http1.Admission

	jobRoomMutex sync.Mutex // guards jobRoom
	jobRoom      jobroom.Room
	lines        telemetry.LineLimit // of lines that callers can cause
}

// Run serves callers until ctx ends, and then shuts down gracefully within the grace period of the settings.
func (server *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "serving callers") }()
	server.admissions.started = time.Now()
	server.waitsEnd = make(chan struct{})
	server.jobRoom = jobroom.Room{SmallBytes: smallJobBytes, LargeShare: largeJobShare}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callerListener, err := http1.Listen(ctx, server.Node.Settings.Listen)
	if err != nil {
		return err
	}
	readyListener, err := http1.Listen(ctx, server.Node.Settings.ReadyListen)
	if err != nil {
		return err
	}
	callerServer := &http.Server{Handler: http1.ResetUnfinished(http1.DrainBody(server, defaultMaxBodyBytes)), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: http1.ErrorLog(server.logServerError)}
	readyServer := &http.Server{Handler: http.HandlerFunc(server.serveReady), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: callerServer.ErrorLog}
	server.limitCallers()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error {
		server.connections.Run(runCtx)
		return nil
	})
	group.Go(func() error { return server.Node.Run(runCtx) })
	stopper := &http1.Stopper{ReadLimit: readLimit}
	stopper.Attach(callerServer)
	group.Go(func() error { return http1.Serve(callerServer, server.connections.Listener(callerListener)) })
	group.Go(func() error { return http1.Serve(readyServer, http1.AdmitProbes(runCtx, readyListener)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			server.shutdown(runCtx, callerServer, func(ctx context.Context) error { return stopper.Stop(ctx, callerServer, callerListener) })
		case <-runCtx.Done():
			_ = callerServer.Close()
		}
		_ = readyServer.Close()
		cancel()
		return nil
	})
	return group.Wait()
}

// limitCallers sets up the limits of what callers make the process hold.
func (server *Server) limitCallers() {
	settings := server.Node.Settings
	server.connections.Budget = settings.Callers.Budget(settings.MemoryMB, settings.MaxDescriptors)
	server.connections.OnEnd = func(reason string, held int64) {
		telemetry.CallerEnds.Add(reason, 1)
		if omitted, ok := server.lines.Allow(time.Now(), reason); ok {
			server.Log.Info("caller disconnected", zap.String("reason", reason), zap.Int64("held", held), zap.Int("omitted", omitted))
		}
	}
	telemetry.CallerBytes.Set(func() float64 {
		bytes, _ := server.connections.Used()
		return float64(bytes)
	})
	telemetry.CallerConnections.Set(func() float64 {
		_, connections := server.connections.Used()
		return float64(connections)
	})
}

// logServerError logs what an HTTP server reports, for example that it cannot accept a connection.
func (server *Server) logServerError(line string) {
	if omitted, ok := server.lines.Allow(time.Now(), "server"); ok {
		server.Log.Warn("http server", zap.String("error", line), zap.Int("omitted", omitted))
	}
}

// shutdown continues to accept calls until load balancers have detected that the process is not ready, finishes the calls
// in progress and deregisters. It ends before the grace period does, by shutdownMargin or a quarter of the period,
// whichever is shorter.
func (server *Server) shutdown(ctx context.Context, callerServer *http.Server, stop func(ctx context.Context) error) {
	server.stopping.Store(true)
	server.Log.Info("stopping")
	server.Node.AnnounceLeaving()
	server.connections.Stop()
	grace := server.Node.Settings.GracePeriod.Duration()
	linger, stopped := min(maxLinger, grace/2), time.Now()
	time.Sleep(linger)
	shutdownCtx, cancel := context.WithTimeout(ctx, max(0, grace-linger-min(shutdownMargin, grace/4)))
	defer cancel()
	cut, _ := shutdownCtx.Deadline()
	server.late.Store(draining.NewLate(time.Now(), stopped.Add(linger), cut))
	ending := time.AfterFunc(time.Until(cut)-waitsEndMargin, func() { close(server.waitsEnd) })
	defer ending.Stop()
	if err := stop(shutdownCtx); err != nil {
		server.Log.Warn("requests cut by the stop", telemetry.Err(err))
		_ = callerServer.Close()
	}
	server.Node.Deregister(shutdownCtx)
	server.Log.Info("stopped")
}

// serveReady answers readiness checks: 200 while the process accepts calls, and otherwise 503.
func (server *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if server.stopping.Load() || !server.Node.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP implements [http.Handler]: it answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if server.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	call, err := server.Callers.Call(request)
	if err != nil {
		server.reject(writer, call, http.StatusBadRequest, 0, err.Error())
		return
	}
	if call.Kind != port.RequestCall && !server.admitJobCall(writer, request, call) {
		return
	}
	switch call.Kind {
	case port.ResultsCall:
		server.serveResults(writer, request, call)
	case port.ItemBodyCall:
		server.serveItemBody(writer, request, call)
	case port.CancelJobCall:
		server.serveCancel(writer, request, call)
	case port.RequestCall:
		server.serveRouted(writer, request, call, arrived)
	}
}

// reject answers a call with an error status and the reason as its text, and logs it together with decisionFields.
// retryAfter is 0 where a retry does not help.
func (server *Server) reject(writer http.ResponseWriter, call port.Call, status int, retryAfter time.Duration, reason string, decisionFields ...zap.Field) {
	if retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, reason+"\n") //nolint:gosec // plain text; a caller that has disconnected needs no response
	telemetry.Requests.Add("refused "+strconv.Itoa(status), 1)
	server.Log.Info("refused", append(decisionFields, zap.String("request", call.RequestID), zap.String("job", call.JobID), zap.Int("status", status),
		zap.Duration("retry_after", max(0, retryAfter)), zap.String("reason", reason))...)
}

// requestURI returns the path and query of the request exactly as the caller sent them, and the path alone.
func requestURI(request *http.Request) (uri, path string) {
	uri = request.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = request.URL.RequestURI() // the absolute form of HTTP/1.1 begins with scheme and host
	}
	path, _, _ = strings.Cut(uri, "?")
	return uri, path
}
