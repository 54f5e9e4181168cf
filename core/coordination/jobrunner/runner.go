package jobrunner

import (
	"cmp"
	"slices"
	"time"

	"cowslipway/core/state/jobrecord"
)

const (
	retryDelay           = 50 * time.Millisecond  // a full engine is likely to have a free slot after that time
	baseInterruptedDelay = 200 * time.Millisecond // first retry delay of an item whose run was interrupted without a new event
	maxInterruptedDelay  = 5 * time.Second        // a crashed engine is back after some seconds
	buildDelay           = 100 * time.Millisecond // until an item is tried again whose build has no free slot
	routeDelay           = 100 * time.Millisecond // until an item is tried again whose route is not known
	baseRefusedDelay     = time.Second            // until results are committed again that the store refused
	maxRefusedDelay      = 30 * time.Second
	maxCommitChunks      = 10        // each takes 3 of the 32 conditions and writes that a transaction may have
	maxCommitBytes       = 900 << 10 // total encoded size of the texts in one transaction
	defaultChunkBytes    = 1 << 20
)

// ItemRun is one run of an item at an engine.
type ItemRun struct {
	Job      *jobrecord.Job
	Item     jobrecord.Item
	Progress jobrecord.Progress // from the item's earlier runs; the run resumes after its last event
	Excluded []uint64           // digests of engines at which the item failed
	Stalled  time.Duration      // time for which the item could not go on after that event
	Urgency  Urgency
	Lane     string // see Runner.Lane
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	Finished    Outcome = iota // the engine sent the complete output
	Invalid                    // the engine reported that the item can never succeed
	Errored                    // the engine reported an error
	NotExecuted                // the engine did not execute the item
	Interrupted                // the run ended before the output was complete
	Preempted                  // the run was cancelled to free its slot for an online request
)

var outcomeNames = [...]string{"finished", "rejected", "errored", "refused", "broken", "preempted"}

// String returns the name of the outcome in logs and metrics.
func (outcome Outcome) String() string { return outcomeNames[outcome] }

// AfterPreemption returns the outcome of a run that was cancelled to free its slot. A run that had ended by itself, before the
// cancellation reached it, keeps its outcome.
func (outcome Outcome) AfterPreemption() Outcome {
	if outcome == Interrupted {
		return Preempted
	}
	return outcome
}

// item is an item of a job that the process owns.
type item struct {
	jobrecord.Item

	progress       jobrecord.Progress
	running        bool
	done           bool      // it has a result, committed or not
	errorResponses int       // runs that ended as Errored
	interruptions  int       // consecutive runs that ended as Interrupted without a new event
	notBefore      time.Time // earliest start of the next run
	stalledSince   time.Time // since when the item has had no new event although it has begun; zero if it has not begun, or goes on
	stoppedAt      time.Time // when its latest run was stopped to free the slot, if it has not run since
	expected       time.Duration
	expectedFrom   int       // events that the item had when expected was computed
	expectedAt     time.Time // when expected was computed
	lane           string
	laneKnown      int // Runner.laneCount when lane was computed, plus 1; 0 if it was not
}

// job is a job that the process owns.
type job struct {
	*jobrecord.Job

	epoch       int64
	nextChunk   int // number of the next chunk
	items       []*item
	uncommitted int             // items without a committed result
	pending     []pendingResult // results that are not committed yet
	refusals    int             // consecutive commits that the store refused
	commitAfter time.Time       // earliest next commit after a refusal
}

// pendingResult is a result, or a part of one, that is not committed yet.
type pendingResult struct {
	jobrecord.Result

	number int // Runner.resultCount when it was added

	size int  // when it is encoded, at most
	text int  // size of the encoded text
	part int  // number of the part, from 0
	more bool // the text goes on in the next part
}

// isPart reports whether the result has a chunk of its own.
func (pending pendingResult) isPart() bool { return pending.part > 0 || pending.more }

// ChunkWrite is a chunk of results of one job, to be written only if the job's ownership record still has the epoch.
type ChunkWrite struct {
	Job    string // job ID
	Epoch  int64
	Number int // number of the chunk within the job, from 0
	Chunk  jobrecord.Chunk
}

