package target

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipway/core/coordination/gate"
)

// metrics counts what a daemon does; the counters are published once a process.
type metrics struct {
	attempts         expvar.Int
	admitted         expvar.Int
	done             expvar.Int
	preempted        expvar.Int
	malformedStreams expvar.Int
	resumedStreams   expvar.Int
	cutStreams       expvar.Int
	controlBytes     expvar.Int // bytes of reports and configuration sent
	rejected         expvar.Map
}

var publishOnce sync.Once

func (metrics *metrics) init() {
	metrics.rejected.Init()
	publishOnce.Do(func() {
		published := expvar.NewMap("cowslipway_target")
		published.Set("attempts", &metrics.attempts)
		published.Set("admitted", &metrics.admitted)
		published.Set("done", &metrics.done)
		published.Set("preempted", &metrics.preempted)
		published.Set("malformed_streams", &metrics.malformedStreams)
		published.Set("resumed_streams", &metrics.resumedStreams)
		published.Set("cut_streams", &metrics.cutStreams)
		published.Set("control_bytes", &metrics.controlBytes)
		published.Set("refused", &metrics.rejected)
	})
}

const (
	maxLatency         = int64(10 * time.Minute)
	significantDigits  = 2
	reportedPercentile = 95
)

// latencyMeter gathers the latency of online work between two ticks of the control goroutine.
type latencyMeter struct {
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

func (meter *latencyMeter) record(sample time.Duration, first bool) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if meter.tokenGap == nil {
		meter.firstToken = hdrhistogram.New(1, maxLatency, significantDigits)
		meter.tokenGap = hdrhistogram.New(1, maxLatency, significantDigits)
	}
	// A sample above the range counts as the largest value.
	if first {
		_ = meter.firstToken.RecordValue(min(int64(sample), maxLatency))
		return
	}
	_ = meter.tokenGap.RecordValue(min(int64(sample), maxLatency))
}

// collect returns the latency since the last call.
func (meter *latencyMeter) collect() (latency gate.Latency) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if meter.tokenGap == nil {
		return latency
	}
	latency.Samples = int(meter.firstToken.TotalCount() + meter.tokenGap.TotalCount())
	if latency.Samples == 0 {
		return latency
	}
	latency.FirstToken = time.Duration(meter.firstToken.ValueAtQuantile(reportedPercentile))
	latency.TokenGap = time.Duration(meter.tokenGap.ValueAtQuantile(reportedPercentile))
	meter.firstToken.Reset()
	meter.tokenGap.Reset()
	return latency
}
