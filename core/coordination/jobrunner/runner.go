package jobrunner

import (
	"cmp"
	"slices"
	"time"

	"cowslipway/core/state/jobrecord"
)

const (
	refusedPause   = 50 * time.Millisecond  // an engine that was full has a free slot by then
	brokenPause    = 200 * time.Millisecond // first pause of an item whose run broke without a further event
	brokenLimit    = 5 * time.Second        // an engine that crashed is back after some seconds
	maxTxnParts    = 10                     // three entries each of the 32 that a transaction may have
	maxCommitBytes = 900 << 10              // of results in one transaction
)

// ItemRun is one run of an item.
type ItemRun struct {
	Job      *jobrecord.Job
	Item     jobrecord.Item
	Progress jobrecord.Progress
	Excluded []uint64 // engines that failed it
}

// Outcome is how a run ended.
type Outcome uint8

// The verdicts.
const (
	Finished    Outcome = iota // the whole output is there
	Invalid                    // it can never be done
	Errored                    // the engine reports a failure
	NotExecuted                // the engine did not run it
	Interrupted                // the run broke off
	Preempted                  // it was cut to make room
)

var verdictNames = [...]string{"finished", "rejected", "errored", "refused", "broken", "preempted"}

// String returns the verdict's name.
func (verdict Outcome) String() string { return verdictNames[verdict] }

type item struct {
	jobrecord.Item

	progress  jobrecord.Progress
	running   bool
	done      bool // its result is written or about to be
	failures  int  // answers that report a failure
	broken    int  // runs in a row that broke without a further event
	notBefore time.Time
}

type job struct {
	*jobrecord.Job

	epoch       int64
	chunk       int // number of the next chunk
	items       []*item
	left        int // without a written result
	pending     []jobrecord.Result
	maxAttempts int
}

// ChunkWrite is a chunk of results of one job, to be written on condition of the job's epoch.
type ChunkWrite struct {
	Job    string
	Epoch  int64
	Number int
	Chunk  jobrecord.Chunk
}

// Runner holds the jobs that a process owns.
type Runner struct {
	jobs   map[string]*job
	commit []ChunkWrite // under way: it is sent again unchanged until its fate is known
}

// Add takes over a job as it is in the store, with the progress that a former owner has left.
func (runner *Runner) Add(view jobrecord.View, maxAttempts int, progress map[string]jobrecord.Progress) {
	if runner.jobs == nil {
		runner.jobs = map[string]*job{}
	}
	written := map[string]bool{}
	for _, result := range view.Results {
		written[result.ID] = true
	}
	adopted := &job{Job: view.Job, epoch: view.Ownership.Epoch, chunk: view.Chunks, maxAttempts: max(1, maxAttempts)}
	for _, each := range view.Job.Items {
		adopted.items = append(adopted.items, &item{Item: each, done: written[each.ID], progress: progress[each.ID]})
		if !written[each.ID] {
			adopted.left++
		}
	}
	if adopted.left > 0 {
		runner.jobs[view.Job.ID] = adopted
	}
}

// Epoch returns the epoch that a job is run under; 0 where it is not run.
func (runner *Runner) Epoch(id string) int64 {
	if job, ok := runner.jobs[id]; ok {
		return job.epoch
	}
	return 0
}

