package runs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/request"
)

// TestHistory runs testdata/history. Attempts have short names, which stand for their IDs.
func TestHistory(t *testing.T) {
	var history *History
	ids := map[string]string{}
	id := func(name string) string {
		if ids[name] == "" {
			ids[name] = request.NewID(name)
		}
		return ids[name]
	}
	datadriven.RunTest(t, "testdata/history", func(t *testing.T, data *datadriven.TestData) string {
		var lines []string
		if data.Cmd == "history" {
			var size int
			data.ScanArgs(t, "size", &size)
			history = &History{MaxRuns: size, MaxTombstones: 2}
			clear(ids)
			return ""
		}
		for _, name := range strings.Fields(data.Input) {
			var ok bool
			switch data.Cmd {
			case "begin":
				ok = history.Begin(Run{AttemptID: id(name), RequestID: "r-" + name, Idempotent: data.HasArg("idempotent"), Started: time.Now()})
			case "start":
				ok = history.Start(id(name))
			case "end":
				outcome := request.Outcome{Disposition: request.Done}
				if data.HasArg("not_run") {
					outcome.Disposition = request.NotRun
				}
				history.End(id(name), outcome, time.Now())
				ok = true
			case "fence":
				ok = history.Fence(id(name))
			case "runs":
				for _, run := range history.RunsOf("r-" + name) {
					lines = append(lines, fmt.Sprintf("%s %s %s", name, run.State, run.Outcome.Disposition))
				}
				continue
			}
			lines = append(lines, fmt.Sprintf("%s %v", name, ok))
		}
		if len(lines) == 0 {
			return "none\n"
		}
		return strings.Join(lines, "\n") + "\n"
	})
}
