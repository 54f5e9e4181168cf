package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"cowslipway/core/state/fleet"
	"cowslipway/io/process/ingress"
	"cowslipway/io/process/node"
	"cowslipway/io/process/reporter"
	"cowslipway/io/process/settings"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/process/worker"
	"cowslipway/platform"
)

// memoryShare of what the process may use is left to the heap: the rest is stacks, buffers and the program.
const memoryShare = 0.6

type memberCommand struct {
	process

	Settings string `long:"settings" env:"COWSLIPWAY_CONFIG" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// prepare builds the node of a member process; stop writes out what is left of its log.
func (command *memberCommand) prepare(role fleet.Role, callers bool) (made *node.Node, stop func(), err error) {
	read, err := settings.ReadMember(command.Settings, callers)
	if err != nil {
		return nil, nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(read.MemoryMB * memoryShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(read.Cores)))
	log, stop, err := telemetry.NewMemberLogger(read, role, command.cli.Out)
	if err != nil {
		return nil, nil, err
	}
	made = &node.Node{Settings: read, Role: role, Records: platform.Records{}, Driver: platform.NewStoreDriver(read.StoreAddress), Engines: platform.Engines{}, Log: log}
	command.watchSettings(read, callers, log)
	log.Info("started", zap.Int("pid", os.Getpid()), zap.Any("settings", read))
	return made, stop, made.Prepare()
}

// watchSettings reads the settings again at each SIGHUP. What a running process can't change takes effect at its next
// start, and is said so.
func (command *memberCommand) watchSettings(current settings.Member, callers bool, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	context.AfterFunc(command.ctx, func() { signal.Stop(hangups) })
	go func() {
		for range hangups {
			read, err := settings.ReadMember(command.Settings, callers)
			log.Info("settings read again", zap.Bool("changed", err == nil && read != current), zap.Any("settings", read), telemetry.Err(err))
		}
	}()
}

type ingressCommand struct{ memberCommand }

// Execute runs the command.
func (command *ingressCommand) Execute([]string) (err error) {
	node, stop, err := command.prepare(fleet.IngressRole, true)
	if err != nil {
		return err
	}
	defer stop()
	server := &ingress.Server{Node: node, Callers: platform.Callers{}, Log: node.Log}
	return server.Run(command.ctx)
}

type workerCommand struct{ memberCommand }

// Execute runs the command.
func (command *workerCommand) Execute([]string) (err error) {
	node, stop, err := command.prepare(fleet.WorkerRole, false)
	if err != nil {
		return err
	}
	defer stop()
	worker := &worker.Worker{Node: node, Log: node.Log}
	return worker.Run(command.ctx)
}

type reporterCommand struct{ memberCommand }

// Execute runs the command.
func (command *reporterCommand) Execute([]string) (err error) {
	node, stop, err := command.prepare(fleet.ReporterRole, false)
	if err != nil {
		return err
	}
	defer stop()
	reporter := &reporter.Reporter{Node: node, Log: node.Log}
	return reporter.Run(command.ctx)
}
