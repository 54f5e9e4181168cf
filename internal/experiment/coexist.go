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
	engineCount      = 4
	tokensPerRequest = 32
	onlineRate       = 40.0 // requests per second
)

// newEnginePerformance describes an engine whose steps take 20 ms plus perSequence for each running sequence.
func newEnginePerformance(perSequence time.Duration) fakeengine.Performance {
	return fakeengine.Performance{Base: 20 * time.Millisecond, PerSequence: perSequence, PerPrefillToken: 5 * time.Microsecond, MaxSequences: 64, CacheBlocks: 4096}
}

// measureCoexistenceFlat measures coexistence on engines whose step time hardly depends on the running sequences.
func measureCoexistenceFlat(ctx context.Context, harness *Harness) (Table, error) {
	return measureCoexistence(ctx, harness, newEnginePerformance(15*time.Microsecond))
}

// measureCoexistenceSteep measures coexistence on engines whose step time grows noticeably with the running sequences.
func measureCoexistenceSteep(ctx context.Context, harness *Harness) (Table, error) {
	return measureCoexistence(ctx, harness, newEnginePerformance(100*time.Microsecond))
}

// coexistenceVariant is one combination of online and batch requests, each sent through the system or directly.
type coexistenceVariant struct {
	label       string
	online      bool    // sends online requests
	direct      int     // batch requests in flight per engine, sent without the system; if not 0, online requests bypass the system too
	job         bool    // submits a batch job to the system
	maxSlowdown float64 // limit for the slowdown of online requests by batch requests; 0 for none
}

var coexistenceVariants = []coexistenceVariant{
	{label: "batch alone, straight", direct: 96},
	{label: "online alone", online: true},
	{label: "no gate", online: true, direct: 96},
	{label: "static reserve of half", online: true, direct: 32},
	{label: "gate", online: true, job: true},
	{label: "gate, slowdown at most 1.05", online: true, job: true, maxSlowdown: 1.05},
}

// measureCoexistence compares the variants and relates them to online alone and batch alone.
func measureCoexistence(ctx context.Context, harness *Harness, engine fakeengine.Performance) (table Table, err error) {
	results := make([]*variantResult, len(coexistenceVariants))
	for i, variant := range coexistenceVariants {
		results[i] = newVariantResult(variant.label)
	}
	for repeat := range harness.Repeats {
		for i, variant := range coexistenceVariants {
			if err = harness.runCoexistence(ctx, repeat, engine, variant, results[i]); err != nil {
				return table, err
			}
		}
	}
	alone, batchAlone := results[1], results[0].figure("items").median()
	remaining := batchAlone - onlineRate // an online request takes about as many tokens as a batch item
	table = Table{
		Columns: []string{"way", "first token p50/p99/p99.9 ms", "token gap p50/p99/p99.9 ms", "p99 first token over alone", "p99 gap over alone", "batch items/s", "share of what is left"},
		YLabel:  "p99 token gap over online alone",
	}
	for i, variant := range coexistenceVariants {
		row := []string{variant.label, "", "", "", "", results[i].figure("items").formatRange("%.0f"), ""}
		if variant.online {
			row[1], row[2] = formatPercentiles(results[i], "first"), formatPercentiles(results[i], "gap")
			row[3], row[4] = formatRatio(results[i], alone, "first 99"), formatRatio(results[i], alone, "gap 99")
			row[6] = fmt.Sprintf("%.0f%%", 100*results[i].figure("items").median()/remaining)
			table.Bars = append(table.Bars, Bar{Label: variant.label, Value: results[i].figure("gap 99").median() / alone.figure("gap 99").median()})
		}
		table.Rows = append(table.Rows, row)
	}
	return table, nil
}

// formatPercentiles returns the 50th, 99th and 99.9th percentile of a latency, the 99th with its range over the repeats.
func formatPercentiles(variant *variantResult, metric string) string {
	return fmt.Sprintf("%.1f / %s / %.1f", variant.figure(metric+" 50").median(), variant.figure(metric+" 99").formatRange("%.1f"), variant.figure(metric+" 99.9").median())
}

// formatRatio returns the median of a figure divided by its median in base.
func formatRatio(variant, base *variantResult, metric string) string {
	return fmt.Sprintf("%.2f", variant.figure(metric).median()/base.figure(metric).median())
}

// runCoexistence measures one repeat of a variant and adds the results to figures.
func (harness *Harness) runCoexistence(ctx context.Context, seed int, engine fakeengine.Performance, variant coexistenceVariant, figures *variantResult) (err error) {
	cluster := harness.newCluster(engineCount, engine)
	cluster.MaxSlowdown = variant.maxSlowdown
	return withCluster(ctx, cluster, func(server string) (err error) {
		var classes []load.Class
		if variant.online {
			servers := []string{server}
			if variant.direct > 0 {
				servers = cluster.EngineURLs
			}
			classes = append(classes, onlineClass(onlineRate, tokensPerRequest, servers...))
		}
		if variant.direct > 0 {
			classes = append(classes, directBatchClass(variant.direct, cluster.EngineURLs))
		}
		if variant.job {
			if err = submitBatchJob(ctx, server, tokensPerRequest); err != nil {
				return err
			}
		}
		batchRate := measureBatchRate(cluster.Engines)
		results := harness.runLoad(ctx, seed, classes...)
		figures.add("items", batchRate())
		if variant.online {
			figures.addLatencies(results[0])
		}
		return nil
	})
}

