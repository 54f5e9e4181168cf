package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecorded       = int64(10 * time.Minute)
	significantDigits = 3
)

// Outcome is how one request ended, as its caller saw it.
type Outcome uint8

// The outcomes.
const (
	Done Outcome = iota
	Refused
	Failed
)

type sample struct {
	due        time.Duration // since the beginning of the run
	outcome    Outcome
	latency    time.Duration
	firstToken time.Duration
	gaps       []time.Duration
	target     string
}

// Result sums up the requests of one class that were due after the warm-up.
type Result struct {
	Class      string
	Offered    int
	Done       int
	Refused    int
	Failed     int
	Targets    map[string]int // answers from each
	FirstToken *hdrhistogram.Histogram
	TokenGap   *hdrhistogram.Histogram
	Latency    *hdrhistogram.Histogram
	Seconds    []Second // by due time, the warm-up included

	mutex    sync.Mutex
	warmup   time.Duration
	duration time.Duration
}

// Second sums up the requests that were due in one second.
type Second struct {
	Offered int
	Done    int
	Slowest time.Duration // to the first token
}

func newResult(class string, warmup, duration time.Duration) *Result {
	return &Result{
		Class:      class,
		Targets:    map[string]int{},
		FirstToken: hdrhistogram.New(1, maxRecorded, significantDigits),
		TokenGap:   hdrhistogram.New(1, maxRecorded, significantDigits),
		Latency:    hdrhistogram.New(1, maxRecorded, significantDigits),
		Seconds:    make([]Second, int((warmup+duration)/time.Second)+1),
		warmup:     warmup,
		duration:   duration,
	}
}

func (result *Result) add(sample sample) {
	result.mutex.Lock()
	defer result.mutex.Unlock()
	second := &result.Seconds[min(int(sample.due/time.Second), len(result.Seconds)-1)]
	second.Offered++
	if sample.outcome == Done {
		second.Done++
		second.Slowest = max(second.Slowest, sample.firstToken)
	}
	if sample.due < result.warmup {
		return
	}
	result.Offered++
	switch sample.outcome {
	case Refused:
		result.Refused++
		return
	case Failed:
		result.Failed++
		return
	case Done:
		result.Done++
	}
	result.Targets[sample.target]++
	record(result.Latency, sample.latency)
	record(result.FirstToken, sample.firstToken)
	for _, gap := range sample.gaps {
		record(result.TokenGap, gap)
	}
}

// record counts a value above the range as the largest one.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(int64(value), maxRecorded))
}

// Quantile returns the value of histogram at percent.
func Quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent))
}

// Summary is a result as it stands in a report.
type Summary struct {
	Class      string        `json:"class"`
	Offered    int           `json:"offered"`
	Done       int           `json:"done"`
	Refused    int           `json:"refused"`
	Failed     int           `json:"failed"`
	PerSecond  float64       `json:"done_per_second"`
	FirstToken Distribution  `json:"first_token"`
	TokenGap   Distribution  `json:"token_gap"`
	Latency    Distribution  `json:"latency"`
	Duration   time.Duration `json:"duration"` // nanoseconds
}

// Distribution is a latency at the usual quantiles, in nanoseconds.
type Distribution struct {
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p99_9"`
}

func distribution(histogram *hdrhistogram.Histogram) Distribution {
	return Distribution{P50: Quantile(histogram, 50), P99: Quantile(histogram, 99), P999: Quantile(histogram, 99.9)}
}

// Summary returns what a report says of result.
func (result *Result) Summary() Summary {
	return Summary{
		Class:      result.Class,
		Offered:    result.Offered,
		Done:       result.Done,
		Refused:    result.Refused,
		Failed:     result.Failed,
		PerSecond:  float64(result.Done) / result.duration.Seconds(),
		FirstToken: distribution(result.FirstToken),
		TokenGap:   distribution(result.TokenGap),
		Latency:    distribution(result.Latency),
		Duration:   result.duration,
	}
}

// WriteText writes summary as lines for people.
func (summary Summary) WriteText(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s: %d offered, %d done (%.1f/s), %d refused, %d failed\n", summary.Class, summary.Offered, summary.Done, summary.PerSecond, summary.Refused, summary.Failed)
	for _, line := range []struct {
		name  string
		value Distribution
	}{{"first token", summary.FirstToken}, {"token gap", summary.TokenGap}, {"latency", summary.Latency}} {
		_, _ = fmt.Fprintf(out, "  %-12s p50 %v  p99 %v  p99.9 %v\n", line.name, line.value.P50, line.value.P99, line.value.P999)
	}
}
