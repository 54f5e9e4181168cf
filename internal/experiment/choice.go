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
	routingRate    = 120
)

var routingModel = fakeengine.Performance{
	Base:            10 * time.Millisecond,
	PerSequence:     100 * time.Microsecond,
	PerPrefillToken: 20 * time.Microsecond,
	MaxSequences:    32,
	CacheBlocks:     12 * 64,
}

// routingVariant is one policy for choosing targets.
type routingVariant struct {
	label   string
	chooser func(routing.Chooser) routing.Chooser
}

func choices(count int, affinity bool) func(routing.Chooser) routing.Chooser {
	return func(chooser routing.Chooser) routing.Chooser {
		chooser.Samples, chooser.Affinity = count, affinity
		return chooser
	}
}

var routingVariants = []routingVariant{
	{"random", choices(1, false)},
	{"least loaded of all", choices(0, false)},
	{"two choices", choices(2, false)},
	{"three choices", choices(3, false)},
	{"two choices with affinity", choices(2, true)},
}

var routingColumns = []string{"way", "cache hits", "first token p50/p99/p99.9 ms", "balance", "refused", "failed"}

func routingTable(ctx context.Context, bench *Bench) (table Table, err error) {
	table = Table{Columns: routingColumns, Unit: "p99 to the first token, ms"}
	for _, variant := range routingVariants {
		figures := newMeasured(variant.label)
		for repeat := range bench.Repeats {
			if err = bench.route(ctx, repeat, variant.chooser(routing.DefaultChooser), 0, figures); err != nil {
				return table, err
			}
		}
		table.Rows = append(table.Rows, routingRow(figures))
		table.Bars = append(table.Bars, Bar{variant.label, figures.of("first 99").median()})
	}
	return table, nil
}

func lagTable(ctx context.Context, bench *Bench) (table Table, err error) {
	table = Table{Columns: routingColumns}
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		figures := newMeasured("reports " + lag.String() + " old")
		for repeat := range bench.Repeats {
			if err = bench.route(ctx, repeat, routing.DefaultChooser, lag, figures); err != nil {
				return table, err
			}
		}
		table.Rows = append(table.Rows, routingRow(figures))
	}
	return table, nil
}

func routingRow(figures *measured) []string {
	return []string{figures.label, figures.of("hits").text("%.0f%%"), quantiles(figures, "first"), figures.of("balance").text("%.2f"),
		figures.of("refused").text("%.0f"), figures.of("failed").text("%.0f")}
}

func (bench *Bench) route(ctx context.Context, seed int, chooser routing.Chooser, lag time.Duration, into *measured) (err error) {
	system := bench.system(routingEngines, routingModel)
	system.Chooser, system.ReportLag = chooser, lag
	return with(ctx, system, func(server string) error {
		class := online(routingRate, 16, server)
		class.Prefixes, class.PrefixBytes, class.PromptBytes = 32, 4096, 64
		result := bench.run(ctx, seed, class)[0]
		var hits, blocks int64
		for _, engine := range system.Engines {
			engineHits, engineBlocks := engine.CacheHits()
			hits, blocks = hits+engineHits, blocks+engineBlocks
		}
		into.add("hits", 100*float64(hits)/float64(max(blocks, 1)))
		into.add("balance", balance(result))
		into.latencies(result)
		return nil
	})
}

// balance returns the answers of the busiest target over the mean.
func balance(result *load.Result) float64 {
	most := 0
	for _, answers := range result.Targets {
		most = max(most, answers)
	}
	return float64(most) * routingEngines / float64(max(result.Done, 1))
}