// directBatchClass returns a closed loop that keeps perEngine batch requests in flight at each engine, without the system.
func directBatchClass(perEngine int, engines []string) load.Class {
	class := onlineClass(0, tokensPerRequest, engines...)
	class.Name, class.Concurrency, class.Stream, class.RequestIDPrefix = "batch", perEngine*len(engines), false, batchIDPrefix
	return class
}

// measureBurst measures how long online requests wait when their rate rises fivefold, with and without a batch job.
func measureBurst(ctx context.Context, harness *Harness) (table Table, err error) {
	table = Table{Columns: []string{"way", "first token p50 before ms", "slowest first token before ms", "slowest first token in the burst's first second ms", "refused", "failed"}}
	engine := newEnginePerformance(15 * time.Microsecond)
	alone, withBatch := newVariantResult("online alone"), newVariantResult("batch under, gate")
	for repeat := range harness.Repeats {
		for _, variant := range []*variantResult{alone, withBatch} {
			cluster := harness.newCluster(engineCount, engine)
			err = withCluster(ctx, cluster, func(server string) (err error) {
				if variant == withBatch {
					if err = submitBatchJob(ctx, server, tokensPerRequest); err != nil {
						return err
					}
				}
				class := onlineClass(onlineRate, tokensPerRequest, server)
				burstStart := warmupTime + 2*time.Second
				class.Burst = &load.Burst{Start: config.Duration(burstStart), Length: config.Duration(2 * time.Second), Factor: 5}
				result := harness.runLoad(ctx, repeat, class)[0]
				burstSecond := int(burstStart / time.Second)
				variant.add("before", milliseconds(max(result.Seconds[burstSecond-1].SlowestFirstToken, result.Seconds[burstSecond-2].SlowestFirstToken)))
				variant.add("burst", milliseconds(result.Seconds[burstSecond].SlowestFirstToken))
				variant.addLatencies(result)
				return nil
			})
			if err != nil {
				return table, err
			}
		}
	}
	for _, variant := range []*variantResult{alone, withBatch} {
		table.Rows = append(table.Rows, []string{variant.label, variant.figure("first 50").formatRange("%.1f"), variant.figure("before").formatRange("%.1f"), variant.figure("burst").formatRange("%.1f"), variant.figure("refused").formatRange("%.0f"), variant.figure("failed").formatRange("%.0f")})
	}
	addedDelay := withBatch.figure("burst").median() - alone.figure("burst").median()
	table.Rows = append(table.Rows, []string{"harm by batch", "", "", fmt.Sprintf("%.1f", addedDelay), "", ""})
	return table, nil
}

// measureNeighbour measures an account within its share, alone and at the same time as an account that exceeds its share.
func measureNeighbour(ctx context.Context, harness *Harness) (table Table, err error) {
	table = Table{Columns: []string{"way", "first token p50/p99/p99.9 ms", "p99 over alone", "calm refused", "noisy answered/s", "noisy refused"}, YLabel: "p99 to the calm account's first token, ms"}
	engine := newEnginePerformance(15 * time.Microsecond)
	engine.MaxSequences = 8
	const calmRate, noisyRate = 12, 480
	alone, withNoisy := newVariantResult("calm alone"), newVariantResult("noisy beside")
	noisyResult := newVariantResult("noisy")
	for repeat := range harness.Repeats {
		for _, variant := range []*variantResult{alone, withNoisy} {
			err = withCluster(ctx, harness.newCluster(engineCount, engine), func(server string) error {
				calm, noisy := onlineClass(calmRate, tokensPerRequest, server), onlineClass(noisyRate, tokensPerRequest, server)
				calm.Name, calm.APIKey, noisy.Name, noisy.APIKey = "calm", "calm", "noisy", "noisy"
				classes := []load.Class{calm}
				if variant == withNoisy {
					classes = append(classes, noisy)
				}
				results := harness.runLoad(ctx, repeat, classes...)
				variant.addLatencies(results[0])
				if variant == withNoisy {
					noisyResult.addLatencies(results[1])
				}
				return nil
			})
			if err != nil {
				return table, err
			}
		}
	}
	table.Rows = [][]string{
		{alone.label, formatPercentiles(alone, "first"), "1.00", alone.figure("refused").formatRange("%.0f"), "", ""},
		{withNoisy.label, formatPercentiles(withNoisy, "first"), formatRatio(withNoisy, alone, "first 99"), withNoisy.figure("refused").formatRange("%.0f"), noisyResult.figure("per second").formatRange("%.0f"), noisyResult.figure("refused").formatRange("%.0f")},
	}
	table.Bars = []Bar{{alone.label, alone.figure("first 99").median()}, {withNoisy.label, withNoisy.figure("first 99").median()}}
	return table, nil
}
