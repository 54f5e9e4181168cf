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

	"cowslipway/core/coordination/ratelimit"
	"cowslipway/core/coordination/retry"
	"cowslipway/core/coordination/routing"
	"cowslipway/core/state/request"
	"cowslipway/core/state/runs"
	"cowslipway/io/process/settings"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
)

const (
	maxRecordedRuns    = 16384
	maxSuspects        = 65536
	maxQuarantined     = 65536
	retryBurst         = 50
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	drainCheckInterval = 20 * time.Millisecond
	eventQueueSize     = 4096
	tickInterval       = 200 * time.Millisecond
	vmListInterval     = time.Second
	heartbeatInterval  = 500 * time.Millisecond
)

// Entry serves callers and operators.
type Entry struct {
	Settings settings.Entry
	TLS      *tls.Config
	Log      *zap.Logger
	Tracer   trace.Tracer
	Chooser  routing.Chooser
	Listener net.Listener // nil listens on the settings' address

	incarnation    string
	store          *etcd.Store // nil without a platform
	configurations peer.Configurations
	fleet          atomic.Pointer[fleet]
	events         chan event
	rateLimiter    ratelimit.Limiter
	retryBudget    retry.Budget
	suspects       suspects
	history        runs.History
	claimLease     atomic.Int64
	lastTick       atomic.Int64 // Unix nanoseconds of the control goroutine's last tick
	presenceLease  atomic.Int64 // of the entry's presence, 0 before it has one
	metrics        metrics
	inFlight       atomic.Int64
	draining       atomic.Bool
	stopping       atomic.Bool
	ready          atomic.Bool
}

// Run serves until ctx ends and then drains.
func (entry *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotatef(err, "running entry %q", entry.Settings.Name) }()
	entry.init()
	listener := entry.Listener
	if listener == nil {
		if listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", entry.Settings.Listen); err != nil {
			return err
		}
	}
	handler, err := entry.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go entry.runControl(background)
	go entry.discover(background)
	entry.startStoreTasks(background)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	entry.Log.Info("entry is ready", zap.String("listen", listener.Addr().String()))
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
	}
	entry.drain(background, server)
	return nil
}

func (entry *Entry) init() {
	entry.incarnation = entry.Settings.Name + "-" + request.NewID("")
	entry.events = make(chan event, eventQueueSize)
	entry.lastTick.Store(time.Now().UnixNano())
	entry.fleet.Store(&fleet{})
	entry.rateLimiter.MaxAccounts = entry.Settings.MaxAccounts
	entry.rateLimiter.SetEntries(entry.Settings.EntryCount)
	entry.retryBudget.Share, entry.retryBudget.Burst = entry.Settings.RetryShare, retryBurst
	entry.history.MaxRuns = maxRecordedRuns
	entry.metrics.init()
	if entry.Chooser == (routing.Chooser{}) {
		entry.Chooser = routing.DefaultChooser
	}
	if entry.Settings.Platform.Store != "" {
		entry.store = etcd.NewStore(entry.Settings.Platform.Store, entry.Settings.Platform.CallsPerSecond)
	}
}

// drain fails the health page until the balancer has had time, then ends what is in flight.
func (entry *Entry) drain(ctx context.Context, server *http.Server) {
	entry.draining.Store(true)
	entry.Log.Info("draining", zap.Int64("in_flight", entry.inFlight.Load()))
	time.Sleep(entry.Settings.Drain.BalancerWait.Duration())
	entry.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, entry.Settings.Drain.Limit.Duration())
	defer cancel()
	if server.Shutdown(ctx) != nil {
		cut := entry.inFlight.Load()
		entry.metrics.closedStreams.Add(cut)
		entry.Log.Warn("stopped before every stream had ended", zap.Int64("cut", cut))
		_ = server.Close()
		return
	}
	entry.Log.Info("drained")
}

// newRand returns a source of randomness for one goroutine.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
