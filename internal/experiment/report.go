package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 24 // in points, 1/72 inch each
)

// Report runs experiments and writes their tables and plots.
type Report struct {
	Harness   *Harness
	Directory string    // directory of MEASUREMENTS.md and its plots
	Selected  []string  // names of experiments; empty runs all
	Progress  io.Writer // receives a line at the start of each experiment
}

// Run runs the selected experiments and writes MEASUREMENTS.md. If an experiment fails, MEASUREMENTS.md is not written.
func (report *Report) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "running the experiments") }()
	if err = os.MkdirAll(report.Directory, 0o750); err != nil {
		return err
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# Measurements\n\nWritten by `make measure` on %s: one run, %d repeats of each variant, medians with the range in brackets. %d cores; load, engines and system share them.\n",
		time.Now().UTC().Format(time.DateOnly), report.Harness.Repeats, runtime.NumCPU())
	for _, experiment := range Experiments {
		if !report.isSelected(experiment.Name) {
			continue
		}
		_, _ = fmt.Fprintf(report.Progress, "%s %s\n", time.Now().UTC().Format(time.TimeOnly), experiment.Name)
		table, err := experiment.Run(ctx, report.Harness)
		if err != nil {
			return errors.Annotatef(err, "experiment %q", experiment.Name)
		}
		if err = report.writeExperiment(&page, experiment, table); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(report.Directory, "MEASUREMENTS.md"), []byte(page.String()), 0o600)
}

// isSelected reports whether the experiment with the given name is to be run.
func (report *Report) isSelected(name string) bool {
	for _, selected := range report.Selected {
		if selected == name {
			return true
		}
	}
	return len(report.Selected) == 0
}

// writeExperiment appends an experiment's section to page and saves its plot, if it has one.
func (report *Report) writeExperiment(page *strings.Builder, experiment Experiment, table Table) (err error) {
	fmt.Fprintf(page, "\n## %s\n\n%s\n", experiment.Title, experiment.Description)
	if experiment.Requirement != "" {
		fmt.Fprintf(page, "\nTarget: %s.\n", experiment.Requirement)
	}
	fmt.Fprintf(page, "\n| %s |\n|%s\n", strings.Join(table.Columns, " | "), strings.Repeat("---|", len(table.Columns)))
	for _, row := range table.Rows {
		fmt.Fprintf(page, "| %s |\n", strings.Join(row, " | "))
	}
	if len(table.Bars) == 0 {
		return nil
	}
	name := experiment.Name + ".svg"
	fmt.Fprintf(page, "\n![%s](%s)\n", table.YLabel, name)
	return saveBarChart(filepath.Join(report.Directory, name), experiment.Title, table)
}

// saveBarChart writes the bars of table to file, whose extension selects the format.
func saveBarChart(file, title string, table Table) (err error) {
	defer func() { err = errors.Annotatef(err, "drawing %q", file) }()
	chart := plot.New()
	chart.Title.Text, chart.Y.Label.Text, chart.Y.Min = title, table.YLabel, 0
	values := make(plotter.Values, len(table.Bars))
	labels := make([]string, len(table.Bars))
	for i, bar := range table.Bars {
		values[i], labels[i] = bar.Value, bar.Label
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	chart.Add(bars)
	chart.NominalX(labels...)
	return chart.Save(plotWidth, plotHeight, file)
}
