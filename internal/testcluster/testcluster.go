package testcluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/core/coordination/routing"
	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/fakeplatform"
	"cowslipway/io/process/entry"
	"cowslipway/io/process/settings"
	"cowslipway/io/process/target"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/operator"
	"cowslipway/io/transport/quic"
)

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
	readHeaderTimeout = 5 * time.Second // for reading the header of a request
	drainLimit        = 2 * time.Second // time that the entry and each target daemon may take to drain
)

// Cluster is a system with one entry, and one engine and target daemon per element of Places.
type Cluster struct {
	Listen            string   // HTTP address of the entry; port 0 selects a free port, and Start stores the actual address
	Places            []string // place of each target daemon; the entry is in the first one
	ModelService      string
	PlainService      string
	Configuration     config.Configuration
	EnginePerformance fakeengine.Performance
	ReportLag         time.Duration // the engines' metrics show the load as it was at least this long ago
	ReportPeriod      time.Duration // period of the target daemons' load reports; 0 selects the default
	MaxSlowdown       float64       // limit for the slowdown of online requests by batch requests; 0 sets none
	Slots             int           // fixed slot limit of each engine; 0 lets the target daemons adapt it
	Chooser           routing.Chooser
	WrapEngine        func(engine http.Handler) http.Handler // wraps the HTTP interface of each engine; may be nil
	Log               *zap.Logger

	// Start sets the following fields.
	Engines    []*fakeengine.Server
	EngineURLs []string // base URLs, by the same index as Engines
	Platform   *fakeplatform.Server
	Entry      *entry.Entry

	group       *errgroup.Group
	authority   *quic.Authority
	engineStops []context.CancelFunc // each stops the engine with the same index
}

// Start starts the system and returns once the entry is ready. The system stops when ctx ends.
func (cluster *Cluster) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "starting the cluster") }()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cluster.Listen)
	if err != nil {
		return err
	}
	cluster.Listen = listener.Addr().String()
	if cluster.authority, err = quic.NewAuthority(); err != nil {
		return err
	}
	cluster.group, ctx = errgroup.WithContext(ctx)
	cluster.Platform = &fakeplatform.Server{}
	platformURL, err := cluster.serveHTTP(ctx, cluster.Platform.Handler())
	if err != nil {
		return err
	}
	cluster.group.Go(func() error {
		cluster.Platform.Run(ctx)
		return nil
	})
	if err = cluster.startTargets(ctx); err != nil {
		return err
	}
	store := etcd.NewStore(platformURL, 0)
	if _, err = operator.Apply(ctx, store, 0, cluster.Configuration, etcd.NewOperation()); err != nil {
		return err
	}
	if err = cluster.startEntry(ctx, listener, platformURL); err != nil {
		return err
	}
	return cluster.waitReady(ctx)
}

// Wait waits until the system has stopped and returns the first error of the entry or a target daemon.
func (cluster *Cluster) Wait() (err error) { return cluster.group.Wait() }

// KillEngine stops an engine immediately and closes its listener and connections. Its target daemon keeps running.
func (cluster *Cluster) KillEngine(index int) { cluster.engineStops[index]() }

// serveHTTP runs an HTTP server on a free loopback port until ctx ends and returns its base URL.
func (cluster *Cluster) serveHTTP(ctx context.Context, handler http.Handler) (baseURL string, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	cluster.group.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return "http://" + listener.Addr().String(), nil
}

// startTargets starts an engine and a target daemon for each place and publishes the daemons in the platform's VM list.
func (cluster *Cluster) startTargets(ctx context.Context) (err error) {
	var vms []etcd.VM
	for i, place := range cluster.Places {
		name := fmt.Sprintf("target-%d", i+1)
		engineURL, err := cluster.startEngine(ctx, name)
		if err != nil {
			return err
		}
		address, err := cluster.startDaemon(ctx, name, place, engineURL)
		if err != nil {
			return err
		}
		vms = append(vms, etcd.VM{Name: name, Address: address, Place: place, Role: etcd.TargetRole, State: etcd.LiveState})
	}
	cluster.Platform.SetVMs(vms)
	return nil
}

