// Command load generates load according to a plan, or measures the system in comparison with baselines.
package main

import (
	"os"

	"cowslipway/internal/experiment"
)

func main() {
	tool := &experiment.Tool{Out: os.Stdout, Err: os.Stderr}
	os.Exit(tool.Run(os.Args[1:]))
}
