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

const applyAttempts = 3

// server is what the operators' commands have in common.
type server struct {
	process

	Server string `long:"server" default:"http://127.0.0.1:8400" env:"COWSLIPWAY_SERVER" value-name:"URL" description:"an entry"`
	Key    string `long:"key" env:"COWSLIPWAY_KEY" value-name:"KEY" description:"an operator's API key"`
}

func (server *server) client() *operator.Client {
	return &operator.Client{Server: server.Server, Key: server.Key}
}

func (server *server) print(value any) (err error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Annotate(err, "printing the answer")
	}
	_, err = fmt.Fprintln(server.cli.Out, string(data))
	return err
}

type directory struct {
	Directory string `positional-arg-name:"DIR" required:"true"`
}

type applyCommand struct {
	server

	Base      int64     `long:"base" default:"-1" value-name:"VERSION" description:"version the change was made on; the one in force if left out"`
	Arguments directory `positional-args:"true"`
}

// Execute runs the command.
func (command *applyCommand) Execute([]string) (err error) {
	wanted, err := config.ReadDir(os.DirFS(command.Arguments.Directory))
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
	request := operator.ApplyRequest{Base: command.Base, Operation: etcd.NewOperation(), Configuration: wanted}
	var answer operator.ApplyResponse
	for range applyAttempts {
		// The operation's identifier makes it safe to send the same change again after a lost answer.
		if answer, err = client.Apply(command.ctx, request); err == nil || !mayHaveApplied(err) {
			break
		}
	}
	switch {
	case err != nil && mayHaveApplied(err):
		return exitError{code: ExitUnknown, err: err}
	case err != nil:
		return err
	case answer.Conflict:
		return exitError{code: ExitConflict, err: fmt.Errorf("version %d is in force, not %d that the change was made on; nothing was changed; the other change:\n%s", answer.Version, command.Base, answer.Diff)}
	}
	_, err = fmt.Fprintf(command.cli.Out, "version %d is in force\n", answer.Version)
	return err
}

// mayHaveApplied reports whether a change may have taken effect although its answer is an error.
func mayHaveApplied(err error) bool {
	var status *operator.StatusError
	if !errors.As(err, &status) {
		return true
	}
	return status.Disposition == "may_have_run"
}

type diffCommand struct {
	server

	Arguments directory `positional-args:"true"`
}

// Execute runs the command.
func (command *diffCommand) Execute([]string) (err error) {
	wanted, err := config.ReadDir(os.DirFS(command.Arguments.Directory))
	if err != nil {
		return err
	}
	current, err := command.client().Configuration(command.ctx)
	if err != nil {
		return err
	}
	diff := config.Diff(current, wanted).String()
	if diff == "" {
		diff = "no difference"
	}
	_, err = fmt.Fprintf(command.cli.Out, "on version %d:\n%s\n", current.Version, diff)
	return err
}

type getCommand struct{ server }

// Execute runs the command.
func (command *getCommand) Execute([]string) (err error) {
	current, err := command.client().Configuration(command.ctx)
	if err != nil {
		return err
	}
	return command.print(current)
}

type statusCommand struct{ server }

// Execute runs the command.
func (command *statusCommand) Execute([]string) (err error) {
	answer, err := command.client().Status(command.ctx)
	if err != nil {
		return err
	}
	return command.print(answer)
}

type whereCommand struct {
	server

	Arguments struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (command *whereCommand) Execute([]string) (err error) {
	answer, err := command.client().Locate(command.ctx, command.Arguments.ID)
	var status *operator.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return exitError{code: ExitNotFound, err: err}
	}
	if err != nil {
		return err
	}
	return command.print(answer)
}

type cancelCommand struct {
	server

	Account   string `long:"account" required:"true" value-name:"NAME" description:"client account of the job"`
	Arguments struct {
		Job string `positional-arg-name:"JOB" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (command *cancelCommand) Execute([]string) (err error) {
	return command.client().CancelJob(command.ctx, command.Account, command.Arguments.Job)
}

type drainCommand struct {
	server

	End       bool `long:"end" description:"let the daemon take work again"`
	Arguments struct {
		Daemon string `positional-arg-name:"DAEMON" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (command *drainCommand) Execute([]string) (err error) {
	return command.client().Drain(command.ctx, command.Arguments.Daemon, command.End)
}

type orderCommand struct {
	server

	Target    string `long:"target" required:"true" value-name:"NAME"`
	Path      string `long:"path" required:"true" value-name:"PATH" description:"on the engine, such as /v1/load_lora_adapter"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (command *orderCommand) Execute([]string) (err error) {
	body, err := os.ReadFile(filepath.Clean(command.Arguments.File))
	if err != nil {
		return errors.Annotate(err, "reading the order")
	}
	answer, err := command.client().SendOrder(command.ctx, command.Target, operator.OrderRequest{Path: command.Path, Body: body})
	if err != nil {
		return err
	}
	return command.print(answer)
}
