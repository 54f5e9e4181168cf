package runs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/request"
)

func TestRecord(t *testing.T) {
	var record *History
	ids := map[string]string{}
	id := func(name string) string {
		if ids[name] == "" {
			ids[name] = request.NewID(name)
		}
		return ids[name]
	}
	datadriven.RunTest(t, "testdata/record", func(t *testing.T, data *datadriven.TestData) string {
		var lines []string
		if data.Cmd == "record" {
			var size int
			data.ScanArgs(t, "size", &size)
			record = &History{MaxRuns: size, MaxTombstones: 2}
			clear(ids)
			return ""
		}
		for _, name := range strings.Fields(data.Input) {
			var ok bool
			switch data.Cmd {
			case "begin":
				ok = record.Begin(Run{AttemptID: id(name), RequestID: "r-" + name, Idempotent: data.HasArg("idempotent"), Started: time.Now()})
			case "start":
				ok = record.Start(id(name))
			case "end":
				outcome := request.Outcome{Disposition: request.Done}
				if data.HasArg("not_run") {
					outcome.Disposition = request.NotRun
				}
				record.End(id(name), outcome, time.Now())
				ok = true
			case "fence":
				ok = record.Fence(id(name))
			case "where":
				for _, run := range record.RunsOf("r-" + name) {
					lines = append(lines, fmt.Sprintf("%s %s %s", name, run.State, run.Outcome.Disposition))
				}
				continue
			}
			lines = append(lines, fmt.Sprintf("%s %v", name, ok))
		}
		if len(lines) == 0 {
			return "unknown\n"
		}
		return strings.Join(lines, "\n") + "\n"
	})
}
