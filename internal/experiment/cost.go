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

func cost(_ context.Context, _ *Bench) (table Table, err error) {
	table = Table{Columns: []string{"decision", "size", "ns", "allocations", "decisions/s"}}
	for _, targets := range []int{10, 100, 1000} {
		table.Rows = append(table.Rows, costRow("choice of a target with affinity", fmt.Sprintf("%d targets", targets), choiceCost(targets)))
	}
	for _, accounts := range []int{100, 1000, 17000} {
		size := fmt.Sprintf("%d accounts", accounts)
		table.Rows = append(table.Rows,
			costRow("fair queue, push and pop", size, fairCost(accounts)),
			costRow("gate, arrive and finish", size, gateCost(accounts)),
			costRow("account limits", size, limitCost(accounts)))
	}
	return table, nil
}

func costRow(decision, size string, run func(b *testing.B)) []string {
	result := testing.Benchmark(run)
	perSecond := float64(time.Second) / float64(max(result.NsPerOp(), 1))
	return []string{decision, size, fmt.Sprint(result.NsPerOp()), fmt.Sprint(result.AllocsPerOp()), fmt.Sprintf("%.2g", perSecond)}
}

func choiceCost(targets int) func(b *testing.B) {
	candidates := make([]routing.Candidate, targets)
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

func names(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("account-%d", i))
	}
	return names
}

func fairCost(accounts int) func(b *testing.B) {
	accountNames := names(accounts)
	return func(b *testing.B) {
		queue := &fairqueue.Queue[int]{}
		for i, name := range accountNames {
			_ = queue.Push(name, 1, 100, i)
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			_, _ = queue.Pop()
			_ = queue.Push(accountNames[i%accounts], 1, 100, i)
		}
	}
}

func gateCost(accounts int) func(b *testing.B) {
	accountNames := names(accounts)
	return func(b *testing.B) {
		now := time.Unix(1000, 0)
		ordered := &gate.Gate{Slots: gate.SlotLimit{Min: 1, Start: 64, Max: 64}}
		ordered.ReportLoad(now, 0, 0)
		arrive := func(i int) {
			ordered.Submit(now, gate.Work{ID: fmt.Sprint(i), Account: accountNames[i%accounts], EstimatedTokens: 100, Weight: 1, Deadline: now.Add(time.Hour)})
		}
		for i := range accounts {
			arrive(i)
		}
		running := make([]string, 0, 64)
		for i := range 64 {
			running = append(running, fmt.Sprint(i))
		}
		b.ReportAllocs()
		for i := accounts; b.Loop(); i++ {
			first := running[0]
			running = running[1:]
			for _, action := range ordered.Finish(now, first, 100) {
				running = append(running, action.ID)
			}
			arrive(i)
		}
	}
}

func limitCost(accounts int) func(b *testing.B) {
	all := make([]config.Account, accounts)
	for i, name := range names(accounts) {
		all[i] = config.Account{Name: name, RequestsPerSecond: 1e6, TokensPerSecond: 1e9}
	}
	return func(b *testing.B) {
		limiter := &ratelimit.Limiter{MaxAccounts: accounts}
		now := time.Unix(1000, 0)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			limiter.Allow(now, all[i%accounts], 100)
			if i%accounts == 0 {
				now = now.Add(time.Millisecond)
			}
		}
	}
}
