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

const script = "testdata/gate"

// TestGate runs the scripts: each command is one event, its output the actions that follow.
func TestGate(t *testing.T) {
	datadriven.Walk(t, script, func(t *testing.T, path string) {
		runner := &runner{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return runner.run(t, data)
		})
	})
}

type runner struct {
	gate *Gate
	now  time.Time
}

func (runner *runner) run(t *testing.T, data *datadriven.TestData) string {
	gate := runner.gate
	switch data.Cmd {
	case "gate":
		runner.gate = newGate(t, data)
		return ""
	case "arrive":
		var lines []string
		for _, id := range strings.Fields(data.Input) {
			lines = append(lines, show(gate.Submit(runner.now, newWork(t, data, runner.now, id)))...)
		}
		return text(lines)
	case "finish":
		tokens := integer(t, data, "tokens", 100)
		var lines []string
		for _, id := range strings.Fields(data.Input) {
			lines = append(lines, show(gate.Finish(runner.now, id, int64(tokens)))...)
		}
		return text(lines)
	case "report":
		return text(show(gate.ReportLoad(runner.now, integer(t, data, "running", 0), integer(t, data, "waiting", 0))))
	case "suspend":
		return text(show(gate.MarkUnavailable()))
	case "drain":
		return text(show(gate.Drain()))
	case "silence":
		return text(show(gate.PreemptEntry(word(t, data, "entry", "e1"))))
	case "cancel":
		return fmt.Sprintf("queued=%v\n", gate.Cancel(word(t, data, "account", "a"), word(t, data, "id", "")))
	case "tick":
		latency := Latency{FirstToken: duration(t, data, "first"), TokenGap: duration(t, data, "gap"), Samples: integer(t, data, "samples", 100)}
		var lines []string
		for range integer(t, data, "times", 1) {
			lines = append(lines, show(gate.Tick(runner.now, latency))...)
		}
		return text(lines)
	case "grant":
		grant, ok := gate.Grant(runner.now, word(t, data, "entry", "e1"), integer(t, data, "backlog", 100))
		if !ok {
			return "none\n"
		}
		return fmt.Sprintf("grant %d slots=%d\n", grant.ID, grant.Slots)
	case "wait":
		runner.now = runner.now.Add(duration(t, data, "for"))
		return ""
	case "status":
		return fmt.Sprintf("%+v batch_limit=%d\n", gate.Status(), gate.batchLimit())
	}
	t.Fatalf("unknown command %q", data.Cmd)
	return ""
}

func newGate(t *testing.T, data *datadriven.TestData) *Gate {
	slots := integer(t, data, "slots", 4)
	gate := &Gate{
		Slots:         SlotLimit{Min: 1, Start: slots, Max: integer(t, data, "max", slots)},
		BatchLimit:    BatchLimit{TokenTarget: duration(t, data, "token_target")},
		MaxPerAccount: integer(t, data, "per_account", 0),
		MaxQueued:     integer(t, data, "queue", 0),
	}
	if data.HasArg("slowdown") {
		var percent int
		data.ScanArgs(t, "slowdown", &percent)
		gate.BatchLimit.MaxSlowdown = 1 + float64(percent)/100
	}
	if !data.HasArg("fresh") {
		gate.ReportLoad(time.Unix(1000, 0), 0, 0)
	}
	return gate
}

func newWork(t *testing.T, data *datadriven.TestData, now time.Time, id string) Work {
	work := Work{
		ID:              id,
		Account:         word(t, data, "account", "a"),
		Entry:           word(t, data, "entry", "e1"),
		EstimatedTokens: 100,
		Weight:          float64(integer(t, data, "weight", 1)),
		Deadline:        now.Add(time.Hour),
		Preemptible:     !data.HasArg("pinned"),
		Suspect:         data.HasArg("suspect"),
		GrantID:         uint64(integer(t, data, "grant", 0)),
	}
	if word(t, data, "class", "online") == "batch" {
		work.Class = request.Batch
	}
	if left := duration(t, data, "left"); left > 0 {
		work.Deadline = now.Add(left)
	}
	return work
}

func integer(t *testing.T, data *datadriven.TestData, name string, fallback int) int {
	if data.HasArg(name) {
		data.ScanArgs(t, name, &fallback)
	}
	return fallback
}

func word(t *testing.T, data *datadriven.TestData, name, fallback string) string {
	if data.HasArg(name) {
		data.ScanArgs(t, name, &fallback)
	}
	return fallback
}

func duration(t *testing.T, data *datadriven.TestData, name string) time.Duration {
	text := word(t, data, name, "0s")
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func show(actions []Action) (lines []string) {
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
	// Work of one entry is stopped in no particular order.
	if len(lines) > 1 && strings.HasPrefix(lines[0], "preempt") {
		slices.Sort(lines)
	}
	return lines
}

func text(lines []string) string {
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}
