package target

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipway/core/coordination/gate"
)

// metrics holds the counters of a daemon. Only the first daemon of a process publishes its counters.
type metrics struct {
	attempts         expvar.Int
	admitted         expvar.Int
	done             expvar.Int
	preempted        expvar.Int
	malformedStreams expvar.Int // streams that violated the protocol
	resumedStreams   expvar.Int
	abortedAttempts  expvar.Int // attempts still in flight at the drain limit
	controlBytes     expvar.Int // bytes of reports and configurations sent
	rejected         expvar.Map // attempts that were not executed, by reason
}

// publishOnce guards against publishing the same expvar name twice, which panics.
var publishOnce sync.Once

// init prepares the counters and publishes them as cowslipway_target.
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
		published.Set("cut_streams", &metrics.abortedAttempts)
		published.Set("control_bytes", &metrics.controlBytes)
		published.Set("refused", &metrics.rejected)
	})
}

const (
	maxLatency         = int64(10 * time.Minute) // nanoseconds
	significantDigits  = 2
	reportedPercentile = 95
)

// latencyMeter measures the latency of online work between two ticks of the controller. It is safe for concurrent use.
type latencyMeter struct {
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

// record adds a sample: the time to the first token if first is set, otherwise the time between two tokens.
func (meter *latencyMeter) record(sample time.Duration, first bool) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if meter.tokenGap == nil {
		meter.firstToken = hdrhistogram.New(1, maxLatency, significantDigits)
		meter.tokenGap = hdrhistogram.New(1, maxLatency, significantDigits)
	}
	// Limits samples to maxLatency, since the histograms reject larger values.
	if first {
		_ = meter.firstToken.RecordValue(min(int64(sample), maxLatency))
		return
	}
	_ = meter.tokenGap.RecordValue(min(int64(sample), maxLatency))
}

// collect returns the 95th percentiles of the latency since the last call and discards the samples.
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
