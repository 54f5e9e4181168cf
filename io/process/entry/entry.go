package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"cowslipway/core/coordination/draining"
	"cowslipway/core/coordination/memorybudget"
	"cowslipway/core/coordination/ratelimit"
	"cowslipway/core/coordination/retry"
	"cowslipway/core/coordination/routing"
	"cowslipway/core/state/request"
	"cowslipway/core/state/runs"
	"cowslipway/io/process/settings"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
	"cowslipway/io/transport/http1"
)

const (
	maxRecordedRuns    = 16384 // attempts in the history
	maxSuspects        = 65536 // requests that are suspected of crashing engines
	maxQuarantined     = 65536 // requests that are rejected because they crashed engines
	retryBurst         = 50    // retries that a full retry budget allows at once
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	itemShare          = 2           // the memory for responses to batch items is that for callers divided by it
	readLimit          = time.Second // for connections that wait to be accepted, and for their requests, while the entry drains
	drainCheckInterval = 20 * time.Millisecond
	eventQueueLength   = 4096 // events waiting for the control goroutine
	tickInterval       = 200 * time.Millisecond
	vmListInterval     = time.Second
	heartbeatInterval  = 500 * time.Millisecond
)

// Entry is an entry process. The exported fields must be set before Run is called.
type Entry struct {
	Settings settings.Entry
	TLS      *tls.Config // for connections to target daemons
	Log      *zap.Logger
	Tracer   trace.Tracer
	Chooser  routing.Chooser // zero for routing.DefaultChooser
	Listener net.Listener    // nil to listen on Settings.Listen

	incarnation    string      // unique name of this run of the process
	store          *etcd.Store // nil if no store is configured
	configurations peer.Configurations
	fleet          atomic.Pointer[fleet]
	events         chan event // for the control goroutine
	rateLimiter    ratelimit.Limiter
	retryBudget    retry.Budget
	suspects       suspects
	history        runs.History
	claimLease     atomic.Int64 // lease of the claims that are written now, 0 if there is none yet
	lastTick       atomic.Int64 // Unix nanoseconds of the last tick of the control goroutine
	presenceLease  atomic.Int64 // lease of the entry's presence record, 0 if there is none yet
	metrics        metrics
	connections    http1.Admission
	itemMemory     *memorybudget.Pool  // for responses to batch items
	lines          telemetry.LineLimit // of lines that callers can cause
	inFlight       atomic.Int64        // requests of client accounts that are being served
	draining       atomic.Bool
	late           atomic.Pointer[draining.Late] // nil until the entry ceases to accept connections
	ready          atomic.Bool                   // see readiness
}

// Run serves requests until ctx is done and then drains. It returns an error if it cannot listen or serve.
func (entry *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotatef(err, "running entry %q", entry.Settings.Name) }()
	entry.init()
	listener := entry.Listener
	if listener == nil {
		if listener, err = http1.Listen(ctx, entry.Settings.Listen); err != nil {
			return err
		}
	}
	handler, err := entry.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http1.ResetUnfinished(http1.DrainBody(handler, entry.Settings.MaxBodyBytes)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: http1.ErrorLog(entry.logServerError)}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go entry.runControl(background)
	go entry.connections.Run(background)
	go entry.discover(background)
	entry.startStoreTasks(background)
	stopper := &http1.Stopper{ReadLimit: readLimit}
	stopper.Attach(server)
	failed := make(chan error, 1)
	go func() { failed <- http1.Serve(server, entry.connections.Listener(listener)) }()
	entry.Log.Info("entry is ready", zap.String("listen", listener.Addr().String()))
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
	}
	entry.drain(background, server, func(ctx context.Context) error { return stopper.Stop(ctx, server, listener) })
	return nil
}

// init sets up the unexported state from the settings.
func (entry *Entry) init() {
	entry.incarnation = entry.Settings.Name + "-" + request.NewID("")
	entry.events = make(chan event, eventQueueLength)
	entry.lastTick.Store(time.Now().UnixNano())
	entry.fleet.Store(&fleet{})
	entry.rateLimiter.MaxAccounts = entry.Settings.MaxAccounts
	entry.rateLimiter.SetEntries(entry.Settings.EntryCount)
	entry.retryBudget.Share, entry.retryBudget.Burst = entry.Settings.RetryShare, retryBurst
	entry.history.MaxRuns = maxRecordedRuns
	entry.metrics.init()
	entry.limitCallers()
	if entry.Chooser == (routing.Chooser{}) {
		entry.Chooser = routing.DefaultChooser
	}
	if entry.Settings.Platform.Store != "" {
		entry.store = etcd.NewStore(entry.Settings.Platform.Store, entry.Settings.Platform.CallsPerSecond)
	}
}

// limitCallers sets up the limits of what callers make the process hold.
func (entry *Entry) limitCallers() {
	entry.connections.Budget = entry.Settings.Callers.Budget(entry.Settings.MemoryMB, entry.Settings.MaxDescriptors)
	entry.connections.OnEnd = func(reason string, held int64) {
		entry.metrics.endedCallers.Add(reason, 1)
		if omitted, ok := entry.lines.Allow(time.Now(), reason); ok {
			entry.Log.Info("caller disconnected", zap.String("reason", reason), zap.Int64("held", held), zap.Int("omitted", omitted))
		}
	}
	entry.metrics.callers.Store(&entry.connections)
	budget := &entry.connections.Budget
	entry.itemMemory = &memorybudget.Pool{Bytes: budget.Bytes / itemShare, SmallBytes: budget.SmallBytes, LargeBytes: budget.LargeBytes / itemShare}
}

// logServerError logs what the HTTP server reports, for example that it cannot accept a connection.
func (entry *Entry) logServerError(line string) {
	if omitted, ok := entry.lines.Allow(time.Now(), "server"); ok {
		entry.Log.Warn("http server", zap.String("error", line), zap.Int("omitted", omitted))
	}
}

// drain fails the health check but still accepts requests for Drain.BalancerWait, so that the load balancer stops sending
// new ones. Then it shuts server down, and closes the remaining connections after Drain.Limit.
func (entry *Entry) drain(ctx context.Context, server *http.Server, stop func(ctx context.Context) error) {
	entry.draining.Store(true)
	entry.Log.Info("draining", zap.Int64("in_flight", entry.inFlight.Load()))
	ceases := time.Now().Add(entry.Settings.Drain.BalancerWait.Duration())
	time.Sleep(time.Until(ceases))
	entry.connections.Stop()
	ctx, cancel := context.WithTimeout(ctx, entry.Settings.Drain.Limit.Duration())
	defer cancel()
	cut, _ := ctx.Deadline()
	entry.late.Store(draining.NewLate(time.Now(), ceases, cut))
	if stop(ctx) != nil {
		remaining := entry.inFlight.Load()
		entry.metrics.abortedRequests.Add(remaining)
		entry.Log.Warn("drain deadline exceeded; closing the remaining connections", zap.Int64("cut", remaining))
		_ = server.Close()
		return
	}
	entry.Log.Info("drained")
}

// newRand returns a randomly seeded generator for use by one goroutine.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
