package experiment

import (
	"context"
	"fmt"
	"time"

	"cowslipway/internal/fakeengine"
	"cowslipway/internal/load"
)

// measureOverhead compares the time to the first token of requests sent to an engine directly and through the system.
func measureOverhead(ctx context.Context, harness *Harness) (table Table, err error) {
	table = Table{Columns: []string{"streams", "way", "first token p50 ms", "first token p99 ms", "added p50 ms", "added p99 ms"}, YLabel: "ms added to the first token at p99"}
	engine := fakeengine.Performance{Base: 5 * time.Millisecond, MaxSequences: 1024, CacheBlocks: 1024}
	for _, streamCount := range []int{1, 64, 512} {
		direct, viaSystem := newVariantResult("straight"), newVariantResult("through the system")
		for repeat := range harness.Repeats {
			cluster := harness.newClusterWithSlots(engine, 1024)
			err = withCluster(ctx, cluster, func(server string) error {
				harness.runStreams(ctx, repeat, streamCount, cluster.EngineURLs[0], direct)
				harness.runStreams(ctx, repeat, streamCount, server, viaSystem)
				return nil
			})
			if err != nil {
				return table, err
			}
		}
		added50 := viaSystem.figure("first 50").median() - direct.figure("first 50").median()
		added99 := viaSystem.figure("first 99").median() - direct.figure("first 99").median()
		table.Rows = append(table.Rows,
			[]string{fmt.Sprint(streamCount), direct.label, direct.figure("first 50").formatRange("%.2f"), direct.figure("first 99").formatRange("%.2f"), "", ""},
			[]string{fmt.Sprint(streamCount), viaSystem.label, viaSystem.figure("first 50").formatRange("%.2f"), viaSystem.figure("first 99").formatRange("%.2f"), fmt.Sprintf("%.2f", added50), fmt.Sprintf("%.2f", added99)})
		table.Bars = append(table.Bars, Bar{Label: fmt.Sprint(streamCount), Value: added99})
	}
	return table, nil
}

// runStreams keeps count streams of 16 tokens open and adds their latencies to figures.
func (harness *Harness) runStreams(ctx context.Context, seed, count int, server string, figures *variantResult) {
	class := onlineClass(0, 16, server)
	class.Concurrency, class.PromptBytes = count, 40
	figures.addLatencies(harness.runLoad(ctx, seed, class)[0])
}

// measureThroughput compares the requests per second of an engine used directly and through the system.
func measureThroughput(ctx context.Context, harness *Harness) (table Table, err error) {
	table = Table{Columns: []string{"requests in flight", "way", "requests/s", "p99 ms"}, YLabel: "requests a second"}
	engine := fakeengine.Performance{MaxSequences: 1024, CacheBlocks: 1024}
	for _, inFlight := range []int{64, 256} {
		direct, viaSystem := newVariantResult("straight"), newVariantResult("through the system")
		for repeat := range harness.Repeats {
			cluster := harness.newClusterWithSlots(engine, 1024)
			err = withCluster(ctx, cluster, func(server string) error {
				harness.runWholeResponses(ctx, repeat, inFlight, cluster.EngineURLs[0], direct)
				harness.runWholeResponses(ctx, repeat, inFlight, server, viaSystem)
				return nil
			})
			if err != nil {
				return table, err
			}
		}
		for _, variant := range []*variantResult{direct, viaSystem} {
			table.Rows = append(table.Rows, []string{fmt.Sprint(inFlight), variant.label, variant.figure("per second").formatRange("%.0f"), variant.figure("first 99").formatRange("%.2f")})
			table.Bars = append(table.Bars, Bar{Label: fmt.Sprintf("%s, %d", variant.label, inFlight), Value: variant.figure("per second").median()})
		}
	}
	return table, nil
}

// runWholeResponses keeps count requests for one token in flight, without streaming, and adds their latencies to figures.
func (harness *Harness) runWholeResponses(ctx context.Context, seed, count int, server string, figures *variantResult) {
	class := onlineClass(0, 1, server)
	class.Concurrency, class.PromptBytes, class.Stream = count, 16, false
	figures.addLatencies(harness.runLoad(ctx, seed, class)[0])
}

// measureEngineLoss stops half of the engines during a run. It counts the rejected and failed requests, the attempts
// per response, and the seconds with a failed or slow request.
func measureEngineLoss(ctx context.Context, harness *Harness) (table Table, err error) {
	table = Table{Columns: []string{"engines lost", "answered", "refused", "failed", "attempts per answer", "seconds with a failure or over 0.5 s"}}
	engine := fakeengine.Performance{Base: 10 * time.Millisecond, MaxSequences: 32, CacheBlocks: 1024}
	variant := newVariantResult("4 of 8")
	for repeat := range harness.Repeats {
		cluster := harness.newCluster(8, engine)
		err = withCluster(ctx, cluster, func(server string) error {
			before := cluster.Entry.Stats()
			time.AfterFunc(warmupTime+time.Second, func() {
				for number := range 4 {
					cluster.KillEngine(number)
				}
			})
			result := harness.runLoad(ctx, repeat, onlineClass(100, 16, server))[0]
			after := cluster.Entry.Stats()
			answered := 0
			for _, second := range result.Seconds {
				answered += second.Done
			}
			variant.add("attempts", float64(after.Attempts-before.Attempts)/float64(max(answered, 1)))
			variant.add("bad seconds", float64(degradedSeconds(result.Seconds)))
			variant.add("answered", float64(result.Done))
			variant.addLatencies(result)
			return nil
		})
		if err != nil {
			return table, err
		}
	}
	table.Rows = append(table.Rows, []string{variant.label, variant.figure("answered").formatRange("%.0f"), variant.figure("refused").formatRange("%.0f"), variant.figure("failed").formatRange("%.0f"),
		variant.figure("attempts").formatRange("%.3f"), variant.figure("bad seconds").formatRange("%.0f")})
	return table, nil
}

// degradedSeconds counts the seconds in which a request did not complete or waited over 500 ms for its first token.
func degradedSeconds(seconds []load.SecondStats) (count int) {
	for _, second := range seconds {
		if second.Done < second.Offered || second.SlowestFirstToken > 500*time.Millisecond {
			count++
		}
	}
	return count
}
