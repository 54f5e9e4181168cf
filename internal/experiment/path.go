package experiment

import (
	"context"
	"fmt"
	"time"

	"cowslipway/internal/fakeengine"
	"cowslipway/internal/load"
)

func overhead(ctx context.Context, bench *Bench) (table Table, err error) {
	table = Table{Columns: []string{"streams", "way", "first token p50 ms", "first token p99 ms", "added p50 ms", "added p99 ms"}, Unit: "ms added to the first token at p99"}
	model := fakeengine.Performance{Base: 5 * time.Millisecond, MaxSequences: 1024, CacheBlocks: 1024}
	for _, streams := range []int{1, 64, 512} {
		direct, path := newMeasured("straight"), newMeasured("through the system")
		for repeat := range bench.Repeats {
			system := bench.systemWithSlots(model, 1024)
			err = with(ctx, system, func(server string) error {
				bench.streams(ctx, repeat, streams, system.EngineURLs[0], direct)
				bench.streams(ctx, repeat, streams, server, path)
				return nil
			})
			if err != nil {
				return table, err
			}
		}
		added50 := path.of("first 50").median() - direct.of("first 50").median()
		added99 := path.of("first 99").median() - direct.of("first 99").median()
		table.Rows = append(table.Rows,
			[]string{fmt.Sprint(streams), direct.label, direct.of("first 50").text("%.2f"), direct.of("first 99").text("%.2f"), "", ""},
			[]string{fmt.Sprint(streams), path.label, path.of("first 50").text("%.2f"), path.of("first 99").text("%.2f"), fmt.Sprintf("%.2f", added50), fmt.Sprintf("%.2f", added99)})
		table.Bars = append(table.Bars, Bar{Label: fmt.Sprint(streams), Value: added99})
	}
	return table, nil
}

// streams keeps a number of streams open and adds their latencies.
func (bench *Bench) streams(ctx context.Context, seed, count int, server string, into *measured) {
	class := online(0, 16, server)
	class.Concurrency, class.PromptBytes = count, 40
	into.latencies(bench.run(ctx, seed, class)[0])
}

func throughput(ctx context.Context, bench *Bench) (table Table, err error) {
	table = Table{Columns: []string{"requests in flight", "way", "requests/s", "p99 ms"}, Unit: "requests a second"}
	model := fakeengine.Performance{MaxSequences: 1024, CacheBlocks: 1024}
	for _, inFlight := range []int{64, 256} {
		direct, path := newMeasured("straight"), newMeasured("through the system")
		for repeat := range bench.Repeats {
			system := bench.systemWithSlots(model, 1024)
			err = with(ctx, system, func(server string) error {
				bench.whole(ctx, repeat, inFlight, system.EngineURLs[0], direct)
				bench.whole(ctx, repeat, inFlight, server, path)
				return nil
			})
			if err != nil {
				return table, err
			}
		}
		for _, way := range []*measured{direct, path} {
			table.Rows = append(table.Rows, []string{fmt.Sprint(inFlight), way.label, way.of("per second").text("%.0f"), way.of("first 99").text("%.2f")})
			table.Bars = append(table.Bars, Bar{Label: fmt.Sprintf("%s, %d", way.label, inFlight), Value: way.of("per second").median()})
		}
	}
	return table, nil
}

func (bench *Bench) whole(ctx context.Context, seed, count int, server string, into *measured) {
	class := online(0, 1, server)
	class.Concurrency, class.PromptBytes, class.Stream = count, 16, false
	into.latencies(bench.run(ctx, seed, class)[0])
}

func loss(ctx context.Context, bench *Bench) (table Table, err error) {
	table = Table{Columns: []string{"engines lost", "answered", "refused", "failed", "attempts per answer", "seconds with a failure or over 0.5 s"}}
	model := fakeengine.Performance{Base: 10 * time.Millisecond, MaxSequences: 32, CacheBlocks: 1024}
	lost := newMeasured("4 of 8")
	for repeat := range bench.Repeats {
		system := bench.system(8, model)
		err = with(ctx, system, func(server string) error {
			before := system.Entry.Stats()
			time.AfterFunc(defaultWarmup+time.Second, func() {
				for number := range 4 {
					system.KillEngine(number)
				}
			})
			result := bench.run(ctx, repeat, online(100, 16, server))[0]
			after := system.Entry.Stats()
			answered := 0
			for _, second := range result.Seconds {
				answered += second.Done
			}
			lost.add("attempts", float64(after.Attempts-before.Attempts)/float64(max(answered, 1)))
			lost.add("bad seconds", float64(badSeconds(result.Seconds)))
			lost.add("answered", float64(result.Done))
			lost.latencies(result)
			return nil
		})
		if err != nil {
			return table, err
		}
	}
	table.Rows = append(table.Rows, []string{lost.label, lost.of("answered").text("%.0f"), lost.of("refused").text("%.0f"), lost.of("failed").text("%.0f"),
		lost.of("attempts").text("%.3f"), lost.of("bad seconds").text("%.0f")})
	return table, nil
}

func badSeconds(seconds []load.Second) (count int) {
	for _, second := range seconds {
		if second.Done < second.Offered || second.Slowest > 500*time.Millisecond {
			count++
		}
	}
	return count
}
