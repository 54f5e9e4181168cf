package experiment

import (
	"context"
	"time"

	"cowslipway/core/coordination/routing"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/load"
)

const (
	routingEngines = 8
	routingRate    = 120 // requests per second
)

// routingEngine describes an engine whose prefix cache holds only some of the prefixes in use.
var routingEngine = fakeengine.Performance{
	Base:            10 * time.Millisecond,
	PerSequence:     100 * time.Microsecond,
	PerPrefillToken: 20 * time.Microsecond,
	MaxSequences:    32,
	CacheBlocks:     12 * 64, // 12 prefixes of 4096 bytes in blocks of 64 bytes
}

// routingVariant is a policy for choosing targets; chooser returns a copy of a Chooser that follows the policy.
type routingVariant struct {
	label   string
	chooser func(routing.Chooser) routing.Chooser
}

// routingPolicy returns a function that sets the number of candidates to sample, 0 for all, and whether to prefer
// the target that received earlier requests with the same prompt prefix.
func routingPolicy(candidateCount int, affinity bool) func(routing.Chooser) routing.Chooser {
	return func(chooser routing.Chooser) routing.Chooser {
		chooser.Samples, chooser.Affinity = candidateCount, affinity
		return chooser
	}
}

var routingVariants = []routingVariant{
	{"random", routingPolicy(1, false)},
	{"least loaded of all", routingPolicy(0, false)},
	{"two choices", routingPolicy(2, false)},
	{"three choices", routingPolicy(3, false)},
	{"two choices with affinity", routingPolicy(2, true)},
}

var routingColumns = []string{"way", "cache hits", "first token p50/p99/p99.9 ms", "balance", "refused", "failed"}

// measureRouting compares the policies for choosing targets with load reports that do not lag.
func measureRouting(ctx context.Context, harness *Harness) (table Table, err error) {
	table = Table{Columns: routingColumns, YLabel: "p99 to the first token, ms"}
	for _, variant := range routingVariants {
		figures := newVariantResult(variant.label)
		for repeat := range harness.Repeats {
			if err = harness.runRouting(ctx, repeat, variant.chooser(routing.DefaultChooser), 0, figures); err != nil {
				return table, err
			}
		}
		table.Rows = append(table.Rows, routingRow(figures))
		table.Bars = append(table.Bars, Bar{variant.label, figures.figure("first 99").median()})
	}
	return table, nil
}

// measureReportLag measures the default policy for choosing targets with load reports that lag by a fixed time.
func measureReportLag(ctx context.Context, harness *Harness) (table Table, err error) {
	table = Table{Columns: routingColumns}
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		figures := newVariantResult("reports " + lag.String() + " old")
		for repeat := range harness.Repeats {
			if err = harness.runRouting(ctx, repeat, routing.DefaultChooser, lag, figures); err != nil {
				return table, err
			}
		}
		table.Rows = append(table.Rows, routingRow(figures))
	}
	return table, nil
}

// routingRow returns the row of a variant, in the order of routingColumns.
func routingRow(figures *variantResult) []string {
	return []string{figures.label, figures.figure("hits").formatRange("%.0f%%"), formatPercentiles(figures, "first"), figures.figure("balance").formatRange("%.2f"),
		figures.figure("refused").formatRange("%.0f"), figures.figure("failed").formatRange("%.0f")}
}

// runRouting measures one repeat of a policy for choosing targets and adds the results to figures.
func (harness *Harness) runRouting(ctx context.Context, seed int, chooser routing.Chooser, lag time.Duration, figures *variantResult) (err error) {
	cluster := harness.newCluster(routingEngines, routingEngine)
	cluster.Chooser, cluster.ReportLag = chooser, lag
	return withCluster(ctx, cluster, func(server string) error {
		class := onlineClass(routingRate, 16, server)
		class.PrefixCount, class.PrefixBytes, class.PromptBytes = 32, 4096, 64
		result := harness.runLoad(ctx, seed, class)[0]
		var hits, blocks int64
		for _, engine := range cluster.Engines {
			engineHits, engineBlocks := engine.CacheHits()
			hits, blocks = hits+engineHits, blocks+engineBlocks
		}
		figures.add("hits", 100*float64(hits)/float64(max(blocks, 1)))
		figures.add("balance", loadImbalance(result))
		figures.addLatencies(result)
		return nil
	})
}

// loadImbalance returns the number of responses of the busiest target divided by the mean over all targets.
func loadImbalance(result *load.Result) float64 {
	busiest := 0
	for _, responses := range result.ResponsesByTarget {
		busiest = max(busiest, responses)
	}
	return float64(busiest) * routingEngines / float64(max(result.Done, 1))
}
