package experiment

import (
	"context"
	"fmt"
	"time"

	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/load"
)

const (
	coexistEngines = 4
	coexistTokens  = 32
	coexistRate    = 40.0
)

func engineModel(perSequence time.Duration) fakeengine.Performance {
	return fakeengine.Performance{Base: 20 * time.Millisecond, PerSequence: perSequence, PerPrefillToken: 5 * time.Microsecond, MaxSequences: 64, CacheBlocks: 4096}
}

func coexistenceFlat(ctx context.Context, bench *Bench) (Table, error) {
	return coexistence(ctx, bench, engineModel(15*time.Microsecond))
}

func coexistenceSteep(ctx context.Context, bench *Bench) (Table, error) {
	return coexistence(ctx, bench, engineModel(100*time.Microsecond))
}

// coexistVariant is one way to run online and batch work together.
type coexistVariant struct {
	label       string
	online      bool
	direct      int // batch requests kept at each engine, past the system; 0 for none
	job         bool
	maxSlowdown float64
}

var coexistVariants = []coexistVariant{
	{label: "batch alone, straight", direct: 96},
	{label: "online alone", online: true},
	{label: "no gate", online: true, direct: 96},
	{label: "static reserve of half", online: true, direct: 32},
	{label: "gate", online: true, job: true},
	{label: "gate, slowdown at most 1.05", online: true, job: true, maxSlowdown: 1.05},
}

func coexistence(ctx context.Context, bench *Bench, model fakeengine.Performance) (table Table, err error) {
	all := make([]*measured, len(coexistVariants))
	for i, variant := range coexistVariants {
		all[i] = newMeasured(variant.label)
	}
	for repeat := range bench.Repeats {
		for i, variant := range coexistVariants {
			if err = bench.coexist(ctx, repeat, model, variant, all[i]); err != nil {
				return table, err
			}
		}
	}
	alone, batchAlone := all[1], all[0].of("items").median()
	left := batchAlone - coexistRate // an online request costs about as many tokens as an item
	table = Table{
		Columns: []string{"way", "first token p50/p99/p99.9 ms", "token gap p50/p99/p99.9 ms", "p99 first token over alone", "p99 gap over alone", "batch items/s", "share of what is left"},
		Unit:    "p99 token gap over online alone",
	}
	for i, variant := range coexistVariants {
		row := []string{variant.label, "", "", "", "", all[i].of("items").text("%.0f"), ""}
		if variant.online {
			row[1], row[2] = quantiles(all[i], "first"), quantiles(all[i], "gap")
			row[3], row[4] = ratio(all[i], alone, "first 99"), ratio(all[i], alone, "gap 99")
			row[6] = fmt.Sprintf("%.0f%%", 100*all[i].of("items").median()/left)
			table.Bars = append(table.Bars, Bar{Label: variant.label, Value: all[i].of("gap 99").median() / alone.of("gap 99").median()})
		}
		table.Rows = append(table.Rows, row)
	}
	return table, nil
}

func quantiles(measured *measured, what string) string {
	return fmt.Sprintf("%.1f / %s / %.1f", measured.of(what+" 50").median(), measured.of(what+" 99").text("%.1f"), measured.of(what+" 99.9").median())
}

func ratio(measured, base *measured, what string) string {
	return fmt.Sprintf("%.2f", measured.of(what).median()/base.of(what).median())
}

func (bench *Bench) coexist(ctx context.Context, seed int, model fakeengine.Performance, variant coexistVariant, into *measured) (err error) {
	system := bench.system(coexistEngines, model)
	system.MaxSlowdown = variant.maxSlowdown
	return with(ctx, system, func(server string) (err error) {
		var classes []load.Class
		if variant.online {
			servers := []string{server}
			if variant.direct > 0 {
				servers = system.EngineURLs
			}
			classes = append(classes, online(coexistRate, coexistTokens, servers...))
		}
		if variant.direct > 0 {
			classes = append(classes, directBatch(variant.direct, system.EngineURLs))
		}
		if variant.job {
			if err = submit(ctx, server, coexistTokens); err != nil {
				return err
			}
		}
		items := countBatch(system.Engines)
		results := bench.run(ctx, seed, classes...)
		into.add("items", items())
		if variant.online {
			into.latencies(results[0])
		}
		return nil
	})
}

