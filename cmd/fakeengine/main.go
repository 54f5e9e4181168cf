// Command fakeengine runs a fake model engine or plain service for tests and measurements.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"cowslipway/internal/fakeengine"
)

func main() {
	command := &fakeengine.Command{}
	if _, err := flags.Parse(command); err != nil {
		os.Exit(2)
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
