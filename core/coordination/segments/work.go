package segments

import (
	"cowslipway/core/state/openaibatch"
	"cowslipway/core/state/request"
)

// MaxAttempts bounds how often an item may fail before it ends as failed.
const MaxAttempts = 3

// maxPartBytes bounds the results in one write, so that they fit into one record of the store.
const maxPartBytes = 900 << 10

// Item is one line of a batch job's input.
type Item struct {
	Number     int // within its segment
	CustomID   string
	Service    string
	Path       string
	Body       []byte
	Idempotent bool
}

// Result is the one outcome of an item.
type Result struct {
	Number    int
	Succeeded bool
	Line      []byte // as it stands in the output or the error file
}

// Decision says what to do with an item after an attempt.
type Decision uint8

// The verdicts.
const (
	// Retry puts the item back.
	Retry Decision = iota + 1
	// Success ends the item with its answer.
	Success
	// Failure ends the item as failed.
	Failure
)

// Tracker is a segment in the hands of its owner.
type Tracker struct {
	Segment openaibatch.Segment

	total    int
	attempts map[int]int
	ended    map[int]bool // outcome known, committed or not
	results  []Result     // not committed yet
}

// NewTracker takes up a segment with its items. It returns the items that are still to be run; those that were
// sent by an earlier owner and must not be sent again are in lost.
func NewTracker(segment openaibatch.Segment, items []Item) (work *Tracker, pending, lost []Item) {
	work = &Tracker{Segment: segment, total: len(items), attempts: map[int]int{}, ended: map[int]bool{}}
	for _, item := range items {
		switch {
		case segment.Finished.Has(item.Number):
			work.ended[item.Number] = true
		case !item.Idempotent && segment.Started.Has(item.Number):
			lost = append(lost, item)
		default:
			pending = append(pending, item)
		}
	}
	return work, pending, lost
}

// Classify takes the outcome of an attempt on item; status is that of the answer, where there is one.
func (work *Tracker) Classify(item Item, outcome request.Outcome, status int) Decision {
	if work.ended[item.Number] {
		return Failure // a late answer; Record drops it
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
		return Retry // the system's doing, not the item's
	}
	work.attempts[item.Number]++
	if work.attempts[item.Number] >= MaxAttempts {
		return Failure
	}
	return Retry
}

// Record takes the outcome of an item; it reports false for one whose outcome is known already.
func (work *Tracker) Record(result Result) (recorded bool) {
	if work.ended[result.Number] {
		return false
	}
	work.ended[result.Number] = true
	work.results = append(work.results, result)
	return true
}

// Complete reports whether every item has its outcome.
func (work *Tracker) Complete() bool { return len(work.ended) == work.total }

// Uncommitted returns the number of outcomes that are not in the store yet.
func (work *Tracker) Uncommitted() int { return len(work.results) }

// Commit is a write of a segment's progress.
type Commit struct {
	Segment openaibatch.Segment // as it will be
	Chunk   openaibatch.Chunk   // where Results go; meaningless without any
	Results []Result
}

// PrepareCommit returns the write that commits the outcomes known so far and marks started items as sent.
func (work *Tracker) PrepareCommit(started ...int) Commit {
	next := work.Segment
	if len(started) > 0 {
		next.Started = next.Started.With(started...)
	}
	checkpoint := Commit{Results: work.firstPart()}
	if len(checkpoint.Results) > 0 {
		checkpoint.Chunk = openaibatch.Chunk{Epoch: next.Epoch, Number: len(next.Chunks)}
		next.Chunks = append(next.Chunks[:len(next.Chunks):len(next.Chunks)], checkpoint.Chunk)
	}
	for _, result := range checkpoint.Results {
		next.Finished = next.Finished.With(result.Number)
		if result.Succeeded {
			next.Counts.Completed++
		} else {
			next.Counts.Failed++
		}
	}
	next.Done = work.Complete() && len(checkpoint.Results) == len(work.results)
	checkpoint.Segment = next
	return checkpoint
}

// firstPart returns the oldest uncommitted results that fit into one write, at least one.
func (work *Tracker) firstPart() []Result {
	size := 0
	for i, result := range work.results {
		size += len(result.Line)
		if size > maxPartBytes && i > 0 {
			return work.results[:i]
		}
	}
	return work.results
}

// ApplyCommit takes a checkpoint that is in the store.
func (work *Tracker) ApplyCommit(checkpoint Commit) {
	work.Segment = checkpoint.Segment
	work.results = work.results[len(checkpoint.Results):]
}
