package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/operator"
)

const applyAttempts = 3 // attempts to apply a change while its outcome is unknown

// operatorCommand holds the common part of the commands that send requests to an entry.
type operatorCommand struct {
	baseCommand

	Server string `long:"server" default:"http://127.0.0.1:8400" env:"COWSLIPWAY_SERVER" value-name:"URL" description:"base URL of an entry"`
	Key    string `long:"key" env:"COWSLIPWAY_KEY" value-name:"KEY" description:"API key of an operator"`
}

// client returns a client of the entry.
func (command *operatorCommand) client() *operator.Client {
	return &operator.Client{Server: command.Server, Key: command.Key}
}

// print prints value as indented JSON.
func (command *operatorCommand) print(value any) (err error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encoding the response")
	}
	_, err = fmt.Fprintln(command.cli.Out, string(data))
	return err
}

// directoryArgument is the directory of a declaration.
type directoryArgument struct {
	Directory string `positional-arg-name:"DIR" required:"true"`
}

// applyCommand is the command "apply".
type applyCommand struct {
	operatorCommand

	Base      int64             `long:"base" default:"-1" value-name:"VERSION" description:"version that the change is based on; the version in force if omitted"`
	Arguments directoryArgument `positional-args:"true"`
}

// Execute puts a declaration in force.
func (command *applyCommand) Execute([]string) (err error) {
	declaration, err := config.ReadDir(os.DirFS(command.Arguments.Directory))
	if err != nil {
		return err
	}
	client := command.client()
	if command.Base < 0 {
		current, err := client.Configuration(command.ctx)
		if err != nil {
			return err
		}
		command.Base = current.Version
	}
	request := operator.ApplyRequest{Base: command.Base, Operation: etcd.NewOperation(), Configuration: declaration}
	var response operator.ApplyResponse
	for range applyAttempts {
		// The operation identifier makes the request idempotent, so that it can be retried after a lost response.
		if response, err = client.Apply(command.ctx, request); err == nil || !mayHaveApplied(err) {
			break
		}
	}
	switch {
	case err != nil && mayHaveApplied(err):
		return exitError{code: ExitUnknown, err: err}
	case err != nil:
		return err
	case response.Conflict:
		return exitError{code: ExitConflict, err: fmt.Errorf("version %d is in force instead of version %d, which the change is based on; nothing was changed; the other change:\n%s", response.Version, command.Base, response.Diff)}
	}
	_, err = fmt.Fprintf(command.cli.Out, "version %d is in force\n", response.Version)
	return err
}

// mayHaveApplied reports whether a change may have taken effect although the request failed with err.
func mayHaveApplied(err error) bool {
	var status *operator.StatusError
	if !errors.As(err, &status) {
		return true
	}
	return status.Disposition == "may_have_run"
}

// diffCommand is the command "diff".
type diffCommand struct {
	operatorCommand

	Arguments directoryArgument `positional-args:"true"`
}

// Execute prints what a declaration would change.
func (command *diffCommand) Execute([]string) (err error) {
	declaration, err := config.ReadDir(os.DirFS(command.Arguments.Directory))
	if err != nil {
		return err
	}
	current, err := command.client().Configuration(command.ctx)
	if err != nil {
		return err
	}
	diff := config.Diff(current, declaration).String()
	if diff == "" {
		diff = "no difference"
	}
	_, err = fmt.Fprintf(command.cli.Out, "on version %d:\n%s\n", current.Version, diff)
	return err
}

// getCommand is the command "get".
type getCommand struct{ operatorCommand }

// Execute prints the declaration in force.
func (command *getCommand) Execute([]string) (err error) {
	current, err := command.client().Configuration(command.ctx)
	if err != nil {
		return err
	}
	return command.print(current)
}

// statusCommand is the command "status".
type statusCommand struct{ operatorCommand }

// Execute prints the configuration version of each entry and target daemon.
func (command *statusCommand) Execute([]string) (err error) {
	response, err := command.client().Status(command.ctx)
	if err != nil {
		return err
	}
	return command.print(response)
}

// whereCommand is the command "where".
type whereCommand struct {
	operatorCommand

	Arguments struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute prints where a request, a batch job or an item ran and how it ended.
func (command *whereCommand) Execute([]string) (err error) {
	response, err := command.client().Locate(command.ctx, command.Arguments.ID)
	var status *operator.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return exitError{code: ExitNotFound, err: err}
	}
	if err != nil {
		return err
	}
	return command.print(response)
}

// cancelCommand is the command "cancel".
type cancelCommand struct {
	operatorCommand

	Account   string `long:"account" required:"true" value-name:"NAME" description:"client account that owns the job"`
	Arguments struct {
		Job string `positional-arg-name:"JOB" required:"true"`
	} `positional-args:"true"`
}

// Execute cancels a batch job.
func (command *cancelCommand) Execute([]string) (err error) {
	return command.client().CancelJob(command.ctx, command.Account, command.Arguments.Job)
}

// drainCommand is the command "drain".
type drainCommand struct {
	operatorCommand

	End       bool `long:"end" description:"make the daemon accept work again"`
	Arguments struct {
		Daemon string `positional-arg-name:"DAEMON" required:"true"`
	} `positional-args:"true"`
}

// Execute drains a target daemon, or ends its draining.
func (command *drainCommand) Execute([]string) (err error) {
	return command.client().Drain(command.ctx, command.Arguments.Daemon, command.End)
}

// orderCommand is the command "order".
type orderCommand struct {
	operatorCommand

	Target    string `long:"target" required:"true" value-name:"NAME"`
	Path      string `long:"path" required:"true" value-name:"PATH" description:"HTTP path on the engine, such as /v1/load_lora_adapter"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute sends an order to the engine of a target.
func (command *orderCommand) Execute([]string) (err error) {
	body, err := os.ReadFile(filepath.Clean(command.Arguments.File))
	if err != nil {
		return errors.Annotate(err, "reading the order")
	}
	response, err := command.client().SendOrder(command.ctx, command.Target, operator.OrderRequest{Path: command.Path, Body: body})
	if err != nil {
		return err
	}
	return command.print(response)
}
