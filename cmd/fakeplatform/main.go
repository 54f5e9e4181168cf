// Command fakeplatform is a small stand-in for the platform's key-value service and its list of VMs.
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
