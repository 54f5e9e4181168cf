package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/io/port"
	"cowslipway/io/process/node"

	"cowslipway/io/process/telemetry"
)

const (
	headerTimeout  = 10 * time.Second // callers keep to the operator's limit, which is shorter
	maxHeaderBytes = 64 << 10
	defaultBody    = 4 << 20 // where the operator sets no limit
	lingerLimit    = 3 * time.Second
	stopMargin     = time.Second            // before SIGKILL
	unreadyRetry   = 500 * time.Millisecond // a process that starts knows the configuration by then
)

// Server serves callers on one VM.
type Server struct {
	Node    *node.Node
	Callers port.Callers
	Log     *zap.Logger

	stopping atomic.Bool
}

// Run serves until ctx ends, and then finishes what callers wait for.
func (server *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "serving callers") }()
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callers, err := listen(ctx, server.Node.Settings.Listen)
	if err != nil {
		return err
	}
	ready, err := listen(ctx, server.Node.Settings.ReadyListen)
	if err != nil {
		return err
	}
	main := &http.Server{Handler: server, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	side := &http.Server{Handler: http.HandlerFunc(server.serveReady), ReadHeaderTimeout: headerTimeout}
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return server.Node.Run(running) })
	group.Go(func() error { return ignoreClosed(main.Serve(callers)) })
	group.Go(func() error { return ignoreClosed(side.Serve(ready)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			server.stop(running, main)
		case <-running.Done():
			_ = main.Close()
		}
		_ = side.Close()
		cancel()
		return nil
	})
	return group.Wait()
}

func listen(ctx context.Context, address string) (listener net.Listener, err error) {
	listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	return listener, errors.Annotatef(err, "listening on %s", address)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop lets the balancer take notice, answers what has come and ends in time.
func (server *Server) stop(ctx context.Context, main *http.Server) {
	server.stopping.Store(true)
	server.Log.Info("stopping")
	server.Node.AnnounceLeaving()
	grace := server.Node.Settings.GracePeriod.Duration()
	linger := min(lingerLimit, grace/2)
	time.Sleep(linger)
	limited, cancel := context.WithTimeout(ctx, max(0, grace-linger-min(stopMargin, grace/4)))
	defer cancel()
	if err := main.Shutdown(limited); err != nil {
		server.Log.Warn("requests cut by the stop", telemetry.Err(err))
		_ = main.Close()
	}
	server.Node.Deregister(limited)
	server.Log.Info("stopped")
}

func (server *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if server.stopping.Load() || !server.Node.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if server.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	call, err := server.Callers.Call(request)
	if err != nil {
		server.refuse(writer, call, http.StatusBadRequest, 0, err.Error())
		return
	}
	switch call.Kind {
	case port.ResultsCall:
		server.serveResults(writer, request, call)
	case port.ItemBodyCall:
		server.serveItemBody(writer, request, call)
	case port.CancelJobCall:
		server.serveEnd(writer, request, call)
	case port.RequestCall:
		server.serveRouted(writer, request, call, arrived)
	}
}

// refuse answers that a call was not carried out; retryAfter is 0 where coming back does not help. The inputs of the
// decision are for the log alone.
func (server *Server) refuse(writer http.ResponseWriter, call port.Call, status int, retryAfter time.Duration, reason string, inputs ...zap.Field) {
	if retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, reason+"\n") //nolint:gosec // plain text; a caller that is gone needs no answer
	telemetry.Requests.Add("refused "+strconv.Itoa(status), 1)
	server.Log.Info("refused", append(inputs, zap.String("request", call.RequestID), zap.String("job", call.JobID), zap.Int("status", status),
		zap.Duration("retry_after", retryAfter), zap.String("reason", reason))...)
}

// hostOf returns the request's host without a port.
func hostOf(request *http.Request) string {
	if host, _, err := net.SplitHostPort(request.Host); err == nil {
		return host
	}
	return request.Host
}

// targetOf returns the request's target as the caller wrote it, and its path.
func targetOf(request *http.Request) (uri, path string) {
	uri = request.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = request.URL.RequestURI() // the absolute form names the host once more
	}
	path, _, _ = strings.Cut(uri, "?")
	return uri, path
}
