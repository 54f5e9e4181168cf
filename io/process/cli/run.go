package cli

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
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
	"cowslipway/io/transport/quic"
)

const debugHeaderTimeout = 5 * time.Second

// process is what every command has.
type process struct {
	ctx context.Context
	cli *CLI
}

// gcPercent lets the heap, which is small, grow further between two collections: at the default they come so
// often that online token gaps suffer.
const gcPercent = 400

// equipment is what entry and target daemon run with alike.
type equipment struct {
	tls    *tls.Config
	log    *zap.Logger
	tracer trace.Tracer
	stop   func() // sends the traces that are left
}

func (process *process) equip(common settings.Process) (made equipment, err error) {
	debug.SetGCPercent(gcPercent)
	if made.tls, err = common.TLS.Load(); err != nil {
		return made, err
	}
	if made.log, err = telemetry.NewLogger(common); err != nil {
		return made, err
	}
	made.tracer, made.stop, err = telemetry.NewTracer(process.ctx, common, process.cli.Out)
	return made, err
}

type entryCommand struct {
	process

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// Execute runs the command.
func (command *entryCommand) Execute([]string) (err error) {
	read, err := settings.ReadEntry(command.Settings)
	if err != nil {
		return err
	}
	equipment, err := command.equip(read.Process)
	if err != nil {
		return err
	}
	defer equipment.stop()
	running := &entry.Entry{Settings: read, TLS: equipment.tls, Log: equipment.log, Tracer: equipment.tracer}
	return running.Run(command.ctx)
}

type targetCommand struct {
	process

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// Execute runs the command.
func (command *targetCommand) Execute([]string) (err error) {
	read, err := settings.ReadTarget(command.Settings)
	if err != nil {
		return err
	}
	equipment, err := command.equip(read.Process)
	if err != nil {
		return err
	}
	defer equipment.stop()
	running := &target.Daemon{Settings: read, TLS: equipment.tls, Log: equipment.log, Tracer: equipment.tracer}
	if err = serveDebug(command.ctx, read.DebugListen, running.Handler()); err != nil {
		return err
	}
	return running.Run(command.ctx)
}

func serveDebug(ctx context.Context, address string, handler http.Handler) (err error) {
	if address == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Annotate(err, "listening for metrics and health")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: debugHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}

type demoCommand struct {
	process

	Listen  string `long:"listen" default:"127.0.0.1:8400" value-name:"ADDRESS" description:"HTTP address of the entry"`
	Verbose bool   `long:"verbose" description:"write the processes' logs to standard error"`
}

// Execute runs the command.
func (command *demoCommand) Execute([]string) (err error) {
	log := zap.NewNop()
	if command.Verbose {
		if log, err = telemetry.NewLogger(settings.DefaultEntry().Process); err != nil {
			return err
		}
	}
	running := &demo.Demo{Listen: command.Listen, Out: command.cli.Out, Log: log}
	return running.Run(command.ctx)
}

type validateCommand struct {
	process

	Arguments struct {
		Directory string `positional-arg-name:"DIR" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (command *validateCommand) Execute([]string) (err error) {
	read, err := config.ReadDir(os.DirFS(command.Arguments.Directory))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.cli.Out, "valid: %d services, %d accounts, %d rules\n", len(read.Services), len(read.Accounts), len(read.Rules))
	return err
}

type keysCommand struct {
	process

	Directory string `long:"dir" required:"true" value-name:"DIR" description:"where the files are written"`
	Arguments struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

// Execute runs the command.
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

type versionCommand struct{ process }

// Execute runs the command.
func (command *versionCommand) Execute([]string) (err error) {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err = fmt.Fprintln(command.cli.Out, "cowslipway", version)
	return err
}
