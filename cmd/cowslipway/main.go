// Command cowslipway runs the processes that serve online and batch inference on one fleet, and the operators' commands.
package main

import (
	"os"

	"cowslipway/io/process/cli"
)

func main() {
	commandLine := &cli.CLI{Out: os.Stdout, Err: os.Stderr}
	os.Exit(commandLine.Run(os.Args[1:]))
}
