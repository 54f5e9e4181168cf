package cli

import (
	"context"

	"github.com/jessevdk/go-flags"
)

// commandSpec describes one command of the command line.
type commandSpec struct {
	name  string
	short string // one-line help
	long  string // help of the command
	make  func(ctx context.Context, cli *CLI) flags.Commander
}

// commands lists all commands.
var commands = []commandSpec{
	{
		name:  "entry",
		short: "Run an entry, the process that serves callers",
		long:  "Serves callers and operators over HTTP and sends the callers' requests to targets. SIGTERM starts a graceful shutdown; repeating it changes nothing.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &entryCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "target",
		short: "Run a target daemon, the process beside the targets of a VM",
		long:  "Admits all requests to the engines and plain services named in its settings. SIGTERM starts a graceful shutdown; repeating it changes nothing.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &targetCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "ingress",
		short: "Serve callers on a platform whose store lists the engines and the configuration",
		long:  "Sends online requests directly to engines and writes batch jobs to the store. SIGTERM starts a graceful shutdown; repeating it changes nothing. SIGHUP reads and logs the settings; changes take effect at the next start.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &ingressCommand{memberCommand: memberCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}}
		},
	},
	{
		name:  "worker",
		short: "Run batch jobs on a platform whose store lists the engines and the configuration",
		long:  "Owns batch jobs and runs their items in slots that online requests do not need. SIGTERM hands the jobs over to other workers; repeating it changes nothing. SIGHUP reads and logs the settings; changes take effect at the next start.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &workerCommand{memberCommand: memberCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}}
		},
	},
	{
		name:  "reporter",
		short: "Report the load of the engine on this VM",
		long:  "Polls the load of the engine, which causes no network traffic between VMs, and sends it to the connected members.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &reporterCommand{memberCommand: memberCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}}
		},
	},
	{
		name:  "quarantine",
		short: "Show the requests under which engines ended, or lift the quarantine of one",
		long:  "Reads the store of the platform on which ingress and worker processes run. Prints one JSON object for each request: its fingerprint as in the logs, whether it is quarantined and until when, and the engines that ended. With --lift, the request may run again; all members follow within two seconds while they reach the store.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &quarantineCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "demo",
		short: "Run the whole system in one process, with fake engines and a fake platform",
		long:  "Needs no settings and only the loopback interface. Prints its address, its API key and example commands.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &demoCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "apply",
		short: "Replace the declaration in force",
		long:  "Reads the new declaration from every *.json file below a directory. The change is atomic. If another operator changed the declaration meanwhile, prints that change, changes nothing and exits with code 4.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &applyCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "diff",
		short: "Show what a declaration would change",
		long:  "Compares the *.json files below a directory with the declaration in force.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &diffCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "get",
		short: "Print the declaration in force",
		long:  "Prints the declaration in the store, or the one that the entry uses while the store is unavailable.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &getCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "status",
		short: "Show the configuration version of each entry and target daemon",
		long:  "Prints the versions that one entry knows of.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &statusCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "where",
		short: "Show where a request, a batch job or an item ran and how it ended",
		long:  "Takes the value of a Cowslipway-Request-Id header, the identifier of a batch job, or BATCH.NUMBER for an item. Exits with code 6 if the identifier is unknown.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &whereCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "explain",
		short: "Show from logs how a request, an item or a batch job ended, and why",
		long:  "Reads the logs of several members. Prints in order the lines that contain the identifier (marked *) and those about the engines and processes involved, then the cause. Exits with code 6 if no line contains the identifier.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &explainCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "preview",
		short: "Show where a request or batch job would go now, and why, without sending it",
		long:  "Asks one ingress or worker. Prints what would happen to the request, then the engines of its service with the share of such requests that each would get, and what the choice goes by: load, items, speed, failures, and the age of each figure. Takes no slot, token or admission.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &previewCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "registry",
		short: "Print the log lines and metrics of members with their meaning",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &registryCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "cancel",
		short: "Cancel a batch job of any account",
		long:  "Results committed before the cancellation remain readable.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &cancelCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "order",
		short: "Send an order to the engine of a target",
		long:  "Reads the JSON body of the order from a file, records it under the next epoch of the target's placement and sends it with this epoch as the fencing token.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &orderCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "drain",
		short: "Make a target daemon reject new work",
		long:  "With --end, the daemon accepts work again.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &drainCommand{operatorCommand: newOperatorCommand(ctx, cli)}
		},
	},
	{
		name:  "validate",
		short: "Check a declaration without a server",
		long:  "Reads every *.json file below a directory as one declaration and reports all errors in it.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &validateCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "keys",
		short: "Create a certificate authority and key files for TLS between processes",
		long:  "Writes DIR/NAME.crt, DIR/NAME.key and DIR/authority.crt for each name. The private key of the authority is not stored.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &keysCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "version",
		short: "Print the version of the program",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &versionCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
		},
	},
}

// newOperatorCommand returns the common part of a command for operators.
func newOperatorCommand(ctx context.Context, cli *CLI) operatorCommand {
	return operatorCommand{baseCommand: baseCommand{ctx: ctx, cli: cli}}
}
