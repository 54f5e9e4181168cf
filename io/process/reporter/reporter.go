package reporter

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/io/port"
	"cowslipway/io/process/node"
	"cowslipway/io/process/telemetry"
)

const (
	askPeriod   = 40 * time.Millisecond  // a request that waits at an engine has some 200 ms
	tellPeriod  = 320 * time.Millisecond // an unchanged load is told that often, since datagrams get lost
	askTimeout  = 500 * time.Millisecond // the engine is on the same VM
	downPeriod  = 500 * time.Millisecond // between two questions to an engine that does not answer
	reportLimit = 64 << 10               // bytes of a report
)

// Reporter asks one engine.
type Reporter struct {
	Node *node.Node
	Log  *zap.Logger
}

// Run reports until ctx ends.
func (reporter *Reporter) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "reporting an engine's load") }()
	if reporter.Node.Settings.Engine == "" {
		return errors.New("the settings name no engine on this VM")
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return reporter.Node.Run(running) })
	group.Go(func() error {
		defer cancel()
		reporter.ask(ctx)
		stopping, cancel := context.WithTimeout(running, reporter.Node.Settings.GracePeriod.Duration()/2)
		defer cancel()
		reporter.Node.Deregister(stopping)
		reporter.Log.Info("stopped")
		return nil
	})
	return group.Wait()
}

// ask asks the engine time and again, and tells what has changed.
func (reporter *Reporter) ask(ctx context.Context) {
	client := &http.Client{Timeout: askTimeout}
	var told port.Load
	var toldAt time.Time
	reachable := true
	for ctx.Err() == nil {
		load, err := reporter.load(ctx, client)
		if (err == nil) != reachable {
			reachable = err == nil
			reporter.Log.Info("engine report", zap.Bool("reachable", reachable), telemetry.Err(err))
		}
		pause := askPeriod
		switch {
		case err != nil:
			pause = downPeriod
		case load != told || time.Since(toldAt) >= tellPeriod:
			told, toldAt = load, time.Now()
			reporter.Node.SendLoadReport(load.Running, load.Waiting)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (reporter *Reporter) load(ctx context.Context, client *http.Client) (load port.Load, err error) {
	defer func() { err = errors.Annotate(err, "asking the engine") }()
	engines := reporter.Node.Engines
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, engines.ReportURL(reporter.Node.Settings.Engine), nil)
	if err != nil {
		return load, err
	}
	response, err := client.Do(request)
	if err != nil {
		return load, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, reportLimit))
	if err != nil {
		return load, err
	}
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("status %d", response.StatusCode)
	}
	return engines.Report(body)
}
