package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"cowslipway/core/state/config"
)

// Exit codes of the commands.
const (
	ExitOK       = 0 // the command succeeded
	ExitFailed   = 1 // the command failed
	ExitUsage    = 2 // the command line is invalid
	ExitInvalid  = 3 // settings or a declaration are invalid
	ExitConflict = 4 // another operator changed the declaration meanwhile; nothing was changed
	ExitUnknown  = 5 // the change may or may not have taken effect
	ExitNotFound = 6 // the identifier is unknown
)

// CLI runs the command that its arguments name.
type CLI struct {
	Out io.Writer // output of the command
	Err io.Writer // error messages
}

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (exit exitError) Error() string { return exit.err.Error() }

// Run runs the command in arguments and returns its exit code.
func (cli *CLI) Run(arguments []string) (code int) {
	ctx, release := untilStopped(context.Background())
	defer release()
	parser := flags.NewNamedParser("cowslipway", flags.HelpFlag|flags.PassDoubleDash)
	for _, spec := range commands {
		if _, err := parser.AddCommand(spec.name, spec.short, spec.long, spec.make(ctx, cli)); err != nil {
			return cli.report(err)
		}
	}
	_, err := parser.ParseArgs(arguments)
	return cli.report(err)
}

// report prints err, or the help if err is a request for it, and returns the exit code.
func (cli *CLI) report(err error) (code int) {
	if err == nil {
		return ExitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(cli.Out, flagsErr.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(cli.Err, flagsErr.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(cli.Err, err)
	var fieldErrs config.FieldErrors
	if errors.As(err, &fieldErrs) {
		return ExitInvalid
	}
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}
