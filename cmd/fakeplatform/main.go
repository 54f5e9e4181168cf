// Command fakeplatform runs a fake of the platform's key-value service and VM list for tests and measurements.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"cowslipway/internal/fakeplatform"
)

func main() {
	command := &fakeplatform.Command{}
	if _, err := flags.Parse(command); err != nil {
		os.Exit(2)
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
