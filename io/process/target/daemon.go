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
	"cowslipway/core/coordination/memorybudget"
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
	eventQueueLength  = 4096 // events waiting for the control goroutine
	tickInterval      = 100 * time.Millisecond
	maxRecordedRuns   = 16384 // attempts in the history
	maxTombstones     = 65536 // fenced attempts in the history
	maxSuspects       = 4096  // requests that are suspected of crashing engines
	maxQuarantined    = 4096  // requests that are rejected because they crashed engines
	drainPollInterval = 20 * time.Millisecond
)

// Daemon serves the targets of one VM. The exported fields are set before Run.
type Daemon struct {
	Settings settings.Target
	TLS      *tls.Config
	Log      *zap.Logger
	Tracer   trace.Tracer
	Socket   net.PacketConn // if nil, Run listens on the address in Settings

	incarnation    string // unique ID of this run of the process
	configurations peer.Configurations
	history        runs.History
	orderSender    orderSender
	targets        map[string]*target
	events         chan event
	inFlight       atomic.Int64
	metrics        metrics
	memory         *memorybudget.Pool // of attempts
	ready          atomic.Bool
	draining       atomic.Bool
}

// target is an engine or a plain service, with its gate.
type target struct {
	settings settings.EngineTarget
	client   *engine.Client
	meter    latencyMeter
	status   atomic.Pointer[gate.Status]

	gate *gate.Gate // only the control goroutine accesses it
}

// Run serves attempts until ctx ends, then drains. It returns once the last attempt has ended or the drain limit has passed.
func (daemon *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotatef(err, "running target daemon %q", daemon.Settings.Name) }()
	daemon.init()
	listener, err := daemon.listen()
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	// Attempts in flight continue after ctx ends, for a graceful shutdown.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go daemon.runController(background)
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

// listen returns a listener on Socket or, if that is nil, on the address in Settings.
func (daemon *Daemon) listen() (listener *quic.Listener, err error) {
	if daemon.Socket != nil {
		return quic.ListenOn(daemon.Socket, daemon.TLS)
	}
	return quic.Listen(daemon.Settings.Listen, daemon.TLS)
}

// init creates the state that depends on Settings.
func (daemon *Daemon) init() {
	daemon.incarnation = request.NewID("")
	daemon.history.MaxRuns, daemon.history.MaxTombstones = maxRecordedRuns, maxTombstones
	daemon.events = make(chan event, eventQueueLength)
	daemon.targets = map[string]*target{}
	for _, engineTarget := range daemon.Settings.Targets {
		daemon.targets[engineTarget.Name] = daemon.newTarget(engineTarget)
	}
	daemon.metrics.init()
	budget := settings.DefaultCallers().Budget(daemon.Settings.MemoryMB, 0)
	daemon.memory = &memorybudget.Pool{Bytes: budget.Bytes, SmallBytes: budget.SmallBytes, LargeBytes: budget.LargeBytes}
	if address := daemon.Settings.Platform.Store; address != "" {
		daemon.orderSender.Store = etcd.NewStore(address, daemon.Settings.Platform.CallsPerSecond)
	}
}

// newTarget returns a target with the gate that engineTarget configures.
func (daemon *Daemon) newTarget(engineTarget settings.EngineTarget) *target {
	created := &target{settings: engineTarget, client: engine.NewClient(engineTarget.Address)}
	created.gate = &gate.Gate{
		Slots: gate.SlotLimit{
			Min:   engineTarget.MinSlots,
			Max:   engineTarget.MaxSlots,
			Start: engineTarget.StartSlots,
		},
		BatchLimit:    gate.BatchLimit{MaxSlowdown: engineTarget.MaxSlowdown},
		Prefill:       gate.PrefillLimiter{TokensPerSecond: engineTarget.BatchPrefill},
		Grants:        gate.Grants{LastID: uint64(time.Now().UnixNano())},
		MaxPerAccount: daemon.Settings.MaxPerAccount,
		MaxQueued:     daemon.Settings.MaxQueued,
	}
	created.status.Store(&gate.Status{})
	return created
}

// drain rejects new work, preempts batch work and waits up to the drain limit for the attempts in flight to end.
func (daemon *Daemon) drain() {
	daemon.draining.Store(true)
	daemon.Log.Info("draining", zap.Int64("in_flight", daemon.inFlight.Load()))
	daemon.postEvent(drainEvent{})
	deadline := time.Now().Add(daemon.Settings.Drain.Limit.Duration())
	for daemon.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	if remaining := daemon.inFlight.Load(); remaining > 0 {
		daemon.metrics.abortedAttempts.Add(remaining)
		daemon.Log.Warn("drain limit reached; attempts in flight are aborted", zap.Int64("cut", remaining))
		return
	}
	// Gives the peers time to acknowledge the last frames.
	time.Sleep(drainPollInterval)
	daemon.Log.Info("drained")
}

// HandleProtocolError counts and logs a stream that violated the protocol.
func (daemon *Daemon) HandleProtocolError(err error) {
	daemon.metrics.malformedStreams.Add(1)
	daemon.Log.Debug("malformed stream", zap.Error(err))
}

// HandleCall executes a call of a peer and returns the response: it finds the recorded runs of a request, fences an
// attempt or sends an operator's order to an engine.
func (daemon *Daemon) HandleCall(call peer.Call) (response peer.CallResponse) {
	switch call.Kind {
	case peer.CallFindRuns:
		for _, run := range daemon.history.RunsOf(call.RequestID) {
			response.Runs = append(response.Runs, peer.NewRun(run, daemon.Settings.Name))
		}
		response.Found = len(response.Runs) > 0
	case peer.CallFence:
		// This incarnation does not know whether an attempt sent to an earlier one was executed, so it cannot fence it.
		response.Fenced = call.Incarnation == daemon.incarnation && daemon.history.Fence(call.AttemptID)
		response.Found = daemon.history.Unfinished(call.AttemptID)
	case peer.CallOrder:
		return daemon.handleOrder(call)
	}
	return response
}

// Handler returns the HTTP handler for the daemon's metrics, health check and readiness check.
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

// handshake returns the message that names the daemon and its targets to an entry.
func (daemon *Daemon) handshake() peer.Handshake {
	handshake := peer.Handshake{
		Name:        daemon.Settings.Name,
		Incarnation: daemon.incarnation,
		Place:       daemon.Settings.Place,
		Domain:      daemon.Settings.FailureDomain,
		Version:     daemon.configurations.Current().Version,
	}
	for _, engineTarget := range daemon.Settings.Targets {
		handshake.Targets = append(handshake.Targets, peer.TargetInfo{Name: engineTarget.Name, Service: engineTarget.Service})
	}
	return handshake
}

// pollLoad reads the engine's load report once per report period and passes it to the controller until ctx ends.
func (daemon *Daemon) pollLoad(ctx context.Context, target *target) {
	ticker := time.NewTicker(daemon.Settings.ReportPeriod.Duration())
	defer ticker.Stop()
	for {
		event := loadEvent{target: target}
		event.load, event.err = target.fetchLoad(ctx)
		daemon.postEvent(event)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fetchLoad reads the engine's load report. A plain service reports no load; fetchLoad returns zero load while the
// service accepts connections.
func (target *target) fetchLoad(ctx context.Context) (load engine.Load, err error) {
	if target.settings.Type == config.PlainService {
		return engine.Load{}, target.client.Probe(ctx)
	}
	return target.client.FetchLoad(ctx)
}
