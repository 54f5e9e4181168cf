package fakeengine

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	blockBytes       = 64  // of prompt text in one block of the prefix cache
	bytesPerToken    = 4   // of prompt text
	prefillChunk     = 512 // tokens of prompts in one step
	finishedRetained = 4096
)

// Performance says how long a step of the engine takes.
type Performance struct {
	Base            time.Duration `json:"base"`          // of every step, nanoseconds in JSON
	PerSequence     time.Duration `json:"per_sequence"`  // for each running sequence
	PerPrefillToken time.Duration `json:"per_prefill"`   // for each token of a prompt that is not cached
	MaxSequences    int           `json:"max_sequences"` // that run at once; the others wait
	CacheBlocks     int           `json:"cache_blocks"`  // of 64 bytes of prompt text
}

// sequence is one request inside the engine.
type sequence struct {
	prompt  string
	prefill int // tokens of the prompt that are still to be processed
	wanted  int // tokens to generate
	tokens  chan int
	ctx     context.Context
	next    int
}

// batcher runs all requests together, a token each a step.
type batcher struct {
	model Performance

	mutex   sync.Mutex
	work    *sync.Cond
	waiting []*sequence
	running []*sequence
	cache   prefixCache
	hits    int64
	blocks  int64
	stopped bool
}

func newBatcher(model Performance) *batcher {
	batcher := &batcher{model: model, cache: prefixCache{limit: model.CacheBlocks}}
	batcher.work = sync.NewCond(&batcher.mutex)
	return batcher
}

// submit lets a request in, whatever the load; the tokens' numbers arrive on its channel, which is closed
// at the end.
func (batcher *batcher) submit(ctx context.Context, prompt string, first, wanted int) *sequence {
	added := &sequence{prompt: prompt, next: first, wanted: wanted, tokens: make(chan int, wanted+1), ctx: ctx}
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	if batcher.stopped {
		close(added.tokens)
		return added
	}
	batcher.waiting = append(batcher.waiting, added)
	batcher.work.Signal()
	return added
}

func (batcher *batcher) load() (running, waiting int) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	return len(batcher.running), len(batcher.waiting)
}

func (batcher *batcher) stop() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	batcher.stopped = true
	batcher.work.Signal()
}

func (batcher *batcher) run() {
	next := time.Now()
	for {
		duration, ok := batcher.plan()
		if !ok {
			batcher.abandon()
			return
		}
		// Steps follow one another without the timer's delay adding up.
		next = later(next, time.Now().Add(-duration)).Add(duration)
		time.Sleep(time.Until(next))
		batcher.step()
	}
}

// abandon ends the requests that a stopped engine still has.
func (batcher *batcher) abandon() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	for _, left := range append(batcher.running, batcher.waiting...) {
		close(left.tokens)
	}
	batcher.running, batcher.waiting = nil, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// plan fills the batch and returns how long the next step takes.
func (batcher *batcher) plan() (duration time.Duration, ok bool) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	for len(batcher.running)+len(batcher.waiting) == 0 {
		if batcher.stopped {
			return 0, false
		}
		batcher.work.Wait()
	}
	if batcher.stopped {
		return 0, false
	}
	for len(batcher.waiting) > 0 && len(batcher.running) < batcher.model.MaxSequences {
		first := batcher.waiting[0]
		batcher.waiting = batcher.waiting[1:]
		if first.ctx.Err() != nil {
			close(first.tokens)
			continue
		}
		hits, blocks := batcher.cache.use(first.prompt)
		batcher.hits += int64(hits)
		batcher.blocks += int64(blocks)
		first.prefill = (len(first.prompt) - hits*blockBytes) / bytesPerToken
		batcher.running = append(batcher.running, first)
	}
	chunk := prefillChunk
	for _, running := range batcher.running {
		chunk -= min(running.prefill, chunk)
	}
	processed := prefillChunk - chunk
	duration = batcher.model.Base + time.Duration(len(batcher.running))*batcher.model.PerSequence
	return duration + time.Duration(processed)*batcher.model.PerPrefillToken, true
}

// step moves every running sequence on by a token, or by its part of the prefill.
func (batcher *batcher) step() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	chunk := prefillChunk
	kept := batcher.running[:0]
	for _, running := range batcher.running {
		part := min(running.prefill, chunk)
		chunk -= part
		running.prefill -= part
		if running.ctx.Err() != nil {
			close(running.tokens)
			continue
		}
		if running.prefill == 0 {
			running.tokens <- running.next
			running.next++
		}
		if running.next >= running.wanted {
			close(running.tokens)
			continue
		}
		kept = append(kept, running)
	}
	clear(batcher.running[len(kept):])
	batcher.running = kept
}

// prefixCache remembers which blocks of prompts were seen, the least recently used going first.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  list.List
}

// use returns how many of the first blocks of prompt were cached, and remembers all of them.
func (cache *prefixCache) use(prompt string) (hits, blocks int) {
	if cache.blocks == nil {
		cache.blocks = map[uint64]*list.Element{}
	}
	unbroken := true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		blocks++
		key := xxhash.Sum64String(prompt[:end])
		element, ok := cache.blocks[key]
		if ok {
			cache.order.MoveToFront(element)
		} else {
			cache.blocks[key] = cache.order.PushFront(key)
		}
		unbroken = unbroken && ok
		if unbroken {
			hits++
		}
	}
	for len(cache.blocks) > max(cache.limit, 1) {
		oldest := cache.order.Back()
		cache.order.Remove(oldest)
		delete(cache.blocks, oldest.Value.(uint64))
	}
	return hits, blocks
}
