package cli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/io/process/node"
	"cowslipway/io/store"
	"cowslipway/platform"
)

const operatorStoreTimeout = 5 * time.Second // of one call; an operator waits longer for a slow store than a member does

// quarantineCommand is the command "quarantine".
type quarantineCommand struct {
	baseCommand

	Store string `long:"store" env:"COWSLIPWAY_STORE" required:"true" value-name:"ADDRESS" description:"IP and port of the platform's key-value service"`
	Lift  string `long:"lift" value-name:"FINGERPRINT" description:"end the quarantine of this request"`
}

// Execute prints the requests under which engines ended, or lifts the quarantine of one.
func (command *quarantineCommand) Execute([]string) (err error) {
	admin := node.SuspicionAdmin{
		Store:   &store.Store{Driver: platform.NewStoreDriver(command.Store), Timeout: operatorStoreTimeout},
		Records: platform.Records{},
	}
	if command.Lift != "" {
		fingerprint, err := poisonpill.ParseFingerprint(command.Lift)
		if err != nil {
			return exitError{code: ExitUsage, err: err}
		}
		err = admin.Lift(command.ctx, fingerprint)
		if errors.Is(err, store.ErrOutcomeUnknown) {
			return exitError{code: ExitUnknown, err: err}
		}
		return err
	}
	suspects, err := admin.List(command.ctx)
	if err != nil {
		return err
	}
	for _, suspect := range suspects {
		line, err := json.Marshal(suspect)
		if err != nil {
			return errors.Annotate(err, "encoding a suspect")
		}
		if _, err = fmt.Fprintln(command.cli.Out, string(line)); err != nil {
			return err
		}
	}
	return nil
}
