package target

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"cowslipway/core/coordination/gate"
	"cowslipway/core/state/config"
	"cowslipway/core/state/request"
	"cowslipway/core/state/runs"
	"cowslipway/io/process/settings"
	"cowslipway/io/protocol/engine"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
	"cowslipway/io/transport/quic"
)

const (
	eventQueueLength = 4096
	tickPeriod       = 100 * time.Millisecond
	maxRuns          = 16384
	maxTombstones    = 65536
	maxSuspects      = 4096
	maxQuarantined   = 4096
	drainPollPeriod  = 20 * time.Millisecond
)

// Daemon serves the targets of one VM.
type Daemon struct {
	Settings settings.Target
	TLS      *tls.Config
	Log      *zap.Logger
	Tracer   trace.Tracer
	Socket   net.PacketConn // nil listens on the settings' address

	incarnation    string
	configurations peer.Configurations
	history        runs.History
	orderSender    orderSender
	targets        map[string]*target
	events         chan event
	inFlight       atomic.Int64
	metrics        metrics
	ready          atomic.Bool
	draining       atomic.Bool
}

// target is one engine or plain service with its gate.
type target struct {
	settings settings.EngineTarget
	client   *engine.Client
	meter    latencyMeter
	status   atomic.Pointer[gate.Status]

	gate *gate.Gate // belongs to the control goroutine
}

// Run serves until ctx ends, then drains; it returns once the last stream has ended or the limit is over.
func (daemon *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotatef(err, "running target daemon %q", daemon.Settings.Name) }()
	daemon.init()
	listener, err := daemon.listen()
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	// What is in flight outlives ctx: a stop is graceful.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go daemon.runControl(background)
	for _, target := range daemon.targets {
		go daemon.pollLoad(background, target)
	}
	server := &peer.Server{Listener: listener, Handler: daemon}
	go func() { _ = server.Run(background) }()
	daemon.ready.Store(true)
	daemon.Log.Info("target daemon is ready", zap.String("listen", listener.Addr().String()))
	<-ctx.Done()
	daemon.drain()
	return nil
}

func (daemon *Daemon) listen() (listener *quic.Listener, err error) {
	if daemon.Socket != nil {
		return quic.ListenOn(daemon.Socket, daemon.TLS)
	}
	return quic.Listen(daemon.Settings.Listen, daemon.TLS)
}

func (daemon *Daemon) init() {
	daemon.incarnation = request.NewID("")
	daemon.history.MaxRuns, daemon.history.MaxTombstones = maxRuns, maxTombstones
	daemon.events = make(chan event, eventQueueLength)
	daemon.targets = map[string]*target{}
	for _, engineTarget := range daemon.Settings.Targets {
		daemon.targets[engineTarget.Name] = daemon.newTarget(engineTarget)
	}
	daemon.metrics.init()
	if address := daemon.Settings.Platform.Store; address != "" {
		daemon.orderSender.Store = etcd.NewStore(address, daemon.Settings.Platform.CallsPerSecond)
	}
}

func (daemon *Daemon) newTarget(engineTarget settings.EngineTarget) *target {
	added := &target{settings: engineTarget, client: engine.NewClient(engineTarget.Address)}
	added.gate = &gate.Gate{
		Slots: gate.SlotLimit{
			Min:   engineTarget.MinSlots,
			Max:   engineTarget.MaxSlots,
			Start: engineTarget.StartSlots,
		},
		BatchLimit:    gate.BatchLimit{MaxSlowdown: engineTarget.MaxSlowdown},
		Prefill:       gate.PrefillLimiter{TokensPerSecond: engineTarget.BatchPrefill},
		Grants:        gate.Grants{NextID: uint64(time.Now().UnixNano())},
		MaxPerAccount: daemon.Settings.MaxPerAccount,
		MaxQueued:     daemon.Settings.MaxQueued,
	}
	added.status.Store(&gate.Status{})
	return added
}

// drain lets online streams end, refuses new work and hands batch back.
func (daemon *Daemon) drain() {
	daemon.draining.Store(true)
	daemon.Log.Info("draining", zap.Int64("in_flight", daemon.inFlight.Load()))
	daemon.postEvent(drainEvent{})
	deadline := time.Now().Add(daemon.Settings.Drain.Limit.Duration())
	for daemon.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollPeriod)
	}
	if cut := daemon.inFlight.Load(); cut > 0 {
		daemon.metrics.cutStreams.Add(cut)
		daemon.Log.Warn("stopped before every stream had ended", zap.Int64("cut", cut))
		return
	}
	// The peers' acknowledgements of the last frames are on their way.
	time.Sleep(drainPollPeriod)
	daemon.Log.Info("drained")
}

// Malformed counts a stream that broke the protocol.
func (daemon *Daemon) Malformed(err error) {
	daemon.metrics.malformedStreams.Add(1)
	daemon.Log.Debug("malformed stream", zap.Error(err))
}

// Ask answers what other daemons want to know.
func (daemon *Daemon) Ask(ask peer.Ask) (answer peer.Answer) {
	switch ask.Kind {
	case peer.AskWhere:
		for _, run := range daemon.history.RunsOf(ask.RequestID) {
			answer.Runs = append(answer.Runs, peer.RunOf(run, daemon.Settings.Name))
		}
		answer.Found = len(answer.Runs) > 0
	case peer.AskFence:
		// An attempt that an earlier incarnation got is beyond what this one can vouch for.
		answer.Fenced = ask.Incarnation == daemon.incarnation && daemon.history.Fence(ask.AttemptID)
		answer.Found = daemon.history.Unfinished(ask.AttemptID)
	case peer.AskOrder:
		return daemon.handleOrder(ask)
	}
	return answer
}

// Handler returns the HTTP pages of the daemon: metrics and health.
func (daemon *Daemon) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !daemon.ready.Load() || daemon.draining.Load() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ok\n"))
	})
	return mux
}

func (daemon *Daemon) hello() peer.Hello {
	hello := peer.Hello{
		Name:        daemon.Settings.Name,
		Incarnation: daemon.incarnation,
		Place:       daemon.Settings.Place,
		Domain:      daemon.Settings.FailureDomain,
		Version:     daemon.configurations.Current().Version,
	}
	for _, engineTarget := range daemon.Settings.Targets {
		hello.Targets = append(hello.Targets, peer.TargetInfo{Name: engineTarget.Name, Service: engineTarget.Service})
	}
	return hello
}

// pollLoad reads the engine's load report in a regular rhythm.
func (daemon *Daemon) pollLoad(ctx context.Context, target *target) {
	ticker := time.NewTicker(daemon.Settings.ReportPeriod.Duration())
	defer ticker.Stop()
	for {
		report := loadEvent{target: target}
		report.load, report.err = target.fetchLoad(ctx)
		daemon.postEvent(report)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fetchLoad reads the state of the engine; a plain service reports none and counts as idle while it accepts
// connections.
func (target *target) fetchLoad(ctx context.Context) (load engine.Load, err error) {
	if target.settings.Type == config.PlainService {
		return engine.Load{}, target.client.Probe(ctx)
	}
	return target.client.Load(ctx)
}
