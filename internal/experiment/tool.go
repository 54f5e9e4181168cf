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
	gcPercent  = 1000 // value for debug.SetGCPercent
)

// Tool is the command-line interface of the load generator.
type Tool struct {
	Out io.Writer // reports and progress
	Err io.Writer // error messages
}

// Run executes the command that arguments name and returns the exit code: 0 for success, 1 for a failure and
// 2 for wrong usage or --help. An interrupt cancels the command.
func (tool *Tool) Run(arguments []string) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser := flags.NewNamedParser("load", flags.HelpFlag|flags.PassDoubleDash)
	run, measure := &runCommand{ctx: ctx, tool: tool}, &measureCommand{ctx: ctx, tool: tool}
	_, err := parser.AddCommand("run", "Generate the load of a plan", "Reads a JSON plan, generates its load and prints a report; --json also writes the report as JSON.", run)
	if err == nil {
		_, err = parser.AddCommand("measure", "Measure the system and its baselines", "Starts test clusters in this process and writes MEASUREMENTS.md and its plots.", measure)
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

// runCommand generates the load of a plan and reports the results.
type runCommand struct {
	ctx  context.Context
	tool *Tool

	Plan string `long:"plan" required:"true" value-name:"FILE" description:"JSON plan"`
	JSON string `long:"json" value-name:"FILE" description:"file to write the report to as JSON"`
}

// Execute generates the load of the plan, prints a summary per class and writes the JSON report if one is requested.
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

// measureCommand runs experiments and writes their report.
type measureCommand struct {
	ctx  context.Context
	tool *Tool

	Directory string `long:"dir" default:"docs/measurements" value-name:"DIR" description:"directory to write the report to"`
	Repeats   int    `long:"repeats" default:"3"`
	Only      string `long:"only" value-name:"NAMES" description:"comma-separated names of the experiments to run (default: all)"`
}

// Execute runs the selected experiments and writes the report to the directory.
func (command *measureCommand) Execute([]string) (err error) {
	// Load generator, engines and system share one process. Rare garbage collection keeps the garbage of one
	// from slowing down the others.
	debug.SetGCPercent(gcPercent)
	report := &Report{
		Harness:   &Harness{Repeats: command.Repeats, Log: zap.NewNop()},
		Directory: command.Directory,
		Progress:  command.tool.Out,
	}
	if command.Only != "" {
		report.Selected = strings.Split(command.Only, ",")
	}
	return report.Run(command.ctx)
}
