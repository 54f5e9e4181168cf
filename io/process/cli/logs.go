package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"cowslipway/io/process/explain"
	"cowslipway/io/process/telemetry"
)

// explainCommand is the command "explain".
type explainCommand struct {
	baseCommand

	Arguments struct {
		ID    string           `positional-arg-name:"ID" description:"identifier of a request, an item or a batch job"`
		Files []flags.Filename `positional-arg-name:"FILE" required:"1" description:"log of a member; - reads standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the report about an identifier from the given logs.
func (command *explainCommand) Execute([]string) (err error) {
	var lines []explain.Line
	for _, name := range command.Arguments.Files {
		read, err := readLog(string(name))
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	report, ok := explain.Find(command.Arguments.ID, lines)
	if !ok {
		return exitError{code: ExitNotFound, err: errors.Errorf("none of the %d log lines contains %s", len(lines), command.Arguments.ID)}
	}
	return report.Write(command.cli.Out)
}

// readLog reads a log file, or standard input if name is "-".
func readLog(name string) (lines []explain.Line, err error) {
	if name == "-" {
		return explain.Read(os.Stdin)
	}
	file, err := os.Open(name) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, errors.Annotate(err, "opening the log")
	}
	defer func() { _ = file.Close() }()
	return explain.Read(file)
}

// registryCommand is the command "registry".
type registryCommand struct{ baseCommand }

// Execute prints the tables of log lines and metrics.
func (command *registryCommand) Execute([]string) (err error) {
	_, err = fmt.Fprintf(command.cli.Out, "%s\n%s", telemetry.EventsTable(), telemetry.MetricsTable())
	return err
}
