package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/fakeplatform"
	"cowslipway/io/process/entry"
	"cowslipway/io/process/settings"
	"cowslipway/io/process/target"
	"cowslipway/io/protocol/operator"
	"cowslipway/io/protocol/platform"
	"cowslipway/io/transport/quic"
)

// The names that the demo serves under.
const (
	APIKey      = "demo"
	ServiceName = "demo-llm"
	PlainName   = "notices"
)

const (
	readyTimeout = 5 * time.Second
	readyCheck   = 5 * time.Millisecond
)

var places = []string{"place-a", "place-a", "place-b"}

var engineModel = fakeengine.Model{
	Base:         5 * time.Millisecond,
	PerSequence:  50 * time.Microsecond,
	PerPrefill:   5 * time.Microsecond,
	MaxSequences: 64,
	CacheBlocks:  4096,
}

// Demo is the whole system in one process.
type Demo struct {
	Listen string // HTTP address of the entry
	Out    io.Writer
	Log    *zap.Logger

	group     *errgroup.Group
	authority *quic.Authority
}

// Run serves until ctx ends.
func (demo *Demo) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "running the demo") }()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", demo.Listen)
	if err != nil {
		return err
	}
	if demo.authority, err = quic.NewAuthority(); err != nil {
		return err
	}
	demo.group, ctx = errgroup.WithContext(ctx)
	platformURL, vms, err := demo.startPlatform(ctx)
	if err != nil {
		return err
	}
	var list []platform.VM
	for i, place := range places {
		vm, err := demo.startTarget(ctx, i, place)
		if err != nil {
			return err
		}
		list = append(list, vm)
	}
	vms(list)
	if err = apply(ctx, platformURL); err != nil {
		return err
	}
	if err = demo.startEntry(ctx, listener, platformURL); err != nil {
		return err
	}
	if err = waitReady(ctx, "http://"+listener.Addr().String()); err != nil {
		return err
	}
	demo.announce(listener.Addr().String())
	return demo.group.Wait()
}

func (demo *Demo) announce(address string) {
	_, _ = fmt.Fprintf(demo.Out, "cowslipway demo is ready at http://%s with API key %q; try:\n", address, APIKey)
	_, _ = fmt.Fprintf(demo.Out, "  curl http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, APIKey, ServiceName)
	_, _ = fmt.Fprintf(demo.Out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, APIKey, ServiceName)
}

// serve runs an HTTP server on a free port of the loopback interface.
func (demo *Demo) serve(ctx context.Context, handler http.Handler) (address string, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	demo.group.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (demo *Demo) startPlatform(ctx context.Context) (address string, setVMs func([]platform.VM), err error) {
	server := &fakeplatform.Server{}
	address, err = demo.serve(ctx, server.Handler())
	if err != nil {
		return "", nil, err
	}
	demo.group.Go(func() error {
		server.Run(ctx)
		return nil
	})
	return address, server.SetVMs, nil
}

func (demo *Demo) startTarget(ctx context.Context, number int, place string) (vm platform.VM, err error) {
	name := fmt.Sprintf("target-%d", number+1)
	engine := &fakeengine.Server{Name: name, Model: engineModel}
	engine.Start()
	context.AfterFunc(ctx, engine.Stop)
	address, err := demo.serve(ctx, engine.Handler())
	if err != nil {
		return vm, err
	}
	daemon := &target.Daemon{Settings: settings.DefaultTarget(), Log: demo.Log.Named(name), Tracer: noop.NewTracerProvider().Tracer("")}
	if daemon.TLS, err = demo.authority.Issue(name); err != nil {
		return vm, err
	}
	if daemon.Settings.Listen, err = freeUDPAddress(ctx); err != nil {
		return vm, err
	}
	daemon.Settings.Name, daemon.Settings.Place, daemon.Settings.FailureDomain = name, place, place
	daemon.Settings.Drain.Limit = config.Duration(readyTimeout)
	model, plain := settings.DefaultEngineTarget(), settings.DefaultEngineTarget()
	model.Name, model.Service, model.Address = name+"-llm", ServiceName, address
	plain.Name, plain.Service, plain.Address, plain.Type = name+"-notices", PlainName, address, config.PlainService
	daemon.Settings.Targets = []settings.EngineTarget{model, plain}
	demo.group.Go(func() error { return daemon.Run(ctx) })
	return platform.VM{Name: name, Address: daemon.Settings.Listen, Place: place, Role: platform.TargetRole, State: platform.Live}, nil
}

func freeUDPAddress(ctx context.Context) (address string, err error) {
	connection, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = connection.Close() }()
	return connection.LocalAddr().String(), nil
}

func (demo *Demo) startEntry(ctx context.Context, listener net.Listener, platformURL string) (err error) {
	process := &entry.Entry{
		Settings: settings.DefaultEntry(),
		Log:      demo.Log.Named("entry-1"),
		Tracer:   noop.NewTracerProvider().Tracer(""),
		Listener: listener,
	}
	if process.TLS, err = demo.authority.Issue("entry-1"); err != nil {
		return err
	}
	process.Settings.Name, process.Settings.Place, process.Settings.FailureDomain = "entry-1", places[0], places[0]
	process.Settings.Platform.Store = platformURL
	process.Settings.Platform.VMList = platformURL + "/vms"
	process.Settings.Drain = settings.Drain{Limit: config.Duration(readyTimeout)}
	demo.group.Go(func() error { return process.Run(ctx) })
	return nil
}

// Configuration returns the declaration that the demo puts in force.
func Configuration() config.Configuration {
	return config.Configuration{
		Services: []config.Service{
			{Name: ServiceName, Type: config.ModelService, Places: []string{"place-a", "place-b"}},
			{Name: PlainName, Type: config.PlainService, Places: []string{"place-a", "place-b"}, Routes: []config.Route{{Prefix: "/send", Idempotent: false}}},
		},
		Accounts: []config.Account{{
			Name:              "demo",
			KeysSHA256:        []string{config.KeyDigest(APIKey)},
			Services:          []string{ServiceName, PlainName},
			Weight:            1,
			RequestsPerSecond: 1e6,
			TokensPerSecond:   1e9,
			Operator:          true,
		}},
	}
}

func apply(ctx context.Context, platformURL string) (err error) {
	store := platform.NewStore(platformURL, 0)
	_, err = operator.Apply(ctx, store, 0, Configuration(), platform.NewOperation())
	return err
}

func waitReady(ctx context.Context, address string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		question, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/readyz", nil)
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
