package cli

import (
	"os"
	"runtime"
	"runtime/debug"

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

// memoryLimitShare is Go's soft memory limit as a share of the memory limit of the process. The rest is for memory that the Go
// runtime does not account for, such as the program and buffers outside the Go heap, and for exceeding the soft limit.
const memoryLimitShare = 0.6

// memberCommand holds the common part of the commands that run a member process.
type memberCommand struct {
	baseCommand

	Settings string `long:"settings" env:"COWSLIPWAY_CONFIG" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// prepare reads the settings, sets the limits of the Go runtime and prepares the node of a member process. servesCallers
// reports whether the process has HTTP addresses for callers. stop writes the queued log lines.
func (command *memberCommand) prepare(role fleet.Role, servesCallers bool) (memberNode *node.Node, stop func(), err error) {
	hangups := catchHangups()
	memberSettings, err := settings.ReadMember(command.Settings, servesCallers)
	if err != nil {
		return nil, nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memberSettings.MemoryMB * memoryLimitShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(memberSettings.Cores)))
	log, stop, err := telemetry.NewMemberLogger(memberSettings, role, command.cli.Out)
	if err != nil {
		return nil, nil, err
	}
	memberNode = &node.Node{Settings: memberSettings, Role: role, Records: platform.Records{}, Driver: platform.NewStoreDriver(memberSettings.StoreAddress), Engines: platform.Engines{}, Log: log}
	command.watchSettings(hangups, memberSettings, servesCallers, log)
	log.Info("started", zap.Int("pid", os.Getpid()), zap.Any("settings", memberSettings))
	return memberNode, stop, memberNode.Prepare()
}

// watchSettings reads and logs the settings at each hangup. The running process keeps its settings; changes take effect at its
// next start.
func (command *memberCommand) watchSettings(hangups <-chan os.Signal, current settings.Member, servesCallers bool, log *zap.Logger) {
	go func() {
		for range hangups {
			updated, err := settings.ReadMember(command.Settings, servesCallers)
			log.Info("settings read again", zap.Bool("changed", err == nil && updated != current), zap.Any("settings", updated), telemetry.Err(err))
		}
	}()
}

// ingressCommand is the command "ingress".
type ingressCommand struct{ memberCommand }

// Execute serves callers until a signal stops the process.
func (command *ingressCommand) Execute([]string) (err error) {
	memberNode, stop, err := command.prepare(fleet.IngressRole, true)
	if err != nil {
		return err
	}
	defer stop()
	server := &ingress.Server{Node: memberNode, Callers: platform.Callers{}, Log: memberNode.Log}
	return server.Run(command.ctx)
}

// workerCommand is the command "worker".
type workerCommand struct{ memberCommand }

// Execute runs batch jobs until a signal stops the process.
func (command *workerCommand) Execute([]string) (err error) {
	memberNode, stop, err := command.prepare(fleet.WorkerRole, false)
	if err != nil {
		return err
	}
	defer stop()
	batchWorker := &worker.Worker{Node: memberNode, Log: memberNode.Log}
	return batchWorker.Run(command.ctx)
}

// reporterCommand is the command "reporter".
type reporterCommand struct{ memberCommand }

// Execute reports the load of the engine on this VM until a signal stops the process.
func (command *reporterCommand) Execute([]string) (err error) {
	memberNode, stop, err := command.prepare(fleet.ReporterRole, false)
	if err != nil {
		return err
	}
	defer stop()
	loadReporter := &reporter.Reporter{Node: memberNode, Log: memberNode.Log}
	return loadReporter.Run(command.ctx)
}
