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
	maxLabels  = 2048     // labels of one metric: enough for one per engine of a place
	otherLabel = "others" // counts the labels beyond maxLabels

	maxDuration       = 5 * time.Minute // longer durations are recorded as maxDuration
	durationUnit      = time.Microsecond
	significantDigits = 2 // of recorded durations; a histogram takes 16 kB
)

// Metric describes one metric.
type Metric struct {
	Name  string
	Kind  string // counter, histogram or gauge
	Label string // meaning of the label; empty if the metric has a single value
	Help  string // meaning of the value, shown in docs/OPERATIONS.md
}

// Metrics of a member process.
var (
	Requests         = newCounters("requests", "kind and outcome", "finished online requests; rejected calls by their status")
	RequestTime      = newHistograms("request_seconds", "kind and outcome", "time from the arrival of an online request to its end")
	FirstEventTime   = newHistograms("first_event_seconds", "kind", "time from the arrival of a streaming request to its first event")
	QueueTime        = newHistograms("queue_seconds", "outcome", "time that an online request waited in the queue")
	Attempts         = newCounters("attempts", "outcome", "attempts to serve an online request at an engine")
	BrokenOff        = newCounters("broken_off", "reason", "responses that were interrupted after part of them had been sent, by the reason why no engine went on")
	IdleTimeouts     = newCounters("idle_timeouts", "outcome", "expired idle timeouts of streams that another engine may resume")
	EngineResults    = newCounters("engine_results", "engine and outcome", "attempts to serve an online request and runs of batch items, by engine")
	QuotaDecisions   = newCounters("quota_decisions", "verdict", "decisions about batch jobs on routes whose waiting tokens are bounded")
	KeyChecks        = newCounters("key_checks", "verdict", "checks of API keys, at the arrival of a call and before each attempt")
	AccountCalls     = newCounters("account_calls", "account", "calls whose key was accepted, by client account; those beyond the first 300 accounts are summed as others")
	Items            = newCounters("items", "verdict", "finished runs of batch items")
	ItemTime         = newHistograms("item_seconds", "verdict", "duration of a run of a batch item")
	ItemStops        = newCounters("item_stops", "urgency", "batch items stopped to free their slots for online requests, by how they stood against their due time")
	EngineChecks     = newCounters("engine_checks", "result", "checks whether an engine that broke off a response has ended")
	UnframedEnds     = newCounters("unframed_ends", "outcome and evidence", "responses with neither a length nor chunks that ended with their connections, by what is known about their engines then")
	AlikeErrors      = newCounters("alike_errors", "change", "times that nearly all engines of a service began or ceased to answer with errors")
	LimitAsks        = newCounters("limit_asks", "outcome", "asks for requests that may be sent to engines that name a limit")
	Quarantines      = newCounters("quarantines", "change", "changes of quarantines of requests under which engines ended, as this process has seen or been told")
	Resumptions      = newCounters("resumptions", "outcome", "streams that callers took up again, by whether the software version that began them is known and serves")
	StreamEvidence   = newCounters("resumption_evidence", "evidence", "streams that callers took up again, by the evidence for the software version that began them")
	StoreCalls       = newCounters("store_calls", "call and outcome", "calls to the store, including those relayed through a peer")
	StoreCallRecords = newCounters("store_call_records", "call and records", "calls to the store by the records that they concern, in a transaction those of its first write")
	AccountLimitAsks = newCounters("account_limit_asks", "outcome", "asks to the owners of accounts' limits, by their responses")
	AccountLimits    = newCounters("account_limits", "account and outcome", "decisions on requests of accounts with a limit, by client account; those beyond the first 300 accounts are summed as others")
	StoreTime        = newHistograms("store_seconds", "call", "duration of a call to the store; that of a watch includes the wait for changes")
	Watches          = newCounters("watches", "outcome", "watches of the store by this process, by whether they returned all changes made before them")
	IgnoredRecords   = newCounters("ignored_records", "kind", "records of the store that were read and not used, since they do not have the form of their kind; a record counts each time that it is read")
	LogLines         = newCounters("log_lines", "event", "log lines by event; each decision writes one line")
	DroppedLogLines  = newCounters("log_lines_dropped", "cause", "log lines dropped because the reader of the log was slow")
	CallerEnds       = newCounters("caller_ends", "reason", "connections of callers that were ended before their callers closed them, or refused")
	EventTimeErrors  = newCounters("event_time_errors", "error", "segments of streams and of batch items by how far their time per event was from what was expected of the engine; where few are as expected, placement goes by wrong speeds")
	OutputErrors     = newCounters("output_errors", "error", "finished streams and batch items by how far their number of events was from the mean of their kind; lengths vary, so that few are as expected")

	ViewAge              = newGauge("view_age_seconds", "upper bound of the age of the view of the store")
	ConfigurationVersion = newGauge("configuration_version", "version of the configuration in force; 0 if there is none yet")
	LeaseAge             = newGauge("lease_age_seconds", "time since the last renewal of the lease; 0 before the first")
	Engines              = newGauge("engines", "known engines")
	Members              = newGauge("members", "registered members")
	QueueLength          = newGauge("queue_length", "online requests in the queue of this process")
	QueueDrainTime       = newGauge("queue_drain_seconds", "estimated time until the queue is empty")
	CallerBytes          = newGauge("caller_bytes", "memory that is reserved for the connections and requests of callers")
	CallerConnections    = newGauge("caller_connections", "open connections of callers")
	JobRecordBytes       = newGauge("job_record_bytes", "records of all batch jobs, which each member holds")
	ResponseBytes        = newGauge("engine_response_bytes", "memory that is reserved for what engines have sent: long events, and long outputs of items")
	JobsOwned            = newGauge("jobs_owned", "batch jobs that this process runs")
)

