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
	readyTimeout  = 10 * time.Second
	readyCheck    = 5 * time.Millisecond
	headerTimeout = 5 * time.Second
	drainLimit    = 2 * time.Second
)

// Cluster is a system of one entry and a target daemon for each place named.
type Cluster struct {
	Listen            string   // HTTP address of the entry
	Places            []string // one target daemon with one engine for each; the entry is in the first
	ModelService      string
	PlainService      string
	Configuration     config.Configuration
	EnginePerformance fakeengine.Performance
	ReportLag         time.Duration // of the engines' load reports
	ReportPeriod      time.Duration // of the daemons; 0 takes the default
	MaxSlowdown       float64       // of online work through batch work; 0 sets no bound
	Slots             int           // of each engine; 0 lets the daemons learn it
	Chooser           routing.Chooser
	Log               *zap.Logger

	Engines    []*fakeengine.Server // set by Start
	EngineURLs []string             // set by Start
	Platform   *fakeplatform.Server // set by Start
	Entry      *entry.Entry         // set by Start

	group     *errgroup.Group
	authority *quic.Authority
	stops     []context.CancelFunc // of each engine and its daemon
}

// Start runs the system until ctx ends; it returns once the entry is ready.
func (stand *Cluster) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "starting the system") }()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", stand.Listen)
	if err != nil {
		return err
	}
	stand.Listen = listener.Addr().String()
	if stand.authority, err = quic.NewAuthority(); err != nil {
		return err
	}
	stand.group, ctx = errgroup.WithContext(ctx)
	stand.Platform = &fakeplatform.Server{}
	platformURL, err := stand.serve(ctx, stand.Platform.Handler())
	if err != nil {
		return err
	}
	stand.group.Go(func() error {
		stand.Platform.Run(ctx)
		return nil
	})
	if err = stand.startTargets(ctx); err != nil {
		return err
	}
	store := etcd.NewStore(platformURL, 0)
	if _, err = operator.Apply(ctx, store, 0, stand.Configuration, etcd.NewOperation()); err != nil {
		return err
	}
	if err = stand.startEntry(ctx, listener, platformURL); err != nil {
		return err
	}
	return stand.waitReady(ctx)
}

// Wait returns when the system has stopped.
func (stand *Cluster) Wait() (err error) { return stand.group.Wait() }

// KillEngine ends an engine at once: its connections break and nothing listens any more.
func (stand *Cluster) KillEngine(number int) { stand.stops[number]() }

// serve runs an HTTP server on a free port of the loopback interface.
func (stand *Cluster) serve(ctx context.Context, handler http.Handler) (address string, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stand.group.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (stand *Cluster) startTargets(ctx context.Context) (err error) {
	var list []etcd.VM
	for i, place := range stand.Places {
		name := fmt.Sprintf("target-%d", i+1)
		engineURL, err := stand.startEngine(ctx, name)
		if err != nil {
			return err
		}
		address, err := stand.startDaemon(ctx, name, place, engineURL)
		if err != nil {
			return err
		}
		list = append(list, etcd.VM{Name: name, Address: address, Place: place, Role: etcd.TargetRole, State: etcd.LiveState})
	}
	stand.Platform.SetVMs(list)
	return nil
}

func (stand *Cluster) startEngine(ctx context.Context, name string) (address string, err error) {
	ctx, stop := context.WithCancel(ctx)
	stand.stops = append(stand.stops, stop)
	server := &fakeengine.Server{Name: name, Performance: stand.EnginePerformance, ReportLag: stand.ReportLag}
	server.Start()
	context.AfterFunc(ctx, server.Stop)
	stand.Engines = append(stand.Engines, server)
	address, err = stand.serve(ctx, server.Handler())
	stand.EngineURLs = append(stand.EngineURLs, address)
	return address, err
}

func (stand *Cluster) startDaemon(ctx context.Context, name, place, engineURL string) (address string, err error) {
	daemon := &target.Daemon{Settings: settings.DefaultTarget(), Log: stand.Log.Named(name), Tracer: noop.NewTracerProvider().Tracer("")}
	if daemon.TLS, err = stand.authority.Issue(name); err != nil {
		return "", err
	}
	if daemon.Socket, err = (&net.ListenConfig{}).ListenPacket(ctx, "udp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	daemon.Settings.Listen = daemon.Socket.LocalAddr().String()
	daemon.Settings.Name, daemon.Settings.Place, daemon.Settings.FailureDomain = name, place, place
	daemon.Settings.Drain.Limit = config.Duration(drainLimit)
	if stand.ReportPeriod > 0 {
		daemon.Settings.ReportPeriod = config.Duration(stand.ReportPeriod)
	}
	model, plain := settings.DefaultEngineTarget(), settings.DefaultEngineTarget()
	model.Name, model.Service, model.Address = name+"-llm", stand.ModelService, engineURL
	model.MaxSlowdown = stand.MaxSlowdown
	if stand.Slots > 0 {
		model.MinSlots, model.StartSlots, model.MaxSlots = stand.Slots, stand.Slots, stand.Slots
	}
	plain.Name, plain.Service, plain.Address, plain.Type = name+"-plain", stand.PlainService, engineURL, config.PlainService
	daemon.Settings.Targets = []settings.EngineTarget{model, plain}
	stand.group.Go(func() error {
		defer func() { _ = daemon.Socket.Close() }()
		return daemon.Run(ctx)
	})
	return daemon.Settings.Listen, nil
}

func (stand *Cluster) startEntry(ctx context.Context, listener net.Listener, platformURL string) (err error) {
	stand.Entry = &entry.Entry{
		Settings: settings.DefaultEntry(),
		Log:      stand.Log.Named("entry-1"),
		Tracer:   noop.NewTracerProvider().Tracer(""),
		Listener: listener,
		Chooser:  stand.Chooser,
	}
	process := stand.Entry
	if process.TLS, err = stand.authority.Issue("entry-1"); err != nil {
		return err
	}
	process.Settings.Name, process.Settings.Place, process.Settings.FailureDomain = "entry-1", stand.Places[0], stand.Places[0]
	process.Settings.Platform.Store = platformURL
	process.Settings.Platform.VMList = platformURL + "/vms"
	process.Settings.Drain = settings.Drain{Limit: config.Duration(drainLimit)}
	stand.group.Go(func() error { return process.Run(ctx) })
	return nil
}

func (stand *Cluster) waitReady(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		question, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+stand.Listen+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(question)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for the entry")
		case <-time.After(readyCheck):
		}
	}
}
