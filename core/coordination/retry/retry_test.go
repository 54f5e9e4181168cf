package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/request"
)

var dispositions = map[string]request.Disposition{
	"not_run": request.NotRun, "failed": request.Failed, "may_have_run": request.MayHaveRun, "done": request.Done,
}

func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "plan":
			return walk(data)
		case "storm":
			return storm(t, data)
		case "backoff":
			return backoff(t, data)
		}
		t.Fatalf("unknown command %q", data.Cmd)
		return ""
	})
}

// walk goes through a plan with the outcomes given, one a line: disposition and reason.
func walk(data *datadriven.TestData) string {
	budget := &Budget{Share: 0.1, Burst: 10}
	now := time.Unix(1000, 0)
	plan := &Plan{MaxAttempts: 3, Idempotent: data.HasArg("idempotent"), Deadline: now.Add(time.Second)}
	if data.HasArg("late") {
		plan.Deadline = now
	}
	var lines []string
	for i, line := range strings.Split(data.Input, "\n") {
		disposition, reason, _ := strings.Cut(line, " ")
		plan.Begin(fmt.Sprintf("target-%d", i))
		again := plan.ShouldRetry(now, request.Outcome{Disposition: dispositions[disposition], Reason: request.Reason(reason)}, budget)
		lines = append(lines, fmt.Sprintf("again=%v", again))
		if !again {
			break
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// storm fails every first attempt and counts what is sent.
func storm(t *testing.T, data *datadriven.TestData) string {
	var requests int
	data.ScanArgs(t, "requests", &requests)
	budget := &Budget{Share: 0.1, Burst: 50}
	retries := 0
	for range requests {
		budget.Deposit()
		for budget.Withdraw() {
			retries++
		}
	}
	return fmt.Sprintf("retries: %d\n", retries)
}

func backoff(t *testing.T, data *datadriven.TestData) string {
	var attempt int
	data.ScanArgs(t, "attempt", &attempt)
	random := rand.New(rand.NewPCG(1, 2))
	least, most := time.Hour, time.Duration(0)
	for range 1000 {
		pause := Backoff(random, 100*time.Millisecond, 2*time.Second, attempt)
		least, most = min(least, pause), max(most, pause)
	}
	return fmt.Sprintf("from %s to %s\n", least.Round(100*time.Millisecond), most.Round(100*time.Millisecond))
}
