package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const metricsHeaderTimeout = 5 * time.Second // of a question by the operators' collector, which asks every 5 s

// measure says how the gauges are read.
func (node *Node) measure() {
	telemetry.ViewAge.Set(func() float64 { return node.directory.age().Seconds() })
	telemetry.Configuration.Set(func() float64 {
		if table := node.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	telemetry.LeaseAge.Set(func() float64 {
		if renewed := node.renewed.Load(); renewed != 0 {
			return time.Since(time.Unix(0, renewed)).Seconds()
		}
		return 0
	})
	telemetry.EnginesKnown.Set(func() float64 { return float64(node.directory.engineCount()) })
	telemetry.Members.Set(func() float64 { return float64(len(node.directory.all())) })
	telemetry.QueueLength.Set(func() float64 {
		node.placing.Lock()
		defer node.placing.Unlock()
		return float64(node.pool.QueueLength())
	})
	telemetry.Drain.Set(func() float64 {
		node.placing.Lock()
		defer node.placing.Unlock()
		return node.pool.EstimateWait(time.Now()).Seconds()
	})
}

// storeCalled counts a call to the store.
func storeCalled(name string, took time.Duration, cause error) {
	outcome := "done"
	switch {
	case errors.Is(cause, store.ErrNotSent):
		outcome = "not sent"
	case errors.Is(cause, store.ErrUnknown):
		outcome = "unknown"
	case cause != nil:
		outcome = "refused"
	}
	telemetry.StoreCalls.Add(name+" "+outcome, 1)
	telemetry.StoreTime.Observe(name, took)
}

// queued counts what a request waited for its slot.
func queued(began time.Time, outcome string) {
	telemetry.QueueTime.Observe(outcome, time.Since(began))
}

// serveMetrics serves operators until ctx ends. A process whose address is taken serves callers without it.
func (node *Node) serveMetrics(ctx context.Context) {
	address := node.Settings.MetricsListen
	if address == "" {
		return
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		node.Log.Error("metrics not served", telemetry.Err(err))
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(telemetry.ServeMetrics), ReadHeaderTimeout: metricsHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		node.Log.Error("metrics not served", telemetry.Err(err))
	}
}

// engineCount returns how many engines are in the list.
func (directory *directory) engineCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.engines)
}