// Runner holds the jobs that a process owns. It must not be used concurrently.
type Runner struct {
	// Expect returns the expected work of an item beyond the events that it has had, in time at a usual engine; 0 means unknown. If Expect
	// is nil, no work is known.
	Expect func(job *jobrecord.Job, item jobrecord.Item, events int) time.Duration
	// Attempts returns how many runs of an item may end as Errored before the item fails, and false while that is not known. If it is nil, no
	// number is known.
	Attempts      func(job *jobrecord.Job) (limit int, known bool)
	Weight        func(account string) float64 // share of an account relative to those of others, above 0; nil for equal shares
	MaxChunkBytes int                          // size that an encoded chunk may have; 0 for the default

	// Lane returns whose slots an item competes for, which is its service. Items of a lane without a slot don't hold up those of other lanes.
	// It is called again after ResetLanes. If Lane is nil, all items are in one lane.
	Lane func(job *jobrecord.Job, item jobrecord.Item) string

	laneCount    int             // calls of ResetLanes
	jobs         map[string]*job // by ID
	pendingSince time.Time       // since when the oldest uncommitted results wait; zero if there are none
	resultCount  int             // results added so far
	pause        time.Duration   // see Pause
	inFlight     []ChunkWrite    // chunks of the current commit, which is sent again unchanged until its result is known
}

// Add adds a claimed job as it is in the store, with the progress that a previous owner saved. A job whose results are all written is not
// added.
func (runner *Runner) Add(view jobrecord.View, progress map[string]jobrecord.Progress) {
	if runner.jobs == nil {
		runner.jobs = map[string]*job{}
	}
	written := map[string]bool{}
	for _, result := range view.Results {
		written[result.ID] = true
	}
	added := &job{Job: view.Job, epoch: view.Ownership.Epoch, nextChunk: view.Chunks}
	for _, record := range view.Job.Items {
		added.items = append(added.items, &item{Item: record, done: written[record.ID], progress: progress[record.ID]})
		if !written[record.ID] {
			added.uncommitted++
		}
	}
	if added.uncommitted > 0 {
		runner.jobs[view.Job.ID] = added
	}
}

// Epoch returns the epoch under which a job is run, or 0 if this process does not run it.
func (runner *Runner) Epoch(id string) int64 {
	if job, ok := runner.jobs[id]; ok {
		return job.epoch
	}
	return 0
}