// startEngine starts an engine and returns its base URL.
func (cluster *Cluster) startEngine(ctx context.Context, name string) (baseURL string, err error) {
	ctx, stop := context.WithCancel(ctx)
	cluster.engineStops = append(cluster.engineStops, stop)
	server := &fakeengine.Server{Name: name, Performance: cluster.EnginePerformance, ReportLag: cluster.ReportLag}
	server.Start()
	context.AfterFunc(ctx, server.Stop)
	cluster.Engines = append(cluster.Engines, server)
	handler := server.Handler()
	if cluster.WrapEngine != nil {
		handler = cluster.WrapEngine(handler)
	}
	baseURL, err = cluster.serveHTTP(ctx, handler)
	cluster.EngineURLs = append(cluster.EngineURLs, baseURL)
	return baseURL, err
}

// startDaemon starts a target daemon and returns its UDP address. The engine serves both of the daemon's targets,
// one for ModelService and one for PlainService.
func (cluster *Cluster) startDaemon(ctx context.Context, name, place, engineURL string) (address string, err error) {
	daemon := &target.Daemon{Settings: settings.DefaultTarget(), Log: cluster.Log.Named(name), Tracer: noop.NewTracerProvider().Tracer("")}
	if daemon.TLS, err = cluster.authority.Issue(name); err != nil {
		return "", err
	}
	if daemon.Socket, err = (&net.ListenConfig{}).ListenPacket(ctx, "udp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	daemon.Settings.Listen = daemon.Socket.LocalAddr().String()
	daemon.Settings.Name, daemon.Settings.Place, daemon.Settings.FailureDomain = name, place, place
	daemon.Settings.Drain.Limit = config.Duration(drainLimit)
	if cluster.ReportPeriod > 0 {
		daemon.Settings.ReportPeriod = config.Duration(cluster.ReportPeriod)
	}
	model, plain := settings.DefaultEngineTarget(), settings.DefaultEngineTarget()
	model.Name, model.Service, model.Address = name+"-llm", cluster.ModelService, engineURL
	model.MaxSlowdown = cluster.MaxSlowdown
	if cluster.Slots > 0 {
		model.MinSlots, model.StartSlots, model.MaxSlots = cluster.Slots, cluster.Slots, cluster.Slots
	}
	plain.Name, plain.Service, plain.Address, plain.Type = name+"-plain", cluster.PlainService, engineURL, config.PlainService
	daemon.Settings.Targets = []settings.EngineTarget{model, plain}
	cluster.group.Go(func() error {
		defer func() { _ = daemon.Socket.Close() }()
		return daemon.Run(ctx)
	})
	return daemon.Settings.Listen, nil
}

// startEntry starts the entry on listener.
func (cluster *Cluster) startEntry(ctx context.Context, listener net.Listener, platformURL string) (err error) {
	cluster.Entry = &entry.Entry{
		Settings: settings.DefaultEntry(),
		Log:      cluster.Log.Named("entry-1"),
		Tracer:   noop.NewTracerProvider().Tracer(""),
		Listener: listener,
		Chooser:  cluster.Chooser,
	}
	entryProcess := cluster.Entry
	if entryProcess.TLS, err = cluster.authority.Issue("entry-1"); err != nil {
		return err
	}
	entryProcess.Settings.Name, entryProcess.Settings.Place, entryProcess.Settings.FailureDomain = "entry-1", cluster.Places[0], cluster.Places[0]
	entryProcess.Settings.Platform.Store = platformURL
	entryProcess.Settings.Platform.VMList = platformURL + "/vms"
	entryProcess.Settings.Drain = settings.Drain{Limit: config.Duration(drainLimit)}
	cluster.group.Go(func() error { return entryProcess.Run(ctx) })
	return nil
}

// waitReady polls the entry until it reports that it is ready.
func (cluster *Cluster) waitReady(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cluster.Listen+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for the entry to become ready")
		case <-time.After(readyPollInterval):
		}
	}
}
