package cli

import (
	"context"

	"github.com/jessevdk/go-flags"
)

// command is one line of the registry from which the command line and its help are made.
type command struct {
	name  string
	short string
	long  string
	make  func(ctx context.Context, cli *CLI) flags.Commander
}

var commands = []command{
	{
		name:  "entry",
		short: "Run the process of an entry VM",
		long:  "Serves callers and operators over HTTP and sends their requests to targets. SIGTERM stops it gracefully, a second one at once.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &entryCommand{process: process{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "target",
		short: "Run the process beside the targets of a VM",
		long:  "Is the only way to the engines and plain services named in its settings. SIGTERM stops it gracefully, a second one at once.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &targetCommand{process: process{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "demo",
		short: "Run the whole path in one process, with stand-ins for engines and platform",
		long:  "Needs no settings and no network beyond loopback. Prints the address, the API key and commands to try.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &demoCommand{process: process{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "validate",
		short: "Check a declaration without a server",
		long:  "Reads every *.json file below a directory as one declaration and reports all mistakes at once.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &validateCommand{process: process{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "keys",
		short: "Make an authority and key files for TLS between processes",
		long:  "Writes DIR/NAME.crt, DIR/NAME.key and DIR/authority.crt for each name. The authority's own key is not kept.",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &keysCommand{process: process{ctx: ctx, cli: cli}}
		},
	},
	{
		name:  "version",
		short: "Print the version of the program",
		make: func(ctx context.Context, cli *CLI) flags.Commander {
			return &versionCommand{process: process{ctx: ctx, cli: cli}}
		},
	},
}
