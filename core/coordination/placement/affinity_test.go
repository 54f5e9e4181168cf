package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipway/core/state/fleet"
)

// cachingEngine is a model of an engine's prompt cache: the documents read last, oldest first.
type cachingEngine struct {
	documents []int
	running   []time.Time // ends of the running requests
}

// read reads a document, and reports whether it was cached.
func (engine *cachingEngine) read(document, capacity int) (cached bool) {
	if position := slices.Index(engine.documents, document); position >= 0 {
		engine.documents = slices.Delete(engine.documents, position, position+1)
		cached = true
	}
	engine.documents = append(engine.documents, document)
	if len(engine.documents) > capacity {
		engine.documents = engine.documents[1:]
	}
	return cached
}

// sharedPrefixLoad is a load of requests about documents, placed by several processes that tell each other their load.
type sharedPrefixLoad struct {
	documents, requests int
	prefer              bool // by the document that a request shares with others
}

// run returns the share of requests whose document had to be read, and the largest number of requests at one engine. The
// engines have 7 slots and cache 6 documents; half of all slots are in use.
func (load sharedPrefixLoad) run(seed uint64) (readAgain float64, busiest int) {
	const processes, engineCount, slots, capacity = 6, 24, 7, 6
	random := rand.New(rand.NewPCG(seed, 5))
	var engines []fleet.Engine
	models := map[string]*cachingEngine{}
	for number := range engineCount {
		engine := fleet.Engine{ID: fmt.Sprint("e", number), Service: "llm", Address: fmt.Sprint(number), Slots: slots}
		engines, models[engine.ID] = append(engines, engine), &cachingEngine{}
	}
	var pools []*Pool
	for number := range processes {
		pool := &Pool{Self: fmt.Sprint("p", number), Random: rand.New(rand.NewPCG(seed, uint64(number)))}
		pool.SetEngines(engines)
		pools = append(pools, pool)
	}
	now := time.Unix(1000, 0)
	type release struct {
		at     time.Time
		pool   *Pool
		engine fleet.Engine
	}
	var releases []release
	misses := 0
	for range load.requests {
		now = now.Add(4 * time.Millisecond)
		for len(releases) > 0 && !releases[0].at.After(now) {
			releases[0].pool.Release(releases[0].at, releases[0].engine, false)
			releases = releases[1:]
		}
		for _, sender := range pools {
			for _, receiver := range pools {
				if sender != receiver {
					receiver.ApplyCounts(sender.Self, append([]Counts{}, sender.LocalCounts(now)...))
				}
			}
		}
		document := random.IntN(load.documents)
		request := Request{Service: "llm", Deadline: now.Add(time.Second)}
		if load.prefer {
			request.Prefix = Prefix{Digest: uint64(document + 1), Tokens: 13300}
		}
		pool := pools[random.IntN(processes)]
		decision := pool.AcquireOnline(now, request)
		model := models[decision.Engine.ID]
		if !model.read(document, capacity) {
			misses++
		}
		end := now.Add(336 * time.Millisecond)
		model.running = append(slices.DeleteFunc(model.running, func(end time.Time) bool { return !end.After(now) }), end)
		busiest = max(busiest, len(model.running))
		releases = append(releases, release{end, pool, decision.Engine})
	}
	return float64(misses) / float64(load.requests), busiest
}

// TestSharedDocuments is the load of many long documents, each asked about by many callers at all processes. With the documents
// preferred by their engines, a document is read by hardly more than affinityEngines engines; by load alone it is read anew at
// almost every engine.
func TestSharedDocuments(t *testing.T) {
	for seed := range uint64(3) {
		load := sharedPrefixLoad{documents: 60, requests: 1500}
		byLoad, _ := load.run(seed)
		load.prefer = true
		preferred, busiest := load.run(seed)
		// 60 documents at two engines each are 8% of the requests; the rest is for requests that found both engines full.
		if preferred > 0.15 || byLoad < 3*preferred {
			t.Errorf("seed %d: %.0f%% of the requests had their document read, %.0f%% by load alone", seed, 100*preferred, 100*byLoad)
		}
		if busiest > 7 {
			t.Errorf("seed %d: %d requests at an engine of 7 slots", seed, busiest)
		}
	}
}

// TestHotDocument is the load of one document that all callers ask about: it must not overload the engines that it prefers.
func TestHotDocument(t *testing.T) {
	for seed := range uint64(3) {
		if _, busiest := (sharedPrefixLoad{documents: 1, requests: 1500, prefer: true}).run(seed); busiest > 7 {
			t.Errorf("seed %d: %d requests at an engine of 7 slots while others are free", seed, busiest)
		}
	}
}