// IDs returns the jobs that are run.
func (runner *Runner) IDs() (ids []string) {
	for id := range runner.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Len returns how many jobs are run.
func (runner *Runner) Len() int { return len(runner.jobs) }

// Remove forgets a job that has ended or that another process owns.
func (runner *Runner) Remove(id string) { delete(runner.jobs, id) }

// Next returns the item to run next: of the job that is due first, those that were begun before the others. It is
// marked as running.
func (runner *Runner) Next(now time.Time) (work ItemRun, ok bool) {
	var chosen *item
	var of *job
	for _, job := range runner.jobs {
		for _, item := range job.items {
			if item.running || item.done || now.Before(item.notBefore) {
				continue
			}
			if chosen == nil || before(job, item, of, chosen) {
				chosen, of = item, job
			}
		}
	}
	if chosen == nil {
		return work, false
	}
	chosen.running = true
	return ItemRun{Job: of.Job, Item: chosen.Item, Progress: chosen.progress}, true
}

func before(job *job, item *item, other *job, than *item) bool {
	// An item that breaks its engines must not keep the others waiting.
	if order := cmp.Compare(item.broken, than.broken); order != 0 {
		return order < 0
	}
	if order := job.Due.Compare(other.Due); order != 0 {
		return order < 0
	}
	if job != other {
		return job.ID < other.ID
	}
	return len(item.progress.Data) > len(than.progress.Data)
}

// Requeue takes back a Next that found no engine.
func (runner *Runner) Requeue(work ItemRun) {
	if item := runner.find(work); item != nil {
		item.running = false
	}
}

func (runner *Runner) find(work ItemRun) *item {
	job, ok := runner.jobs[work.Job.ID]
	if !ok || job.Job != work.Job {
		return nil
	}
	for _, item := range job.items {
		if item.ID == work.Item.ID {
			return item
		}
	}
	return nil
}

// RecordOutcome takes in how a run ended, with all the progress that the item has made.
func (runner *Runner) RecordOutcome(now time.Time, work ItemRun, verdict Outcome, progress jobrecord.Progress) {
	item := runner.find(work)
	if item == nil {
		return // the job is another's by now, or has ended
	}
	job := runner.jobs[work.Job.ID]
	further := len(progress.Data) > len(item.progress.Data)
	item.running, item.progress = false, progress
	switch verdict {
	case Finished:
		job.settle(item, jobrecord.Result{ID: item.ID, State: jobrecord.Completed, Text: joined(progress.Data)})
	case Invalid:
		job.settle(item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
	case Errored:
		if item.failures++; item.failures >= job.maxAttempts {
			job.settle(item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
			return
		}
		item.notBefore = now.Add(refusedPause)
	case NotExecuted:
		item.notBefore = now.Add(refusedPause)
	case Interrupted:
		if further {
			item.broken = 0
			return
		}
		item.notBefore = now.Add(min(brokenLimit, brokenPause<<min(item.broken, 8)))
		item.broken++
	case Preempted:
	}
	if !item.done && now.After(job.AbandonAfter) {
		job.settle(item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
	}
}

// FailItem gives up the items of a job that can't be run any more, such as when its route is gone.
func (runner *Runner) FailItem(work ItemRun) {
	if item := runner.find(work); item != nil {
		item.running = false
		runner.jobs[work.Job.ID].settle(item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
	}
}

func (job *job) settle(item *item, result jobrecord.Result) {
	item.done = true
	job.pending = append(job.pending, result)
}

func joined(data []string) (text string) {
	size := 0
	for _, line := range data {
		size += len(line) + 1
	}
	buffer := make([]byte, 0, size)
	for i, line := range data {
		if i > 0 {
			buffer = append(buffer, '\n')
		}
		buffer = append(buffer, line...)
	}
	return string(buffer)
}

// NextCommit returns what is to be written now; the same again until Committed or Conflicted is called for it.
func (runner *Runner) NextCommit() []ChunkWrite {
	if len(runner.commit) > 0 {
		return runner.commit
	}
	size := 0
	for _, id := range runner.IDs() {
		job := runner.jobs[id]
		if len(job.pending) == 0 || len(runner.commit) == maxTxnParts {
			continue
		}
		taken := 0
		for _, result := range job.pending {
			if size += len(result.Text); size > maxCommitBytes && taken+len(runner.commit) > 0 {
				break
			}
			taken++
		}
		if taken == 0 {
			break
		}
		runner.commit = append(runner.commit, ChunkWrite{Job: id, Epoch: job.epoch, Number: job.chunk, Chunk: jobrecord.Chunk{Results: slices.Clone(job.pending[:taken])}})
	}
	return runner.commit
}

// Committed records that the last Commit has taken effect; it returns the jobs that have all their results.
func (runner *Runner) Committed() (complete []string) {
	for _, part := range runner.commit {
		if runner.written(part) {
			complete = append(complete, part.Job)
		}
	}
	runner.commit = nil
	return complete
}

func (runner *Runner) written(part ChunkWrite) (complete bool) {
	job, ok := runner.jobs[part.Job]
	if !ok || job.epoch != part.Epoch {
		return false
	}
	job.chunk++
	job.pending = job.pending[len(part.Chunk.Results):]
	if job.left -= len(part.Chunk.Results); job.left == 0 {
		delete(runner.jobs, part.Job)
		return true
	}
	return false
}

// Conflicted records that nothing of the last Commit took effect now; state tells for each of its parts whether an
// earlier sending of it did, and whether the epoch still holds. Jobs whose epoch is over are dropped.
func (runner *Runner) Conflicted(state func(part ChunkWrite) (written, owned bool)) (dropped []string) {
	parts := runner.commit
	runner.commit = nil
	for _, part := range parts {
		written, owned := state(part)
		if written {
			runner.written(part)
		}
		if !owned {
			if _, ok := runner.jobs[part.Job]; ok {
				dropped = append(dropped, part.Job)
				runner.Remove(part.Job)
			}
		}
	}
	return dropped
}

// HasUnwrittenResults reports whether results wait to be written.
func (runner *Runner) HasUnwrittenResults() bool {
	if len(runner.commit) > 0 {
		return true
	}
	for _, job := range runner.jobs {
		if len(job.pending) > 0 {
			return true
		}
	}
	return false
}

// UnfinishedProgress returns the progress of a job's items, for the next owner.
func (runner *Runner) UnfinishedProgress(id string) (progress map[string]jobrecord.Progress) {
	job, ok := runner.jobs[id]
	if !ok {
		return nil
	}
	progress = map[string]jobrecord.Progress{}
	for _, item := range job.items {
		if !item.done && item.progress.LastEvent != "" {
			progress[item.ID] = item.progress
		}
	}
	return progress
}
