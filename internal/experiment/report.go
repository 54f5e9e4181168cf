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
	barWidth   = 24 // points
)

// Report runs experiments and writes their tables and plots.
type Report struct {
	Bench     *Bench
	Directory string   // where MEASUREMENTS.md and the plots are written
	Only      []string // names of experiments; empty runs all
	Progress  io.Writer
}

// Run measures and writes the report.
func (report *Report) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "measuring") }()
	if err = os.MkdirAll(report.Directory, 0o750); err != nil {
		return err
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# Measurements\n\nWritten by `make measure` on %s: one run, %d repeats of each variant, medians with the range in brackets. %d cores; load, engines and system share them.\n",
		time.Now().UTC().Format(time.DateOnly), report.Bench.Repeats, runtime.NumCPU())
	for _, experiment := range Experiments {
		if !report.wanted(experiment.Name) {
			continue
		}
		_, _ = fmt.Fprintf(report.Progress, "%s %s\n", time.Now().UTC().Format(time.TimeOnly), experiment.Name)
		table, err := experiment.Run(ctx, report.Bench)
		if err != nil {
			return errors.Annotatef(err, "experiment %q", experiment.Name)
		}
		if err = report.write(&page, experiment, table); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(report.Directory, "MEASUREMENTS.md"), []byte(page.String()), 0o600)
}

func (report *Report) wanted(name string) bool {
	for _, only := range report.Only {
		if only == name {
			return true
		}
	}
	return len(report.Only) == 0
}

func (report *Report) write(page *strings.Builder, experiment Experiment, table Table) (err error) {
	fmt.Fprintf(page, "\n## %s\n\n%s\n", experiment.Title, experiment.Text)
	if experiment.Target != "" {
		fmt.Fprintf(page, "\nTarget: %s.\n", experiment.Target)
	}
	fmt.Fprintf(page, "\n| %s |\n|%s\n", strings.Join(table.Columns, " | "), strings.Repeat("---|", len(table.Columns)))
	for _, row := range table.Rows {
		fmt.Fprintf(page, "| %s |\n", strings.Join(row, " | "))
	}
	if len(table.Bars) == 0 {
		return nil
	}
	name := experiment.Name + ".svg"
	fmt.Fprintf(page, "\n![%s](%s)\n", table.Unit, name)
	return drawBars(filepath.Join(report.Directory, name), experiment.Title, table)
}

func drawBars(file, title string, table Table) (err error) {
	defer func() { err = errors.Annotatef(err, "drawing %q", file) }()
	drawing := plot.New()
	drawing.Title.Text, drawing.Y.Label.Text, drawing.Y.Min = title, table.Unit, 0
	values := make(plotter.Values, len(table.Bars))
	labels := make([]string, len(table.Bars))
	for i, bar := range table.Bars {
		values[i], labels[i] = bar.Value, bar.Label
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	drawing.Add(bars)
	drawing.NominalX(labels...)
	return drawing.Save(plotWidth, plotHeight, file)
}
