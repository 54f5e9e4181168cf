package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// TestOperatorsPageIsCurrent fails if the tables in OPERATIONS.md differ from the ones that `cowslipway registry` prints.
func TestOperatorsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, table := range map[string]string{"log lines": EventsTable(), "metrics": MetricsTable()} {
		if !strings.Contains(string(page), table) {
			t.Errorf("OPERATIONS.md lacks the table of %s that `cowslipway registry` prints", name)
		}
	}
}

// TestMetricsAreServed requests the metrics over HTTP and checks a counter, a histogram and a gauge.
func TestMetricsAreServed(t *testing.T) {
	Requests.Add("stream served", 3)
	for i := range 100 {
		RequestTime.Observe("stream served", time.Duration(i+1)*time.Millisecond)
	}
	QueueLength.Set(func() float64 { return 7 })
	recorder := httptest.NewRecorder()
	ServeMetrics(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var served struct {
		Member struct {
			Requests    map[string]int64        `json:"requests"`
			RequestTime map[string]Distribution `json:"request_seconds"`
			QueueLength float64                 `json:"queue_length"`
		} `json:"cowslipway_member"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &served); err != nil {
		t.Fatal(err)
	}
	got := served.Member
	if got.Requests["stream served"] != 3 || got.QueueLength != 7 {
		t.Errorf("served metrics %+v; want 3 requests of \"stream served\" and a queue length of 7", got)
	}
	// Histograms keep two significant digits.
	if distribution := got.RequestTime["stream served"]; distribution.Count != 100 || distribution.P50 < 0.049 || distribution.P50 > 0.051 || distribution.Max < 0.099 || distribution.Max > 0.101 {
		t.Errorf("request_seconds of \"stream served\": %+v; want 100 values from 1 ms to 100 ms", distribution)
	}
}

// TestLabelsAreBounded adds more labels than a metric keeps: those beyond maxLabels must share one counter.
func TestLabelsAreBounded(t *testing.T) {
	counters := &Counters{}
	for number := range maxLabels + 500 {
		counters.Add(strings.Repeat("x", number), 1)
	}
	if others := counters.values.Get(otherLabel).String(); others != "500" {
		t.Errorf("%s labels counted under otherLabel, want 500", others)
	}
}
