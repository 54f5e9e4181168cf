package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedNanoseconds is the upper end of the histograms' range.
	maxRecordedNanoseconds = int64(10 * time.Minute)
	significantDigits      = 3
)

// Outcome classifies how a request ended, as seen by its caller.
type Outcome uint8

// The outcomes of a request.
const (
	Done     Outcome = iota // complete response with status 200
	Rejected                // error response whose disposition is not_run: the request was not executed
	Failed                  // any other error, or a response that was cut short
)

// requestSample holds the measurements of one request. Latencies count from the scheduled time.
type requestSample struct {
	scheduled  time.Duration // since the start of the run
	outcome    Outcome
	latency    time.Duration   // to the end of the response
	firstToken time.Duration   // to the first event of a stream; the latency of a response that is not streamed
	gaps       []time.Duration // between consecutive events of a stream
	target     string          // name of the target that responded, from the header caller.TargetHeader
}

// Result aggregates the requests of one class that were scheduled after the warm-up.
// The histograms hold nanoseconds and cover the requests that ended as Done.
type Result struct {
	Class             string
	Offered           int // requests sent, whatever their outcome
	Done              int
	Rejected          int
	Failed            int
	ResponsesByTarget map[string]int // complete responses by target name
	FirstToken        *hdrhistogram.Histogram
	TokenGap          *hdrhistogram.Histogram
	Latency           *hdrhistogram.Histogram
	Seconds           []SecondStats // indexed by scheduled second since the start of the run, warm-up included

	mutex    sync.Mutex
	warmup   time.Duration
	duration time.Duration
}

// SecondStats aggregates the requests that were scheduled within one second of the run.
type SecondStats struct {
	Offered           int // requests sent, whatever their outcome
	Done              int
	SlowestFirstToken time.Duration // longest time to the first token of the requests that ended as Done
}

func newResult(class string, warmup, duration time.Duration) *Result {
	return &Result{
		Class:             class,
		ResponsesByTarget: map[string]int{},
		FirstToken:        hdrhistogram.New(1, maxRecordedNanoseconds, significantDigits),
		TokenGap:          hdrhistogram.New(1, maxRecordedNanoseconds, significantDigits),
		Latency:           hdrhistogram.New(1, maxRecordedNanoseconds, significantDigits),
		Seconds:           make([]SecondStats, int((warmup+duration)/time.Second)+1),
		warmup:            warmup,
		duration:          duration,
	}
}

// add counts a request. Requests scheduled during the warm-up count in Seconds only.
func (result *Result) add(sample requestSample) {
	result.mutex.Lock()
	defer result.mutex.Unlock()
	second := &result.Seconds[min(int(sample.scheduled/time.Second), len(result.Seconds)-1)]
	second.Offered++
	if sample.outcome == Done {
		second.Done++
		second.SlowestFirstToken = max(second.SlowestFirstToken, sample.firstToken)
	}
	if sample.scheduled < result.warmup {
		return
	}
	result.Offered++
	switch sample.outcome {
	case Rejected:
		result.Rejected++
		return
	case Failed:
		result.Failed++
		return
	case Done:
		result.Done++
	}
	result.ResponsesByTarget[sample.target]++
	recordClamped(result.Latency, sample.latency)
	recordClamped(result.FirstToken, sample.firstToken)
	for _, gap := range sample.gaps {
		recordClamped(result.TokenGap, gap)
	}
}

// recordClamped records value in histogram. A value above maxRecordedNanoseconds is recorded as that maximum.
func recordClamped(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(int64(value), maxRecordedNanoseconds))
}

// Percentile returns the value of histogram at percent, which is 0 to 100.
func Percentile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent))
}

// Summary holds the figures of a Result that are written to a report.
type Summary struct {
	Class         string        `json:"class"`
	Offered       int           `json:"offered"`
	Done          int           `json:"done"`
	Rejected      int           `json:"refused"`
	Failed        int           `json:"failed"`
	DonePerSecond float64       `json:"done_per_second"`
	FirstToken    Percentiles   `json:"first_token"`
	TokenGap      Percentiles   `json:"token_gap"`
	Latency       Percentiles   `json:"latency"`
	Duration      time.Duration `json:"duration"` // measured time without the warm-up, in nanoseconds in JSON
}

// Percentiles holds the 50th, 99th and 99.9th percentile of a latency, in nanoseconds in JSON.
type Percentiles struct {
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p99_9"`
}

func percentilesOf(histogram *hdrhistogram.Histogram) Percentiles {
	return Percentiles{P50: Percentile(histogram, 50), P99: Percentile(histogram, 99), P999: Percentile(histogram, 99.9)}
}

// Summary returns the figures of result for a report.
func (result *Result) Summary() Summary {
	return Summary{
		Class:         result.Class,
		Offered:       result.Offered,
		Done:          result.Done,
		Rejected:      result.Rejected,
		Failed:        result.Failed,
		DonePerSecond: float64(result.Done) / result.duration.Seconds(),
		FirstToken:    percentilesOf(result.FirstToken),
		TokenGap:      percentilesOf(result.TokenGap),
		Latency:       percentilesOf(result.Latency),
		Duration:      result.duration,
	}
}

// WriteText writes summary to out as human-readable text.
func (summary Summary) WriteText(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s: %d offered, %d done (%.1f/s), %d refused, %d failed\n", summary.Class, summary.Offered, summary.Done, summary.DonePerSecond, summary.Rejected, summary.Failed)
	for _, line := range []struct {
		name  string
		value Percentiles
	}{{"first token", summary.FirstToken}, {"token gap", summary.TokenGap}, {"latency", summary.Latency}} {
		_, _ = fmt.Fprintf(out, "  %-12s p50 %v  p99 %v  p99.9 %v\n", line.name, line.value.P50, line.value.P99, line.value.P999)
	}
}
