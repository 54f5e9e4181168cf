package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLabels     = 2048            // of one metric: a label a engine of a region; what comes after counts as otherLabel
	otherLabel    = "others"        // what has no room of its own
	longestRecord = 5 * time.Minute // longer times count as that
	recordUnit    = time.Microsecond
	recordDigits  = 2 // significant; 16 kB a histogram
)

// Metric is one entry of the registry.
type Metric struct {
	Name  string
	Kind  string // counter, histogram or gauge
	Label string // what its values are kept by; empty where there is one value
	Help  string
}

// The metrics of a member process.
var (
	Requests        = newCounters("requests", "kind and outcome", "online requests that ended; refusals with their status")
	RequestTime     = newHistograms("request_seconds", "kind and outcome", "from the arrival of an online request to its end")
	FirstEventTime  = newHistograms("first_event_seconds", "kind", "from the arrival of a stream to its first event")
	QueueTime       = newHistograms("queue_seconds", "outcome", "that an online request waited for a slot")
	Attempts        = newCounters("attempts", "outcome", "online requests sent to an engine")
	EngineResults   = newCounters("engine_results", "engine and outcome", "attempts and runs of items by the engine that had them")
	Items           = newCounters("items", "verdict", "runs of batch items that ended")
	ItemTime        = newHistograms("item_seconds", "verdict", "that a run of a batch item took")
	StoreCalls      = newCounters("store_calls", "call and outcome", "calls to the store, also those made by a peer")
	StoreTime       = newHistograms("store_seconds", "call", "that a call to the store took; a watch waits for news")
	LogLines        = newCounters("log_lines", "event", "log lines by event: every decision is one")
	DroppedLogLines = newCounters("log_lines_dropped", "cause", "lines that a slow reader of the log made the process drop")

	ViewAge              = newGauge("view_age_seconds", "how old the view of the store may be")
	ConfigurationVersion = newGauge("configuration_version", "in force; 0 before the first")
	LeaseAge             = newGauge("lease_age_seconds", "since the lease was last renewed; 0 before the first")
	Engines              = newGauge("engines", "in the list")
	Members              = newGauge("members", "in the list")
	QueueLength          = newGauge("queue_length", "online requests that wait for a slot here")
	QueueDrainTime       = newGauge("queue_drain_seconds", "that the queue is expected to take")
	JobsOwned            = newGauge("jobs_owned", "batch jobs that this process runs")
)

// published holds all metrics under one name.
var published = expvar.NewMap("cowslipway_member")

var registry []Metric

func publish(metric Metric, value expvar.Var) {
	registry = append(registry, metric)
	published.Set(metric.Name, value)
}

// ServeMetrics writes the metrics as text.
func ServeMetrics(writer http.ResponseWriter, request *http.Request) {
	expvar.Handler().ServeHTTP(writer, request)
}

// Counters counts by label.
type Counters struct {
	values expvar.Map
	labels atomic.Int32
}

func newCounters(name, label, help string) *Counters {
	counters := &Counters{}
	publish(Metric{Name: name, Kind: "counter", Label: label, Help: help}, &counters.values)
	return counters
}

// Add adds count to the value under label.
func (counters *Counters) Add(label string, count int64) {
	if counters.values.Get(label) == nil && counters.labels.Add(1) > maxLabels {
		label = otherLabel
	}
	counters.values.Add(label, count)
}

// Histograms keeps the distribution of a time by label.
type Histograms struct {
	mutex  sync.Mutex
	values map[string]*hdrhistogram.Histogram
}

func newHistograms(name, label, help string) *Histograms {
	histograms := &Histograms{values: map[string]*hdrhistogram.Histogram{}}
	publish(Metric{Name: name, Kind: "histogram", Label: label, Help: help}, expvar.Func(histograms.snapshot))
	return histograms
}

// Observe records one time under label.
func (histograms *Histograms) Observe(label string, took time.Duration) {
	histograms.mutex.Lock()
	defer histograms.mutex.Unlock()
	histogram, ok := histograms.values[label]
	if !ok {
		histogram = hdrhistogram.New(1, int64(longestRecord/recordUnit), recordDigits)
		histograms.values[label] = histogram
	}
	// It takes all values of its range.
	_ = histogram.RecordValue(int64(min(max(took, 0), longestRecord) / recordUnit))
}

// Distribution is what a histogram shows; times in seconds.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func (histograms *Histograms) snapshot() any {
	histograms.mutex.Lock()
	defer histograms.mutex.Unlock()
	shown := map[string]Distribution{}
	for label, histogram := range histograms.values {
		seconds := func(value float64) float64 { return value * recordUnit.Seconds() }
		at := func(quantile float64) float64 { return seconds(float64(histogram.ValueAtQuantile(quantile))) }
		shown[label] = Distribution{
			Count: histogram.TotalCount(), Mean: seconds(histogram.Mean()),
			P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: seconds(float64(histogram.Max())),
		}
	}
	return shown
}

// Gauge is a value that is read when it is asked for.
type Gauge struct {
	read atomic.Pointer[func() float64]
}

func newGauge(name, help string) *Gauge {
	gauge := &Gauge{}
	publish(Metric{Name: name, Kind: "gauge", Help: help}, expvar.Func(func() any {
		if read := gauge.read.Load(); read != nil {
			return (*read)()
		}
		return nil
	}))
	return gauge
}

// Set says how the value is read; read is called from other goroutines.
func (gauge *Gauge) Set(read func() float64) { gauge.read.Store(&read) }

// MetricsTable returns the registry as a table in Markdown.
func MetricsTable() (table string) {
	table = "| metric | kind | by | meaning |\n|---|---|---|---|\n"
	for _, metric := range registry {
		table += fmt.Sprintf("| `%s` | %s | %s | %s |\n", metric.Name, metric.Kind, metric.Label, metric.Help)
	}
	return table
}
