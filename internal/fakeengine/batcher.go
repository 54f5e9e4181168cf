package fakeengine

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	cacheBlockBytes  = 64  // prompt bytes per block of the prefix cache
	bytesPerToken    = 4   // prompt bytes per token
	maxPrefillTokens = 512 // prompt tokens processed per step, over all sequences
	finishedRetained = 4096
)

// Performance sets the step times and limits of a simulated engine. Durations are nanoseconds in JSON.
type Performance struct {
	Base            time.Duration `json:"base"`          // fixed part of the time of a step
	PerSequence     time.Duration `json:"per_sequence"`  // time that each running sequence adds to a step
	PerPrefillToken time.Duration `json:"per_prefill"`   // time that each prompt token processed in a step adds to it
	MaxSequences    int           `json:"max_sequences"` // sequences that run at the same time; more of them wait
	CacheBlocks     int           `json:"cache_blocks"`  // capacity of the prefix cache in blocks of 64 bytes of prompt text
}

// sequence is a request in the engine.
type sequence struct {
	prompt           string
	prefillRemaining int      // prompt tokens still to be processed
	tokenLimit       int      // index at which generation ends
	tokens           chan int // indexes of the generated tokens
	ctx              context.Context
	nextToken        int // index of the next token to generate
}

// batcher simulates continuous batching: in each step, every running sequence advances by one token.
type batcher struct {
	performance Performance

	mutex        sync.Mutex
	wake         *sync.Cond // signalled when a sequence is submitted and when the batcher stops
	waiting      []*sequence
	running      []*sequence
	cache        prefixCache
	cachedBlocks int64 // prompt blocks found in the prefix cache so far
	promptBlocks int64 // prompt blocks looked up so far
	stopped      bool
}

func newBatcher(performance Performance) *batcher {
	batcher := &batcher{performance: performance, cache: prefixCache{maxBlocks: performance.CacheBlocks}}
	batcher.wake = sync.NewCond(&batcher.mutex)
	return batcher
}

// submit queues a request, whatever the load. The sequence's channel receives the indexes of the generated tokens,
// from firstToken on, and is closed when generation ends.
func (batcher *batcher) submit(ctx context.Context, prompt string, firstToken, tokenLimit int) *sequence {
	added := &sequence{prompt: prompt, nextToken: firstToken, tokenLimit: tokenLimit, tokens: make(chan int, tokenLimit+1), ctx: ctx}
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	if batcher.stopped {
		close(added.tokens)
		return added
	}
	batcher.waiting = append(batcher.waiting, added)
	batcher.wake.Signal()
	return added
}

// load returns the numbers of running and waiting sequences.
func (batcher *batcher) load() (running, waiting int) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	return len(batcher.running), len(batcher.waiting)
}

// stop makes run end all sequences and return.
func (batcher *batcher) stop() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	batcher.stopped = true
	batcher.wake.Signal()
}

// run executes steps until the batcher is stopped.
func (batcher *batcher) run() {
	next := time.Now()
	for {
		duration, ok := batcher.planStep()
		if !ok {
			batcher.closeAll()
			return
		}
		// A step is due one duration after the step before it was due, so that timer delays do not accumulate.
		// If that time has passed, as after an idle period, the step is due now.
		next = later(next, time.Now().Add(-duration)).Add(duration)
		time.Sleep(time.Until(next))
		batcher.step()
	}
}

// closeAll ends all sequences without generating further tokens.
func (batcher *batcher) closeAll() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	for _, unfinished := range append(batcher.running, batcher.waiting...) {
		close(unfinished.tokens)
	}
	batcher.running, batcher.waiting = nil, nil
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// planStep waits for a sequence, fills the batch from the waiting sequences and returns the duration of the next step.
// ok is false if the batcher is stopped.
func (batcher *batcher) planStep() (duration time.Duration, ok bool) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	for len(batcher.running)+len(batcher.waiting) == 0 {
		if batcher.stopped {
			return 0, false
		}
		batcher.wake.Wait()
	}
	if batcher.stopped {
		return 0, false
	}
	for len(batcher.waiting) > 0 && len(batcher.running) < batcher.performance.MaxSequences {
		first := batcher.waiting[0]
		batcher.waiting = batcher.waiting[1:]
		if first.ctx.Err() != nil {
			close(first.tokens)
			continue
		}
		hits, blocks := batcher.cache.lookup(first.prompt)
		batcher.cachedBlocks += int64(hits)
		batcher.promptBlocks += int64(blocks)
		first.prefillRemaining = (len(first.prompt) - hits*cacheBlockBytes) / bytesPerToken
		batcher.running = append(batcher.running, first)
	}
	budget := maxPrefillTokens
	for _, running := range batcher.running {
		budget -= min(running.prefillRemaining, budget)
	}
	prefilled := maxPrefillTokens - budget
	duration = batcher.performance.Base + time.Duration(len(batcher.running))*batcher.performance.PerSequence
	return duration + time.Duration(prefilled)*batcher.performance.PerPrefillToken, true
}

// step processes up to maxPrefillTokens prompt tokens, in the order of the running sequences, and generates one token
// for each sequence whose prompt has been processed.
func (batcher *batcher) step() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	budget := maxPrefillTokens
	kept := batcher.running[:0]
	for _, running := range batcher.running {
		prefilled := min(running.prefillRemaining, budget)
		budget -= prefilled
		running.prefillRemaining -= prefilled
		if running.ctx.Err() != nil {
			close(running.tokens)
			continue
		}
		if running.prefillRemaining == 0 {
			running.tokens <- running.nextToken
			running.nextToken++
		}
		if running.nextToken >= running.tokenLimit {
			close(running.tokens)
			continue
		}
		kept = append(kept, running)
	}
	clear(batcher.running[len(kept):])
	batcher.running = kept
}

// prefixCache is an LRU cache of prompt blocks. A block is identified by the hash of the prompt up to the block's end.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	recency   list.List // hashes of blocks, most recently used first
}

// lookup adds all whole blocks of prompt to the cache. It returns the number of leading blocks that the cache held
// already and the number of all whole blocks.
func (cache *prefixCache) lookup(prompt string) (hits, blocks int) {
	if cache.blocks == nil {
		cache.blocks = map[uint64]*list.Element{}
	}
	allHits := true
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		blocks++
		key := xxhash.Sum64String(prompt[:end])
		element, ok := cache.blocks[key]
		if ok {
			cache.recency.MoveToFront(element)
		} else {
			cache.blocks[key] = cache.recency.PushFront(key)
		}
		allHits = allHits && ok
		if allHits {
			hits++
		}
	}
	for len(cache.blocks) > max(cache.maxBlocks, 1) {
		oldest := cache.recency.Back()
		cache.recency.Remove(oldest)
		delete(cache.blocks, oldest.Value.(uint64))
	}
	return hits, blocks
}
