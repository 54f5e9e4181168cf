package gate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/request"
)

const scriptDir = "testdata/gate"

// TestGate runs the scripts in testdata. Each command passes one or more events to a gate, or changes the time, and
// prints the actions that the gate returns.
func TestGate(t *testing.T) {
	datadriven.Walk(t, scriptDir, func(t *testing.T, path string) {
		runner := &scriptRunner{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return runner.run(t, data)
		})
	})
}

// scriptRunner runs the commands of one script.
type scriptRunner struct {
	gate *Gate // created by the last "gate" command
	now  time.Time
}

func (runner *scriptRunner) run(t *testing.T, data *datadriven.TestData) string {
	gate := runner.gate
	switch data.Cmd {
	case "gate":
		runner.gate = newGate(t, data)
		return ""
	case "submit":
		var lines []string
		for _, id := range strings.Fields(data.Input) {
			lines = append(lines, formatActions(gate.Submit(runner.now, newWork(t, data, runner.now, id)))...)
		}
		return joinLines(lines)
	case "finish":
		tokens := intArg(t, data, "tokens", 100)
		var lines []string
		for _, id := range strings.Fields(data.Input) {
			lines = append(lines, formatActions(gate.Finish(runner.now, id, int64(tokens)))...)
		}
		return joinLines(lines)
	case "report_load":
		return joinLines(formatActions(gate.ReportLoad(runner.now, intArg(t, data, "running", 0), intArg(t, data, "waiting", 0))))
	case "mark_unavailable":
		return joinLines(formatActions(gate.MarkUnavailable()))
	case "drain":
		return joinLines(formatActions(gate.Drain()))
	case "preempt_entry":
		return joinLines(formatActions(gate.PreemptEntry(stringArg(t, data, "entry", "e1"))))
	case "cancel":
		return fmt.Sprintf("queued=%v\n", gate.Cancel(stringArg(t, data, "account", "a"), stringArg(t, data, "id", "")))
	case "tick":
		latency := Latency{FirstToken: durationArg(t, data, "first_token"), TokenGap: durationArg(t, data, "token_gap"), Samples: intArg(t, data, "samples", 100)}
		var lines []string
		for range intArg(t, data, "times", 1) {
			lines = append(lines, formatActions(gate.Tick(runner.now, latency))...)
		}
		return joinLines(lines)
	case "grant":
		grant, ok := gate.Grant(runner.now, stringArg(t, data, "entry", "e1"), intArg(t, data, "backlog", 100))
		if !ok {
			return "none\n"
		}
		return fmt.Sprintf("grant %d slots=%d\n", grant.ID, grant.Slots)
	case "advance":
		runner.now = runner.now.Add(durationArg(t, data, "by"))
		return ""
	case "status":
		return fmt.Sprintf("%+v batch_limit=%d\n", gate.Status(), gate.batchLimit())
	}
	t.Fatalf("unknown command %q", data.Cmd)
	return ""
}

// newGate returns a gate that has received a load report of an idle engine, unless the command has the argument
// no_report.
func newGate(t *testing.T, data *datadriven.TestData) *Gate {
	slots := intArg(t, data, "slots", 4)
	gate := &Gate{
		Slots:         SlotLimit{Min: 1, Start: slots, Max: intArg(t, data, "max", slots)},
		BatchLimit:    BatchLimit{TokenTarget: durationArg(t, data, "token_target")},
		MaxPerAccount: intArg(t, data, "max_per_account", 0),
		MaxQueued:     intArg(t, data, "max_queued", 0),
	}
	if data.HasArg("slowdown") {
		var percent int
		data.ScanArgs(t, "slowdown", &percent)
		gate.BatchLimit.MaxSlowdown = 1 + float64(percent)/100
	}
	if !data.HasArg("no_report") {
		gate.ReportLoad(time.Unix(1000, 0), 0, 0)
	}
	return gate
}

// newWork returns work whose deadline is the command's argument deadline after now, or one hour by default.
func newWork(t *testing.T, data *datadriven.TestData, now time.Time, id string) Work {
	work := Work{
		ID:              id,
		Account:         stringArg(t, data, "account", "a"),
		Entry:           stringArg(t, data, "entry", "e1"),
		EstimatedTokens: 100,
		Weight:          float64(intArg(t, data, "weight", 1)),
		Deadline:        now.Add(time.Hour),
		Preemptible:     !data.HasArg("non_preemptible"),
		Suspect:         data.HasArg("suspect"),
		GrantID:         uint64(intArg(t, data, "grant", 0)),
	}
	if stringArg(t, data, "class", "online") == "batch" {
		work.Class = request.Batch
	}
	if remaining := durationArg(t, data, "deadline"); remaining > 0 {
		work.Deadline = now.Add(remaining)
	}
	return work
}

func intArg(t *testing.T, data *datadriven.TestData, name string, value int) int {
	if data.HasArg(name) {
		data.ScanArgs(t, name, &value)
	}
	return value
}

func stringArg(t *testing.T, data *datadriven.TestData, name, value string) string {
	if data.HasArg(name) {
		data.ScanArgs(t, name, &value)
	}
	return value
}

func durationArg(t *testing.T, data *datadriven.TestData, name string) time.Duration {
	value := stringArg(t, data, name, "0s")
	parsed, err := time.ParseDuration(value)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func formatActions(actions []Action) (lines []string) {
	for _, action := range actions {
		line := fmt.Sprintf("%s %s", action.Kind, action.ID)
		if action.Reason != request.ReasonNone {
			line += " " + string(action.Reason)
		}
		if action.RetryAfter > 0 {
			line += " retry_after=" + action.RetryAfter.String()
		}
		lines = append(lines, line)
	}
	// Gate.PreemptEntry preempts in random order, since it iterates over a map.
	if len(lines) > 1 && strings.HasPrefix(lines[0], "preempt") {
		slices.Sort(lines)
	}
	return lines
}

// joinLines returns the output of a command: one action a line, or "nothing" without actions.
func joinLines(lines []string) string {
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}
