package node

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"cowslipway/io/port"
	"cowslipway/io/process/preview"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
	"cowslipway/io/transport/http1"
)

const metricsHeaderTimeout = 5 * time.Second // the operators' metrics collector sends a request every 5 s

// setGauges sets the functions that compute the gauges.
func (node *Node) setGauges() {
	telemetry.ViewAge.Set(func() float64 { return node.directory.age().Seconds() })
	telemetry.ConfigurationVersion.Set(func() float64 {
		if table := node.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	telemetry.LeaseAge.Set(func() float64 {
		if renewed := node.leaseRenewedAt.Load(); renewed != 0 {
			return time.Since(time.Unix(0, renewed)).Seconds()
		}
		return 0
	})
	telemetry.Engines.Set(func() float64 { return float64(node.directory.engineCount()) })
	telemetry.JobRecordBytes.Set(func() float64 {
		bytes, _, _ := node.JobRoom()
		return float64(bytes)
	})
	telemetry.Members.Set(func() float64 { return float64(len(node.directory.allMembers())) })
	telemetry.QueueLength.Set(func() float64 {
		node.placementMutex.Lock()
		defer node.placementMutex.Unlock()
		return float64(node.pool.QueueLength())
	})
	telemetry.QueueDrainTime.Set(func() float64 {
		node.placementMutex.Lock()
		defer node.placementMutex.Unlock()
		return node.pool.EstimateWait(time.Now()).Seconds()
	})
}

// countStoreCall counts a store call by its outcome and by the records that it concerns, and records its duration.
func (node *Node) countStoreCall(name, key string, took time.Duration, cause error) {
	outcome := "done"
	switch {
	case errors.Is(cause, store.ErrNotExecuted):
		outcome = "not sent"
	case errors.Is(cause, store.ErrOutcomeUnknown):
		outcome = "unknown"
	case cause != nil:
		outcome = "refused"
	}
	telemetry.StoreCalls.Add(name+" "+outcome, 1)
	telemetry.StoreCallRecords.Add(name+" "+node.recordsOf(key), 1)
	telemetry.StoreTime.Observe(name, took)
}

// recordsOf returns the name of the records that a key or prefix belongs to.
func (node *Node) recordsOf(key string) (records string) {
	switch kind, name := node.Records.Classify(key); kind {
	case port.ConfigurationRecord:
		return "configuration"
	case port.EngineRecord:
		return "engines"
	case port.RetirementRecord:
		return "retirements"
	case port.OwnRecord:
		records, _, _ = strings.Cut(name, "/")
		return cmp.Or(records, "own")
	case port.OtherRecord:
	}
	return "all"
}

// observeQueueTime records how long a request waited in the queue.
func observeQueueTime(started time.Time, outcome string) {
	telemetry.QueueTime.Observe(outcome, time.Since(started))
}

// serveMetrics serves metrics and previews of placements over HTTP until ctx ends. If it can't listen on its address, the process runs without serving
// metrics.
func (node *Node) serveMetrics(ctx context.Context) {
	address := node.Settings.MetricsListen
	if address == "" {
		return
	}
	listener, err := http1.Listen(ctx, address)
	if err != nil {
		node.Log.Error("metrics not served", telemetry.Err(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+preview.Path, node.servePreview)
	mux.HandleFunc("/", telemetry.ServeMetrics)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err = server.Serve(http1.AdmitProbes(ctx, listener)); !errors.Is(err, http.ErrServerClosed) {
		node.Log.Error("metrics not served", telemetry.Err(err))
	}
}

// engineCount returns the number of known engines.
func (directory *directory) engineCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.engines)
}