// published holds all metrics as one expvar variable.
var published = expvar.NewMap("cowslipway_member")

// registry lists the published metrics in the order of MetricsTable.
var registry []Metric

// publish adds a metric to the registry and exports its value.
func publish(metric Metric, value expvar.Var) {
	registry = append(registry, metric)
	published.Set(metric.Name, value)
}

// ServeMetrics serves the metrics as JSON, under the key cowslipway_member.
func ServeMetrics(writer http.ResponseWriter, request *http.Request) {
	expvar.Handler().ServeHTTP(writer, request)
}

// Counters is a set of counters, one per label.
type Counters struct {
	values expvar.Map
	labels atomic.Int32 // labels added, plus the calls of Add that were counted under otherLabel
}

// newCounters publishes a set of counters under name.
func newCounters(name, label, help string) *Counters {
	counters := &Counters{}
	publish(Metric{Name: name, Kind: "counter", Label: label, Help: help}, &counters.values)
	return counters
}

// Add adds count to the counter of label. Labels beyond the first maxLabels are counted under otherLabel.
func (counters *Counters) Add(label string, count int64) {
	if counters.values.Get(label) == nil && counters.labels.Add(1) > maxLabels {
		label = otherLabel
	}
	counters.values.Add(label, count)
}

// Histograms is a set of histograms of durations, one per label.
type Histograms struct {
	mutex  sync.Mutex
	values map[string]*hdrhistogram.Histogram // by label
}

// newHistograms publishes a set of histograms under name.
func newHistograms(name, label, help string) *Histograms {
	histograms := &Histograms{values: map[string]*hdrhistogram.Histogram{}}
	publish(Metric{Name: name, Kind: "histogram", Label: label, Help: help}, expvar.Func(histograms.snapshot))
	return histograms
}

// Observe records a duration in the histogram of label.
func (histograms *Histograms) Observe(label string, duration time.Duration) {
	histograms.mutex.Lock()
	defer histograms.mutex.Unlock()
	histogram, ok := histograms.values[label]
	if !ok {
		histogram = hdrhistogram.New(1, int64(maxDuration/durationUnit), significantDigits)
		histograms.values[label] = histogram
	}
	// RecordValue fails only for values outside of the histogram's range.
	_ = histogram.RecordValue(int64(min(max(duration, 0), maxDuration) / durationUnit))
}

// Distribution is the snapshot of a histogram; durations are in seconds.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// snapshot returns the Distribution of each label.
func (histograms *Histograms) snapshot() any {
	histograms.mutex.Lock()
	defer histograms.mutex.Unlock()
	distributions := map[string]Distribution{}
	for label, histogram := range histograms.values {
		seconds := func(value float64) float64 { return value * durationUnit.Seconds() }
		percentile := func(percent float64) float64 { return seconds(float64(histogram.ValueAtQuantile(percent))) }
		distributions[label] = Distribution{
			Count: histogram.TotalCount(), Mean: seconds(histogram.Mean()),
			P50: percentile(50), P90: percentile(90), P99: percentile(99), P999: percentile(99.9), Max: seconds(float64(histogram.Max())),
		}
	}
	return distributions
}

// Gauge is a value that a function computes when the metrics are served.
type Gauge struct {
	compute atomic.Pointer[func() float64] // nil until Set is called
}

// newGauge publishes a gauge under name. Its value is null until Set is called.
func newGauge(name, help string) *Gauge {
	gauge := &Gauge{}
	publish(Metric{Name: name, Kind: "gauge", Help: help}, expvar.Func(func() any {
		if compute := gauge.compute.Load(); compute != nil {
			return (*compute)()
		}
		return nil
	}))
	return gauge
}

// Set sets the function that computes the value. The function is called from other goroutines.
func (gauge *Gauge) Set(compute func() float64) { gauge.compute.Store(&compute) }

// MetricsTable returns the registry as a Markdown table.
func MetricsTable() (table string) {
	table = "| metric | kind | by | meaning |\n|---|---|---|---|\n"
	for _, metric := range registry {
		table += fmt.Sprintf("| `%s` | %s | %s | %s |\n", metric.Name, metric.Kind, metric.Label, metric.Help)
	}
	return table
}
