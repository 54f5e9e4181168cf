// Command cowslipway serves online and batch inference on one fleet.
package main

import (
	"os"

	"cowslipway/io/process/cli"
)

func main() {
	cli := &cli.CLI{Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(os.Args[1:]))
}
