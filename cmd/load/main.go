// Command load offers load by a plan, or measures the system beside baselines.
package main

import (
	"os"

	"cowslipway/internal/experiment"
)

func main() {
	tool := &experiment.Tool{Out: os.Stdout, Err: os.Stderr}
	os.Exit(tool.Run(os.Args[1:]))
}