// IDs returns the IDs of all jobs, sorted.
func (runner *Runner) IDs() (ids []string) {
	for id := range runner.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Len returns the number of jobs.
func (runner *Runner) Len() int { return len(runner.jobs) }

// Remove removes a job that has ended or that another process owns.
func (runner *Runner) Remove(id string) { delete(runner.jobs, id) }

// Next returns a run of the item to run next and marks the item as running. Items with the fewest interruptions come first, among them
// those of the account with the fewest running items for its weight, then those that can still be in time, the endangered ones first, those
// of the job with the earliest due time, and the items with the most progress. Items of the blocked lanes are left out. It returns
// false if no item can be run at the given time.
func (runner *Runner) Next(now time.Time, blocked map[string]bool) (run ItemRun, ok bool) {
	var chosen contender
	running := runner.runningByAccount()
	for _, job := range runner.jobs {
		share := runner.shareOf(job, running)
		for _, item := range job.items {
			if item.running || item.done || now.Before(item.notBefore) || len(blocked) > 0 && blocked[runner.laneOf(job, item)] {
				continue
			}
			if added := runner.contenderOf(now, job, item, share); chosen.item == nil || added.runsBefore(chosen) {
				chosen = added
			}
		}
	}
	if chosen.item == nil {
		return run, false
	}
	chosen.item.running = true
	run = ItemRun{Job: chosen.job.Job, Item: chosen.item.Item, Progress: chosen.item.progress, Urgency: chosen.urgency, Lane: runner.laneOf(chosen.job, chosen.item)}
	if !chosen.item.stalledSince.IsZero() {
		run.Stalled = now.Sub(chosen.item.stalledSince)
	}
	return run, true
}

// runningByAccount returns how many items of each account run here. Jobs without an account count as those of one more.
func (runner *Runner) runningByAccount() (running map[string]int) {
	running = map[string]int{}
	for _, job := range runner.jobs {
		for _, item := range job.items {
			if item.running {
				running[job.Account]++
			}
		}
	}
	return running
}

// Requeue makes an item that Next returned available again because no engine could take it.
func (runner *Runner) Requeue(run ItemRun) {
	if item := runner.findItem(run); item != nil {
		item.running = false
	}
}

// Withhold keeps the item of a run that Next returned from running until a time, since engines have ended under it. It gives
// the item up if the job has reached the time after which its items may be abandoned, and reports that.
func (runner *Runner) Withhold(now time.Time, run ItemRun, until time.Time) (abandoned bool) {
	item := runner.findItem(run)
	if item == nil {
		return false
	}
	item.running = false
	job := runner.jobs[run.Job.ID]
	if !now.Before(job.AbandonAfter) {
		runner.addResult(job, item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
		return true
	}
	item.notBefore = until
	if job.AbandonAfter.Before(until) {
		item.notBefore = job.AbandonAfter
	}
	return false
}

// AwaitBuild makes an item that Next returned available again after a while, because no engine of the build of its progress could take
// it.
func (runner *Runner) AwaitBuild(now time.Time, run ItemRun) {
	if item := runner.findItem(run); item != nil {
		item.running, item.notBefore = false, now.Add(buildDelay)
		item.stall(now)
	}
}

// stall records that an item could not go on.
func (item *item) stall(now time.Time) {
	if item.progress.LastEventID != "" && item.stalledSince.IsZero() {
		item.stalledSince = now
	}
}

// Restart discards the progress of an item that Next returned, and returns its run from the start.
func (runner *Runner) Restart(run ItemRun) (restarted ItemRun) {
	if item := runner.findItem(run); item != nil {
		item.progress, item.stalledSince = jobrecord.Progress{}, time.Time{}
	}
	run.Progress = jobrecord.Progress{}
	return run
}

// findItem returns the item of a run, or nil if the runner does not hold the run's job.
func (runner *Runner) findItem(run ItemRun) *item {
	job, ok := runner.jobs[run.Job.ID]
	if !ok || job.Job != run.Job {
		return nil
	}
	for _, item := range job.items {
		if item.ID == run.Item.ID {
			return item
		}
	}
	return nil
}

// RecordOutcome records how a run ended and the progress of the item over all its runs. It has no effect if the job was
// removed during the run.
func (runner *Runner) RecordOutcome(now time.Time, run ItemRun, outcome Outcome, progress jobrecord.Progress) {
	item := runner.findItem(run)
	if item == nil {
		return // another process owns the job by now, or the job has ended
	}
	job := runner.jobs[run.Job.ID]
	progressed := len(progress.Data) > len(item.progress.Data)
	item.running, item.progress = false, progress
	if progressed {
		item.stalledSince = time.Time{}
	} else if outcome == NotExecuted || outcome == Interrupted {
		item.stall(now)
	}
	switch outcome {
	case Finished:
		runner.addResult(job, item, jobrecord.Result{ID: item.ID, State: jobrecord.Completed, Text: joinLines(progress.Data)})
	case Invalid:
		runner.addResult(job, item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
	case Errored:
		if item.errorResponses++; runner.attemptsSpent(job, item) {
			runner.addResult(job, item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
			return
		}
		item.notBefore = now.Add(retryDelay)
	case NotExecuted:
		item.notBefore = now.Add(retryDelay)
	case Interrupted:
		if progressed {
			item.interruptions = 0
			return
		}
		item.notBefore = now.Add(min(maxInterruptedDelay, baseInterruptedDelay<<min(item.interruptions, 8)))
		item.interruptions++
	case Preempted:
		item.stoppedAt = now
	}
	if !item.done && now.After(job.AbandonAfter) {
		runner.addResult(job, item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
	}
}

// attemptsSpent reports whether as many runs of an item as are allowed have ended as Errored.
func (runner *Runner) attemptsSpent(job *job, item *item) bool {
	if runner.Attempts == nil {
		return false
	}
	limit, known := runner.Attempts(job.Job)
	return known && item.errorResponses >= limit
}

// Postpone makes an item that Next returned available again after a while, because it is not known yet whether its job still has a route.
func (runner *Runner) Postpone(now time.Time, run ItemRun) {
	if item := runner.findItem(run); item != nil {
		item.running, item.notBefore = false, now.Add(routeDelay)
	}
}

// FailItem records that the item of a run has failed without being run, for example because no route matches it.
func (runner *Runner) FailItem(run ItemRun) {
	if item := runner.findItem(run); item != nil {
		item.running = false
		runner.addResult(runner.jobs[run.Job.ID], item, jobrecord.Result{ID: item.ID, State: jobrecord.Failed})
	}
}

// addResult marks an item as done and queues its result for a commit, in parts if one chunk does not hold it.
func (runner *Runner) addResult(job *job, item *item, result jobrecord.Result) {
	item.done = true
	parts := []jobrecord.Result{result}
	if maxBytes := runner.maxChunkBytes(); result.EncodedBytes() > jobrecord.MaxResultBytes(maxBytes) {
		parts = result.Split(maxBytes)
	}
	runner.resultCount++
	for number, part := range parts {
		job.pending = append(job.pending, pendingResult{Result: part, number: runner.resultCount, size: part.EncodedBytes(), text: part.TextBytes(), part: number, more: number+1 < len(parts)})
	}
}

// maxChunkBytes returns the size that an encoded chunk may have.
func (runner *Runner) maxChunkBytes() int { return cmp.Or(runner.MaxChunkBytes, defaultChunkBytes) }

// joinLines returns the lines separated by newlines.
func joinLines(data []string) (text string) {
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

// PrepareCommit returns the chunks to be committed in one transaction, or nil if there are no uncommitted results that may be committed now. It
// returns the same chunks again until ApplyCommit, ResolveConflict or RefuseCommit is called.
func (runner *Runner) PrepareCommit(now time.Time) []ChunkWrite {
	if len(runner.inFlight) > 0 {
		return runner.inFlight
	}
	runner.pendingSince = time.Time{}
	size := 0
	for _, job := range runner.committable(now) {
		if len(runner.inFlight) == maxCommitChunks {
			break
		}
		if job.refusals > 0 && len(runner.inFlight) > 0 {
			continue // its chunk is committed alone, so that a refusal concerns no other
		}
		chunk, textBytes := job.nextChunkOf(jobrecord.MaxResultBytes(runner.maxChunkBytes()), maxCommitBytes-size)
		if size += textBytes; size > maxCommitBytes && len(runner.inFlight) > 0 {
			break
		}
		runner.inFlight = append(runner.inFlight, ChunkWrite{Job: job.ID, Epoch: job.epoch, Number: job.nextChunk, Chunk: chunk})
		if job.refusals > 0 {
			break
		}
	}
	slices.SortFunc(runner.inFlight, func(a, b ChunkWrite) int { return cmp.Compare(a.Job, b.Job) })
	return runner.inFlight
}

// committable returns the jobs with results that may be committed now. Those whose results have waited longest come first, so that a few busy
// jobs don't hold up the others.
func (runner *Runner) committable(now time.Time) (jobs []*job) {
	for _, job := range runner.jobs {
		if len(job.pending) > 0 && !now.Before(job.commitAfter) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.pending[0].number, b.pending[0].number) })
	return jobs
}

// nextChunkOf returns the next chunk of a job with pending results, and the size of its encoded texts. If it has several results, these have at
// most maxBytes and their texts at most maxTextBytes when they are encoded.
func (job *job) nextChunkOf(maxBytes, maxTextBytes int) (chunk jobrecord.Chunk, textBytes int) {
	size := 0
	for _, result := range job.pending {
		if len(chunk.Results) > 0 && (result.isPart() || size+result.size > maxBytes || textBytes+result.text > maxTextBytes) {
			break
		}
		size, textBytes = size+result.size, textBytes+result.text
		chunk.Results = append(chunk.Results, result.Result)
		if result.isPart() {
			chunk.Part, chunk.More = result.part, result.more
			break
		}
	}
	return chunk, textBytes
}

// RefuseCommit updates the runner after the store has refused the chunks of the last PrepareCommit for what they hold. Each of their jobs is
// then committed alone, and after further refusals only now and then, so that it does not hold up the others.
func (runner *Runner) RefuseCommit(now time.Time) {
	alone := len(runner.inFlight) == 1
	for _, write := range runner.inFlight {
		job, ok := runner.jobs[write.Job]
		if !ok || job.epoch != write.Epoch {
			continue
		}
		if alone {
			job.commitAfter = now.Add(min(maxRefusedDelay, baseRefusedDelay<<min(job.refusals, 8)))
		}
		job.refusals++
	}
	runner.inFlight = nil
}

// ApplyCommit updates the runner after the store has accepted the chunks of the last PrepareCommit. It removes the jobs whose
// results are now all committed and returns their IDs.
func (runner *Runner) ApplyCommit() (complete []string) {
	for _, write := range runner.inFlight {
		if runner.markCommitted(write) {
			complete = append(complete, write.Job)
		}
	}
	runner.inFlight = nil
	return complete
}

// markCommitted records that a chunk is committed. It reports whether all results of the job are now committed, and removes
// the job then.
func (runner *Runner) markCommitted(write ChunkWrite) (complete bool) {
	job, ok := runner.jobs[write.Job]
	if !ok || job.epoch != write.Epoch {
		return false
	}
	job.nextChunk++
	job.refusals, job.commitAfter = 0, time.Time{}
	job.pending = job.pending[len(write.Chunk.Results):]
	if write.Chunk.More {
		return false
	}
	if job.uncommitted -= len(write.Chunk.Results); job.uncommitted == 0 {
		delete(runner.jobs, write.Job)
		return true
	}
	return false
}

// ResolveConflict updates the runner after the transaction with the chunks of the last PrepareCommit failed on its conditions.
// For each chunk, state reports whether an earlier attempt has written it, and whether the job's epoch is still current. Jobs
// whose epoch has ended are removed; ResolveConflict returns their IDs.
func (runner *Runner) ResolveConflict(state func(write ChunkWrite) (written, owned bool)) (removed []string) {
	writes := runner.inFlight
	runner.inFlight = nil
	for _, write := range writes {
		written, owned := state(write)
		if written {
			runner.markCommitted(write)
		}
		if !owned {
			if _, ok := runner.jobs[write.Job]; ok {
				removed = append(removed, write.Job)
				runner.Remove(write.Job)
			}
		}
	}
	return removed
}

// HasUncommittedResults reports whether there are results that are not committed yet.
func (runner *Runner) HasUncommittedResults() bool {
	if len(runner.inFlight) > 0 {
		return true
	}
	for _, job := range runner.jobs {
		if len(job.pending) > 0 {
			return true
		}
	}
	return false
}

// UnfinishedProgress returns the progress of a job's unfinished items by item ID, for the next owner. It is nil for an unknown job. If all of it is
// longer than maxBytes when it is encoded, the items with the fewest events are left out, and start anew.
func (runner *Runner) UnfinishedProgress(id string, maxBytes int) (progress map[string]jobrecord.Progress) {
	job, ok := runner.jobs[id]
	if !ok {
		return nil
	}
	var unfinished []*item
	for _, item := range job.items {
		if !item.done && item.progress.LastEventID != "" {
			unfinished = append(unfinished, item)
		}
	}
	slices.SortStableFunc(unfinished, func(a, b *item) int { return cmp.Compare(len(b.progress.Data), len(a.progress.Data)) })
	progress = map[string]jobrecord.Progress{}
	size := len("{}")
	for _, item := range unfinished {
		entry, err := jobrecord.Encode(map[string]jobrecord.Progress{item.ID: item.progress})
		if err != nil || size+len(entry) > maxBytes {
			continue
		}
		size += len(entry)
		progress[item.ID] = item.progress
	}
	return progress
}
