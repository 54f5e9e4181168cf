package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipway/core/coordination/fairqueue"
	"cowslipway/core/coordination/gate"
	"cowslipway/core/coordination/ratelimit"
	"cowslipway/core/coordination/routing"
	"cowslipway/core/state/config"
)

// measureDecisionCosts benchmarks the decisions that are made for each request, without any network.
func measureDecisionCosts(_ context.Context, _ *Harness) (table Table, err error) {
	table = Table{Columns: []string{"decision", "size", "ns", "allocations", "decisions/s"}}
	for _, targetCount := range []int{10, 100, 1000} {
		table.Rows = append(table.Rows, benchmarkRow("choice of a target with affinity", fmt.Sprintf("%d targets", targetCount), benchmarkRouting(targetCount)))
	}
	for _, accountCount := range []int{100, 1000, 17000} {
		size := fmt.Sprintf("%d accounts", accountCount)
		table.Rows = append(table.Rows,
			benchmarkRow("fair queue, push and pop", size, benchmarkFairQueue(accountCount)),
			benchmarkRow("gate, arrive and finish", size, benchmarkGate(accountCount)),
			benchmarkRow("account limits", size, benchmarkRateLimit(accountCount)))
	}
	return table, nil
}

// benchmarkRow runs a benchmark and returns its row of the table.
func benchmarkRow(decision, size string, run func(b *testing.B)) []string {
	result := testing.Benchmark(run)
	perSecond := float64(time.Second) / float64(max(result.NsPerOp(), 1))
	return []string{decision, size, fmt.Sprint(result.NsPerOp()), fmt.Sprint(result.AllocsPerOp()), fmt.Sprintf("%.2g", perSecond)}
}

// benchmarkRouting returns a benchmark of the choice between targetCount targets.
func benchmarkRouting(targetCount int) func(b *testing.B) {
	candidates := make([]routing.Candidate, targetCount)
	for i := range candidates {
		candidates[i] = routing.Candidate{Name: fmt.Sprintf("target-%d", i), Place: "a", Slots: 64, Reported: i % 64, Healthy: true}
	}
	random := rand.New(rand.NewPCG(1, 2))
	request := routing.Request{Places: []string{"a"}, Prefix: 7}
	return func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			routing.DefaultChooser.Choose(random, request, candidates)
		}
	}
}

// makeAccountNames returns count distinct names.
func makeAccountNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("account-%d", i))
	}
	return names
}

// benchmarkFairQueue returns a benchmark that pops one element and pushes another, with one element queued for each account.
func benchmarkFairQueue(accountCount int) func(b *testing.B) {
	accountNames := makeAccountNames(accountCount)
	return func(b *testing.B) {
		queue := &fairqueue.Queue[int]{}
		for i, name := range accountNames {
			_ = queue.Push(name, 1, 100, i)
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			_, _ = queue.Pop()
			_ = queue.Push(accountNames[i%accountCount], 1, 100, i)
		}
	}
}

// benchmarkGate returns a benchmark that finishes one request and submits another. All slots of the gate are in use
// and the other requests wait.
func benchmarkGate(accountCount int) func(b *testing.B) {
	accountNames := makeAccountNames(accountCount)
	return func(b *testing.B) {
		now := time.Unix(1000, 0)
		g := &gate.Gate{Slots: gate.SlotLimit{Min: 1, Start: 64, Max: 64}}
		g.ReportLoad(now, 0, 0)
		submit := func(i int) {
			g.Submit(now, gate.Work{ID: fmt.Sprint(i), Account: accountNames[i%accountCount], EstimatedTokens: 100, Weight: 1, Deadline: now.Add(time.Hour)})
		}
		for i := range accountCount {
			submit(i)
		}
		running := make([]string, 0, 64)
		for i := range 64 {
			running = append(running, fmt.Sprint(i))
		}
		b.ReportAllocs()
		for i := accountCount; b.Loop(); i++ {
			finished := running[0]
			running = running[1:]
			for _, action := range g.Finish(now, finished, 100) {
				running = append(running, action.ID)
			}
			submit(i)
		}
	}
}

// benchmarkRateLimit returns a benchmark of the rate limiter in which the accounts take turns.
func benchmarkRateLimit(accountCount int) func(b *testing.B) {
	accountList := make([]config.Account, accountCount)
	for i, name := range makeAccountNames(accountCount) {
		accountList[i] = config.Account{Name: name, RequestsPerSecond: 1e6, TokensPerSecond: 1e9}
	}
	return func(b *testing.B) {
		limiter := &ratelimit.Limiter{MaxAccounts: accountCount}
		now := time.Unix(1000, 0)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			limiter.Allow(now, accountList[i%accountCount], 100)
			if i%accountCount == 0 {
				now = now.Add(time.Millisecond)
			}
		}
	}
}
