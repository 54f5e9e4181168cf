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
	attempts  expvar.Int
	admitted  expvar.Int
	done      expvar.Int
	preempted expvar.Int
	malformed expvar.Int
	resumed   expvar.Int
	cut       expvar.Int
	control   expvar.Int // bytes of reports and configuration sent
	refused   expvar.Map
}

var publishOnce sync.Once

func (metrics *metrics) init() {
	metrics.refused.Init()
	publishOnce.Do(func() {
		published := expvar.NewMap("cowslipway_target")
		published.Set("attempts", &metrics.attempts)
		published.Set("admitted", &metrics.admitted)
		published.Set("done", &metrics.done)
		published.Set("preempted", &metrics.preempted)
		published.Set("malformed_streams", &metrics.malformed)
		published.Set("resumed_streams", &metrics.resumed)
		published.Set("cut_streams", &metrics.cut)
		published.Set("control_bytes", &metrics.control)
		published.Set("refused", &metrics.refused)
	})
}

const (
	maxLatency        = int64(10 * time.Minute)
	significantDigits = 2
	controlQuantile   = 95
)

// meter gathers the latency of online work between two ticks of the control goroutine.
type meter struct {
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

func (meter *meter) record(sample time.Duration, first bool) {
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

// take returns the latency since the last call.
func (meter *meter) take() (latency gate.Latency) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if meter.tokenGap == nil {
		return latency
	}
	latency.Samples = int(meter.firstToken.TotalCount() + meter.tokenGap.TotalCount())
	if latency.Samples == 0 {
		return latency
	}
	latency.FirstToken = time.Duration(meter.firstToken.ValueAtQuantile(controlQuantile))
	latency.TokenGap = time.Duration(meter.tokenGap.ValueAtQuantile(controlQuantile))
	meter.firstToken.Reset()
	meter.tokenGap.Reset()
	return latency
}