// directBatch keeps a number of batch requests at each engine, past the system.
func directBatch(perEngine int, engines []string) load.Class {
	class := online(0, coexistTokens, engines...)
	class.Name, class.Concurrency, class.Stream, class.RequestID = "batch", perEngine*len(engines), false, batchPrefix
	return class
}

func burst(ctx context.Context, bench *Bench) (table Table, err error) {
	table = Table{Columns: []string{"way", "first token p50 before ms", "slowest first token before ms", "slowest first token in the burst's first second ms", "refused", "failed"}}
	model := engineModel(15 * time.Microsecond)
	alone, under := newMeasured("online alone"), newMeasured("batch under, gate")
	for repeat := range bench.Repeats {
		for _, way := range []*measured{alone, under} {
			system := bench.system(coexistEngines, model)
			err = with(ctx, system, func(server string) (err error) {
				if way == under {
					if err = submit(ctx, server, coexistTokens); err != nil {
						return err
					}
				}
				class := online(coexistRate, coexistTokens, server)
				at := defaultWarmup + 2*time.Second
				class.Burst = &load.Burst{At: config.Duration(at), For: config.Duration(2 * time.Second), Factor: 5}
				result := bench.run(ctx, repeat, class)[0]
				second := int(at / time.Second)
				way.add("before", milliseconds(max(result.Seconds[second-1].Slowest, result.Seconds[second-2].Slowest)))
				way.add("burst", milliseconds(result.Seconds[second].Slowest))
				way.latencies(result)
				return nil
			})
			if err != nil {
				return table, err
			}
		}
	}
	for _, way := range []*measured{alone, under} {
		table.Rows = append(table.Rows, []string{way.label, way.of("first 50").text("%.1f"), way.of("before").text("%.1f"), way.of("burst").text("%.1f"), way.of("refused").text("%.0f"), way.of("failed").text("%.0f")})
	}
	harm := under.of("burst").median() - alone.of("burst").median()
	table.Rows = append(table.Rows, []string{"harm by batch", "", "", fmt.Sprintf("%.1f", harm), "", ""})
	return table, nil
}

func neighbour(ctx context.Context, bench *Bench) (table Table, err error) {
	table = Table{Columns: []string{"way", "first token p50/p99/p99.9 ms", "p99 over alone", "calm refused", "noisy answered/s", "noisy refused"}, Unit: "p99 to the calm account's first token, ms"}
	model := engineModel(15 * time.Microsecond)
	model.MaxSequences = 8
	const calmRate, noisyRate = 12, 480
	alone, beside := newMeasured("calm alone"), newMeasured("noisy beside")
	noise := newMeasured("noisy")
	for repeat := range bench.Repeats {
		for _, way := range []*measured{alone, beside} {
			err = with(ctx, bench.system(coexistEngines, model), func(server string) error {
				calm, noisy := online(calmRate, coexistTokens, server), online(noisyRate, coexistTokens, server)
				calm.Name, calm.Key, noisy.Name, noisy.Key = "calm", "calm", "noisy", "noisy"
				classes := []load.Class{calm}
				if way == beside {
					classes = append(classes, noisy)
				}
				results := bench.run(ctx, repeat, classes...)
				way.latencies(results[0])
				if way == beside {
					noise.latencies(results[1])
				}
				return nil
			})
			if err != nil {
				return table, err
			}
		}
	}
	table.Rows = [][]string{
		{alone.label, quantiles(alone, "first"), "1.00", alone.of("refused").text("%.0f"), "", ""},
		{beside.label, quantiles(beside, "first"), ratio(beside, alone, "first 99"), beside.of("refused").text("%.0f"), noise.of("per second").text("%.0f"), noise.of("refused").text("%.0f")},
	}
	table.Bars = []Bar{{alone.label, alone.of("first 99").median()}, {beside.label, beside.of("first 99").median()}}
	return table, nil
}
