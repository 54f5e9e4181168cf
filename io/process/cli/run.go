package cli

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"cowslipway/core/state/config"
	"cowslipway/io/process/demo"
	"cowslipway/io/process/entry"
	"cowslipway/io/process/settings"
	"cowslipway/io/process/target"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/transport/http1"
	"cowslipway/io/transport/quic"
)

const debugHeaderTimeout = 5 * time.Second // to read the header of a request for metrics or health

// baseCommand holds what all commands need.
type baseCommand struct {
	ctx context.Context // ends at SIGINT or SIGTERM
	cli *CLI
}

// gcPercent makes garbage collections rarer than the default of 100: since the heap is small, they would otherwise be so
// frequent that the gaps between online tokens grow.
const gcPercent = 400

// resources holds what an entry and a target daemon both need to run.
type resources struct {
	tls    *tls.Config
	log    *zap.Logger
	tracer trace.Tracer
	stop   func() // exports the remaining spans
}

// newResources creates the resources that the common settings describe, and sets the limits of the Go runtime.
func (command *baseCommand) newResources(common settings.Process) (created resources, err error) {
	_ = catchHangups() // the settings are read at the start only
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(common.MemoryMB * memoryLimitShare * (1 << 20)))
	if created.tls, err = common.TLS.Load(); err != nil {
		return created, err
	}
	if created.log, err = telemetry.NewLogger(common); err != nil {
		return created, err
	}
	created.tracer, created.stop, err = telemetry.NewTracer(command.ctx, common, command.cli.Out)
	return created, err
}

// entryCommand is the command "entry".
type entryCommand struct {
	baseCommand

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// Execute runs an entry until a signal stops it.
func (command *entryCommand) Execute([]string) (err error) {
	entrySettings, err := settings.ReadEntry(command.Settings)
	if err != nil {
		return err
	}
	shared, err := command.newResources(entrySettings.Process)
	if err != nil {
		return err
	}
	defer shared.stop()
	server := &entry.Entry{Settings: entrySettings, TLS: shared.tls, Log: shared.log, Tracer: shared.tracer}
	return server.Run(command.ctx)
}

// targetCommand is the command "target".
type targetCommand struct {
	baseCommand

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// Execute runs a target daemon until a signal stops it.
func (command *targetCommand) Execute([]string) (err error) {
	targetSettings, err := settings.ReadTarget(command.Settings)
	if err != nil {
		return err
	}
	shared, err := command.newResources(targetSettings.Process)
	if err != nil {
		return err
	}
	defer shared.stop()
	daemon := &target.Daemon{Settings: targetSettings, TLS: shared.tls, Log: shared.log, Tracer: shared.tracer}
	if err = serveDebug(command.ctx, targetSettings.DebugListen, daemon.Handler()); err != nil {
		return err
	}
	return daemon.Run(command.ctx)
}

// serveDebug serves metrics and health over HTTP in the background. An empty address disables it.
func serveDebug(ctx context.Context, address string, handler http.Handler) (err error) {
	if address == "" {
		return nil
	}
	listener, err := http1.Listen(ctx, address)
	if err != nil {
		return errors.Annotate(err, "listening for requests for metrics and health")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: debugHeaderTimeout}
	go func() { _ = server.Serve(http1.AdmitProbes(ctx, listener)) }()
	return nil
}

// demoCommand is the command "demo".
type demoCommand struct {
	baseCommand

	Listen  string `long:"listen" default:"127.0.0.1:8400" value-name:"ADDRESS" description:"HTTP address of the entry"`
	Verbose bool   `long:"verbose" description:"write the logs of the processes to standard error"`
}

// Execute runs the demo until a signal stops it.
func (command *demoCommand) Execute([]string) (err error) {
	log := zap.NewNop()
	if command.Verbose {
		if log, err = telemetry.NewLogger(settings.DefaultEntry().Process); err != nil {
			return err
		}
	}
	system := &demo.Demo{Listen: command.Listen, Out: command.cli.Out, Log: log}
	return system.Run(command.ctx)
}

// validateCommand is the command "validate".
type validateCommand struct {
	baseCommand

	Arguments struct {
		Directory string `positional-arg-name:"DIR" required:"true"`
	} `positional-args:"true"`
}

// Execute checks the declaration in a directory.
func (command *validateCommand) Execute([]string) (err error) {
	declaration, err := config.ReadDir(os.DirFS(command.Arguments.Directory))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.cli.Out, "valid: %d services, %d accounts, %d rules\n", len(declaration.Services), len(declaration.Accounts), len(declaration.Rules))
	return err
}

// keysCommand is the command "keys".
type keysCommand struct {
	baseCommand

	Directory string `long:"dir" required:"true" value-name:"DIR" description:"directory to which the files are written"`
	Arguments struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

// Execute writes the certificate and key of each name.
func (command *keysCommand) Execute([]string) (err error) {
	authority, err := quic.NewAuthority()
	if err != nil {
		return err
	}
	for _, name := range command.Arguments.Names {
		files := quic.KeyFiles{
			Certificate: filepath.Join(command.Directory, name+".crt"),
			Key:         filepath.Join(command.Directory, name+".key"),
			Authority:   filepath.Join(command.Directory, "authority.crt"),
		}
		if err = authority.WriteFiles(name, files); err != nil {
			return err
		}
	}
	return nil
}

// versionCommand is the command "version".
type versionCommand struct{ baseCommand }

// Execute prints the version of the module from the build information.
func (command *versionCommand) Execute([]string) (err error) {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err = fmt.Fprintln(command.cli.Out, "cowslipway", version)
	return err
}
