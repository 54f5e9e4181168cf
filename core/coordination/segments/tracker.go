package segments

import (
	"cowslipway/core/state/openaibatch"
	"cowslipway/core/state/request"
)

// MaxAttempts is the number of failed attempts after which an item fails.
const MaxAttempts = 3

// maxChunkBytes limits the results of one commit, because a chunk has to fit into one record of the store.
const maxChunkBytes = 900 << 10

// Item is one line of the input of a batch job.
type Item struct {
	Number     int // index within the segment
	CustomID   string
	Service    string
	Path       string
	Body       []byte
	Idempotent bool
}

// Result is the final result of an item.
type Result struct {
	Number    int
	Succeeded bool
	Line      []byte // line of the output file or the error file
}

// Decision says what to do with an item after an attempt.
type Decision uint8

// The decisions that Classify returns.
const (
	// Retry returns the item to the queue.
	Retry Decision = iota + 1
	// Success ends the item with the response of the attempt.
	Success
	// Failure ends the item as failed.
	Failure
)

// Tracker tracks the items of a segment while an entry owns it.
type Tracker struct {
	Segment openaibatch.Segment // as last committed

	total    int          // number of items in the segment
	failures map[int]int  // failed attempts that count towards MaxAttempts, by item number
	ended    map[int]bool // items that have a result, committed or not
	results  []Result     // results that are not committed yet
}

// NewTracker returns a Tracker for a segment that was just claimed, and the items that have no committed result:
// pending items are to be run; lost items are non-idempotent ones that a previous owner may have sent, so they must not
// be sent again.
func NewTracker(segment openaibatch.Segment, items []Item) (tracker *Tracker, pending, lost []Item) {
	tracker = &Tracker{Segment: segment, total: len(items), failures: map[int]int{}, ended: map[int]bool{}}
	for _, item := range items {
		switch {
		case segment.Finished.Has(item.Number):
			tracker.ended[item.Number] = true
		case !item.Idempotent && segment.Started.Has(item.Number):
			lost = append(lost, item)
		default:
			pending = append(pending, item)
		}
	}
	return tracker, pending, lost
}

// Classify returns the decision for an item after an attempt that ended with outcome. status is the HTTP status of the
// response; it is used only where the disposition is request.Done.
func (tracker *Tracker) Classify(item Item, outcome request.Outcome, status int) Decision {
	if tracker.ended[item.Number] {
		return Failure // late response; Record ignores the result
	}
	switch {
	case outcome.Disposition == request.Done && status < 300:
		return Success
	case outcome.Disposition == request.Done && status < 500:
		return Failure // the same request would fail again
	case outcome.Reason == request.ReasonPoisonPill:
		return Failure
	case outcome.Disposition == request.NotRun:
		return Retry
	case !item.Idempotent:
		return Failure
	case outcome.Reason == request.ReasonPreempted || outcome.Reason == request.ReasonCancelled:
		return Retry // ended by the system, so it does not count as a failed attempt
	}
	tracker.failures[item.Number]++
	if tracker.failures[item.Number] >= MaxAttempts {
		return Failure
	}
	return Retry
}

// Record adds the result of an item. It reports false, and ignores the result, if the item already has one.
func (tracker *Tracker) Record(result Result) (recorded bool) {
	if tracker.ended[result.Number] {
		return false
	}
	tracker.ended[result.Number] = true
	tracker.results = append(tracker.results, result)
	return true
}

// Complete reports whether every item has a result, committed or not.
func (tracker *Tracker) Complete() bool { return len(tracker.ended) == tracker.total }

// UncommittedResults returns the number of results that are not committed yet.
func (tracker *Tracker) UncommittedResults() int { return len(tracker.results) }

// Commit is an update of a segment in the store.
type Commit struct {
	Segment openaibatch.Segment // state of the segment after the commit
	Chunk   openaibatch.Chunk   // chunk that holds Results; unused if there are none
	Results []Result
}

// PrepareCommit returns the commit that stores the oldest uncommitted results and marks the items with the numbers in
// started as sent. The results are limited to one chunk, so some may remain uncommitted.
func (tracker *Tracker) PrepareCommit(started ...int) Commit {
	next := tracker.Segment
	if len(started) > 0 {
		next.Started = next.Started.With(started...)
	}
	commit := Commit{Results: tracker.nextChunk()}
	if len(commit.Results) > 0 {
		commit.Chunk = openaibatch.Chunk{Epoch: next.Epoch, Number: len(next.Chunks)}
		next.Chunks = append(next.Chunks[:len(next.Chunks):len(next.Chunks)], commit.Chunk)
	}
	for _, result := range commit.Results {
		next.Finished = next.Finished.With(result.Number)
		if result.Succeeded {
			next.Counts.Completed++
		} else {
			next.Counts.Failed++
		}
	}
	next.Done = tracker.Complete() && len(commit.Results) == len(tracker.results)
	commit.Segment = next
	return commit
}

// nextChunk returns the oldest uncommitted results that fit into one chunk. It returns at least one result if there are
// any, even a result that exceeds maxChunkBytes.
func (tracker *Tracker) nextChunk() []Result {
	size := 0
	for i, result := range tracker.results {
		size += len(result.Line)
		if size > maxChunkBytes && i > 0 {
			return tracker.results[:i]
		}
	}
	return tracker.results
}

// ApplyCommit updates the tracker after the store has accepted commit.
func (tracker *Tracker) ApplyCommit(commit Commit) {
	tracker.Segment = commit.Segment
	tracker.results = tracker.results[len(commit.Results):]
}
