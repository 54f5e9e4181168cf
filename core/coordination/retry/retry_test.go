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

// TestPlan runs testdata/plan: plans, the retry budget and the backoff.
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "plan":
			return runPlan(data)
		case "budget":
			return countRetries(t, data)
		case "backoff":
			return backoffRange(t, data)
		}
		t.Fatalf("unknown command %q", data.Cmd)
		return ""
	})
}

// runPlan begins an attempt for each line of the input, which holds the disposition and the reason of its outcome, until
// there is no retry.
func runPlan(data *datadriven.TestData) string {
	budget := &Budget{Share: 0.1, Burst: 10}
	now := time.Unix(1000, 0)
	plan := &Plan{MaxAttempts: 3, Idempotent: data.HasArg("idempotent"), Deadline: now.Add(time.Second)}
	if data.HasArg("expired") {
		plan.Deadline = now
	}
	var lines []string
	for i, line := range strings.Split(data.Input, "\n") {
		disposition, reason, _ := strings.Cut(line, " ")
		plan.Begin(fmt.Sprintf("target-%d", i))
		retry := plan.ShouldRetry(now, request.Outcome{Disposition: dispositions[disposition], Reason: request.Reason(reason)}, budget)
		lines = append(lines, fmt.Sprintf("retry=%v", retry))
		if !retry {
			break
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// countRetries withdraws as many retries as the budget allows after each request.
func countRetries(t *testing.T, data *datadriven.TestData) string {
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

// backoffRange returns the shortest and the longest of 1000 delays.
func backoffRange(t *testing.T, data *datadriven.TestData) string {
	var attempt int
	data.ScanArgs(t, "attempt", &attempt)
	random := rand.New(rand.NewPCG(1, 2))
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		delay := Backoff(random, 100*time.Millisecond, 2*time.Second, attempt)
		shortest, longest = min(shortest, delay), max(longest, delay)
	}
	return fmt.Sprintf("from %s to %s\n", shortest.Round(100*time.Millisecond), longest.Round(100*time.Millisecond))
}
