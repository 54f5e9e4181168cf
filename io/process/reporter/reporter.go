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
	pollInterval   = 40 * time.Millisecond  // short against the 200 ms or so that a request can wait in the queue of an engine
	resendInterval = 320 * time.Millisecond // an unchanged load is sent again, since datagrams get lost
	pollTimeout    = 500 * time.Millisecond // enough, since the engine is on the same VM
	retryDelay     = 500 * time.Millisecond // after a poll that failed
	maxReportBytes = 64 << 10
)

// Reporter sends the load of the engine on its VM to the other members. The fields must be set before Run is called.
type Reporter struct {
	Node *node.Node
	Log  *zap.Logger
}

// Run polls and reports until ctx ends, and then deregisters the process. It fails if the settings name no engine.
func (reporter *Reporter) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "reporting an engine's load") }()
	if reporter.Node.Settings.Engine == "" {
		return errors.New("the settings name no engine for this VM")
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return reporter.Node.Run(runCtx) })
	group.Go(func() error {
		defer cancel()
		reporter.poll(ctx)
		deregisterCtx, cancel := context.WithTimeout(runCtx, reporter.Node.Settings.GracePeriod.Duration()/2)
		defer cancel()
		reporter.Node.Deregister(deregisterCtx)
		reporter.Log.Info("stopped")
		return nil
	})
	return group.Wait()
}

// poll reads the engine's load every pollInterval until ctx ends. It sends the load when it has changed and every
// resendInterval, and logs when the engine becomes reachable or unreachable.
func (reporter *Reporter) poll(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout}
	var sent port.Load
	var sentAt time.Time
	reachable := true
	for ctx.Err() == nil {
		load, err := reporter.fetchLoad(ctx, client)
		if (err == nil) != reachable {
			reachable = err == nil
			reporter.Log.Info("engine report", zap.Bool("reachable", reachable), telemetry.Err(err))
		}
		delay := pollInterval
		switch {
		case err != nil:
			delay = retryDelay
		case load != sent || time.Since(sentAt) >= resendInterval:
			sent, sentAt = load, time.Now()
			reporter.Node.SendLoadReport(load.Running, load.Waiting)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// fetchLoad reads the load report of the engine.
func (reporter *Reporter) fetchLoad(ctx context.Context, client *http.Client) (load port.Load, err error) {
	defer func() { err = errors.Annotate(err, "fetching the engine's load report") }()
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return load, err
	}
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("status %d", response.StatusCode)
	}
	report, err := engines.Report(body)
	return report.Load, err
}
