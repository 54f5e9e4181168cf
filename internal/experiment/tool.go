package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/internal/load"
)

const (
	exitFailed = 1
	exitUsage  = 2
	gcPercent  = 1000
)

// Tool is the command line of the load generator.
type Tool struct {
	Out io.Writer
	Err io.Writer
}

// Run carries out the command in arguments and returns the exit code.
func (tool *Tool) Run(arguments []string) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser := flags.NewNamedParser("load", flags.HelpFlag|flags.PassDoubleDash)
	run, measure := &runCommand{ctx: ctx, tool: tool}, &measureCommand{ctx: ctx, tool: tool}
	_, err := parser.AddCommand("run", "Offer the load of a plan", "Reads a JSON plan and prints a report; with --json also as JSON.", run)
	if err == nil {
		_, err = parser.AddCommand("measure", "Measure the system beside baselines", "Starts systems in this process and writes MEASUREMENTS.md and plots.", measure)
	}
	if err == nil {
		_, err = parser.ParseArgs(arguments)
	}
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(tool.Err, err)
	var usage *flags.Error
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

type runCommand struct {
	ctx  context.Context
	tool *Tool

	Plan string `long:"plan" required:"true" value-name:"FILE" description:"JSON plan"`
	JSON string `long:"json" value-name:"FILE" description:"where the report is written as JSON"`
}

// Execute runs the command.
func (command *runCommand) Execute([]string) (err error) {
	plan, err := load.ReadPlan(command.Plan)
	if err != nil {
		return err
	}
	runner := &load.Runner{Plan: plan}
	var summaries []load.Summary
	for _, result := range runner.Run(command.ctx) {
		summary := result.Summary()
		summary.WriteText(command.tool.Out)
		summaries = append(summaries, summary)
	}
	if command.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(summaries, "", "  ")
	if err != nil {
		return errors.Annotate(err, "writing the report")
	}
	return os.WriteFile(filepath.Clean(command.JSON), data, 0o600)
}

type measureCommand struct {
	ctx  context.Context
	tool *Tool

	Directory string `long:"dir" default:"docs/measurements" value-name:"DIR" description:"where the report is written"`
	Repeats   int    `long:"repeats" default:"3"`
	Only      string `long:"only" value-name:"NAMES" description:"experiments, separated by commas; all if left out"`
}

// Execute runs the command.
func (command *measureCommand) Execute([]string) (err error) {
	// Load, engines and system share a process: the collector's work for one must not slow down the others.
	debug.SetGCPercent(gcPercent)
	report := &Report{
		Bench:     &Bench{Repeats: command.Repeats, Log: zap.NewNop()},
		Directory: command.Directory,
		Progress:  command.tool.Out,
	}
	if command.Only != "" {
		report.Only = strings.Split(command.Only, ",")
	}
	return report.Run(command.ctx)
}
