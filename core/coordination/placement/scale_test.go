package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipway/core/state/fleet"
)

// poolOf returns a pool that knows engines of one service and peers that have told of work at some of them.
func poolOf(engines, peers int) (pool *Pool, told [][]Counts) {
	pool = &Pool{Self: "self/b", Random: rand.New(rand.NewPCG(1, 2))}
	listed := make([]fleet.Engine, engines)
	for number := range listed {
		listed[number] = fleet.Engine{ID: fmt.Sprintf("e%05d", number), Service: "llm", FailureDomain: fmt.Sprint("d", number%3), Slots: 7}
	}
	pool.SetEngines(listed)
	told = make([][]Counts, peers)
	for peer := range told {
		for range min(engines, 60) {
			engine := listed[pool.Random.IntN(engines)]
			told[peer] = append(told[peer], Counts{Engine: engine.Digest(), Online: pool.Random.IntN(2), Batch: pool.Random.IntN(2)})
		}
		pool.ApplyCounts(fmt.Sprint("peer", peer), told[peer])
	}
	return pool, told
}

// BenchmarkOnline measures one decision and its release; see docs/CAPACITY.md.
func BenchmarkOnline(b *testing.B) {
	for _, engines := range []int{12, 57, 1000, 7600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			pool, _ := poolOf(engines, 0)
			now := time.Unix(0, 0)
			for b.Loop() {
				decision := pool.AcquireOnline(now, Request{Service: "llm", Domain: "d1", Deadline: now.Add(time.Second)})
				pool.Release(now, decision.Engine, false)
			}
		})
	}
}

// BenchmarkHear measures taking in one peer's counts, and the look at what has to give way, as each message brings it.
func BenchmarkHear(b *testing.B) {
	for _, size := range []struct{ engines, peers int }{{12, 8}, {57, 40}, {1000, 100}, {7600, 580}} {
		b.Run(fmt.Sprintf("%d/%d", size.engines, size.peers), func(b *testing.B) {
			pool, told := poolOf(size.engines, size.peers)
			now := time.Unix(0, 0)
			number := 0
			for b.Loop() {
				number++
				pool.ApplyCounts(fmt.Sprint("peer", number%size.peers), told[(number+1)%size.peers])
				pool.ProcessQueue(now)
				pool.Preemptions(now)
			}
		})
	}
}

// TestHearKeepsTheSums plays engines that come and go while peers tell of them: what the pool adds up as it goes is what it
// would be from the peers' last words.
func TestHearKeepsTheSums(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	pool := &Pool{Self: "self/b", Random: random}
	last := map[string][]Counts{}
	var listed []fleet.Engine
	for step := range 3000 {
		switch random.IntN(10) {
		case 0:
			listed = nil
			for number := range 20 {
				if random.IntN(3) > 0 {
					listed = append(listed, fleet.Engine{ID: fmt.Sprint("e", number), Service: "llm", Slots: 7})
				}
			}
			pool.SetEngines(listed)
		case 1:
			peer := fmt.Sprint("peer", random.IntN(6))
			delete(last, peer)
			pool.ApplyCounts(peer, nil)
		default:
			counts := []Counts{}
			for number := range 20 {
				if random.IntN(2) == 0 {
					engine := fleet.Engine{ID: fmt.Sprint("e", number)}
					counts = append(counts, Counts{Engine: engine.Digest(), Online: random.IntN(5), Batch: random.IntN(5)})
				}
			}
			peer := fmt.Sprint("peer", random.IntN(6))
			last[peer] = counts
			pool.ApplyCounts(peer, counts)
		}
		for digest, engine := range pool.engines {
			online, batch := 0, 0
			for _, counts := range last {
				for _, count := range counts {
					if count.Engine == digest {
						online, batch = online+count.Online, batch+count.Batch
					}
				}
			}
			if engine.otherOnline != online || engine.otherBatch != batch {
				t.Fatalf("step %d, %s: %d and %d, not %d and %d", step, engine.ID, engine.otherOnline, engine.otherBatch, online, batch)
			}
		}
	}
}

// TestBatchDoesNotHerd plays the end of a burst of online requests: all workers of a grown deployment have items that wait,
// and find the same engines free before they hear of each other. No engine gets more than batch may take, and after a
// few exchanges of counts nothing is left free.
func TestBatchDoesNotHerd(t *testing.T) {
	const workers, engines, slots = 14, 57, 7
	listed := make([]fleet.Engine, engines)
	for number := range listed {
		listed[number] = fleet.Engine{ID: fmt.Sprint("e", number), Service: "llm", Slots: slots}
	}
	pools := make([]*Pool, workers)
	for number := range pools {
		pools[number] = &Pool{BatchBacklog: true, Self: fmt.Sprint("w", number), Random: rand.New(rand.NewPCG(7, uint64(number)))}
		pools[number].SetEngines(listed)
		// Each knows that the others have items that wait.
		for other := range pools {
			if other != number {
				pools[number].ApplyCounts(fmt.Sprint("w", other), []Counts{{Engine: backlogEngine}})
			}
		}
	}
	now := time.Unix(0, 0)
	started := 0
	for exchange := range 12 {
		sum := map[uint64]int{}
		for _, pool := range pools {
			for range engines * slots {
				if _, ok := pool.AcquireBatch(now, Request{Service: "llm"}); !ok {
					break
				}
				started++
			}
			for _, count := range pool.LocalCounts(now) {
				sum[count.Engine] += count.Batch
			}
		}
		for digest, items := range sum {
			if items > slots-batchHeadroom {
				t.Errorf("exchange %d: %d items at engine %x", exchange, items, digest)
			}
		}
		for number, pool := range pools {
			for other, heard := range pools {
				if other != number {
					pool.ApplyCounts(fmt.Sprint("w", other), heard.LocalCounts(now))
				}
			}
		}
		now = now.Add(125 * time.Millisecond)
	}
	if all := engines * (slots - batchHeadroom); started != all {
		t.Errorf("%d of %d slots for batch are taken", started, all)
	}
}
