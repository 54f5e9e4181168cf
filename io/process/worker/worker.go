package worker

import (
	"context"
	"encoding/json"
	"maps"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/coordination/placement"
	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/process/node"
	"cowslipway/io/store"
	"cowslipway/io/transport/upstream"

	"cowslipway/io/process/telemetry"
)

const (
	tickInterval     = 20 * time.Millisecond  // between two checks for free slots; an item holds a slot for 5 s
	scanInterval     = 100 * time.Millisecond // between two scans of all jobs
	commitInterval   = 300 * time.Millisecond // shortest time between two commits of results that are nearly due
	commitRetryDelay = 150 * time.Millisecond
	// shutdownMargin is the time between the end of the last calls to the store and SIGKILL, or half of the grace period if
	// that is shorter.
	shutdownMargin  = 1500 * time.Millisecond
	handOverTimeout = 3 * time.Second
	// buildPatience is how long an item that cannot go on at the build that began its output waits, before it starts anew elsewhere.
	buildPatience   = 3 * time.Second
	maxRunningItems = 512 // bounds the memory and file descriptors of the process
)

// Worker runs batch jobs on one VM. The fields Node and Log must be set before Run is called.
type Worker struct {
	Node *node.Node
	Log  *zap.Logger

	runner        jobrunner.Runner
	ownedJobs     atomic.Int64 // number of jobs in runner, for the metrics
	running       map[*activeRun]bool
	actions       chan action
	claiming      map[string]bool // jobs that are being claimed or whose progress is being read
	completed     map[string]bool // jobs whose last results are committed but not in the view yet
	committing    bool            // a commit of results is in progress
	committedAt   time.Time       // end of the last commit; earlier after a failed commit, which is retried after commitRetryDelay
	scannedAt     time.Time
	stopping      bool
	sweptAt       time.Time
	checkpoints   checkpointFiles
	savedProgress jobrecord.ProgressByJob           // from the checkpoints of the previous process on this VM
	retired       map[string]bool                   // VMs whose retirement is reported or being reported
	verifying     bool                              // ownership records are being read
	verifiedAt    time.Time                         // end of the last such reading
	conflicts     map[string]jobrunner.StoredState  // of jobs that the view may show as they were before, by job ID
	refusedClaims map[string]refusedClaim           // by job ID
	trials        map[poisonpill.Fingerprint]*trial // of withheld items
	table         *routes.Table                     // by which items go to services
	tableRevision int64                             // the table was the newest at this revision of the store or later
	outputs       outputs
	awaitingRoute map[string]bool // jobs that wait for a configuration which is not older than they are
}

// action changes the state of a Worker. The goroutine that runs control runs all actions, one after the other.
type action func()

// activeRun is a run of an item in progress.
type activeRun struct {
	itemRun   jobrunner.ItemRun
	engine    fleet.Engine
	started   time.Time
	work      time.Duration    // expected when it started, in time at a usual engine; 0 means unknown
	output    *upstream.Buffer // memory of the item's output
	cancel    context.CancelFunc
	preempted bool
	dropped   bool // its job is no longer run here
}

// Run runs batch jobs until ctx ends, and then hands its jobs over and deregisters the process.
func (worker *Worker) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "running batch jobs") }()
	worker.running, worker.claiming, worker.completed = map[*activeRun]bool{}, map[string]bool{}, map[string]bool{}
	worker.retired, worker.conflicts = map[string]bool{}, map[string]jobrunner.StoredState{}
	worker.trials, worker.refusedClaims = map[poisonpill.Fingerprint]*trial{}, map[string]refusedClaim{}
	worker.actions = make(chan action, 256)
	worker.runner.Expect, worker.runner.Weight, worker.runner.Lane = worker.orderingWork, worker.accountWeight, worker.serviceOf
	worker.outputs = outputs{}
	worker.runner.Attempts, worker.awaitingRoute = worker.maxAttempts, map[string]bool{}
	worker.runner.MaxChunkBytes = int(worker.Node.Settings.MaxRecordBytes)
	worker.checkpoints = checkpointFiles{directory: worker.Node.Settings.DataDirectory, log: worker.Log}
	worker.savedProgress = worker.checkpoints.open()
	telemetry.JobsOwned.Set(func() float64 { return float64(worker.ownedJobs.Load()) })
	worker.Node.Preempt = func(preemptions map[uint64]int) {
		select {
		case worker.actions <- func() { worker.preempt(preemptions) }:
		default: // the next tick of the node requests the preemption again
		}
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return worker.Node.Run(runCtx) })
	group.Go(func() error {
		worker.control(runCtx, ctx.Done())
		cancel()
		return nil
	})
	return group.Wait()
}

// control runs actions and ticks until ctx ends, or until stop is closed and the jobs are handed over. Only its goroutine
// uses the unexported fields of worker, except actions, ownedJobs and checkpoints.
func (worker *Worker) control(ctx context.Context, stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			worker.shutdown(ctx)
			return
		case action := <-worker.actions:
			action()
		case now := <-ticker.C:
			worker.tick(ctx, now)
		}
	}
}

// tick starts items, writes results and scans the jobs when that is due.
func (worker *Worker) tick(ctx context.Context, now time.Time) {
	if now.Sub(worker.scannedAt) >= scanInterval {
		worker.scannedAt = now
		worker.scan(ctx)
		worker.verifyOwnership(ctx, now)
	}
	worker.startItems(ctx, now)
	worker.commitIfDue(ctx, now)
	worker.ownedJobs.Store(int64(worker.runner.Len()))
}

// scan adopts, claims and drops jobs according to the view of the store, and handles retirements and ended jobs.
func (worker *Worker) scan(ctx context.Context) {
	if !worker.useTable() {
		return
	}
	workers := worker.Node.Members(fleet.WorkerRole)
	liveWorkers := map[string]bool{}
	for _, member := range workers {
		liveWorkers[member.ID()] = true
	}
	self := worker.Node.Self().ID()
	var toAdopt, toClaim []jobrecord.View
	var toDrop []string
	conflicts := map[string]jobrunner.StoredState{} // without those of jobs that the view no longer has
	refused := map[string]refusedClaim{}            // without those of epochs that have ended
	worker.Node.EachJob(func(id string, view jobrecord.View) bool {
		if state, ok := worker.conflicts[id]; ok && !state.ShownBy(view) {
			conflicts[id] = state
		}
		if claim, ok := worker.refusedClaims[id]; ok && claim.epoch == view.Ownership.Epoch {
			refused[id] = claim
		}
		epoch := worker.runner.Epoch(id)
		switch {
		case view.Job == nil:
		case view.Ownership.Ended || view.Ownership.Epoch > epoch && epoch != 0 && view.Ownership.Owner != self:
			if epoch != 0 {
				toDrop = append(toDrop, id)
			}
		case len(view.Results) >= len(view.Job.Items):
			delete(worker.completed, id)
		case epoch != 0 || worker.claiming[id] || worker.completed[id] || worker.stopping:
		case view.Ownership.Owner == self:
			if state, ok := worker.conflicts[id]; !ok || state.ShownBy(view) {
				toAdopt = append(toAdopt, view)
			}
		case refused[id].pauses(worker.scannedAt):
		case !liveWorkers[view.Ownership.Owner] && liveWorkers[self] && jobrunner.NextOwner(id, view.Ownership.Owner, workers) == self:
			toClaim = append(toClaim, view)
		}
		return true
	})
	worker.conflicts, worker.refusedClaims = conflicts, refused
	maps.DeleteFunc(worker.awaitingRoute, func(id string, _ bool) bool {
		view, _, _ := worker.Node.JobView(id)
		return view.Job == nil || view.Ownership.Ended
	})
	for _, id := range toDrop {
		worker.drop(id, "the job has ended or is owned by another process")
	}
	for _, view := range toAdopt {
		switch {
		case worker.awaitsRoute(view.Job):
		case view.Ownership.HasProgress:
			worker.adoptWithProgress(ctx, view)
		default:
			worker.adopt(view, nil)
		}
	}
	for _, view := range toClaim {
		worker.claim(ctx, view)
	}
	worker.abandonOverdue(worker.scannedAt)
	worker.handleRetirements(ctx, workers)
	worker.sweep(ctx, time.Now(), workers)
}

// adopt starts to run a job that this process owns, from the progress of the former owner and that on the disk of this VM.
func (worker *Worker) adopt(view jobrecord.View, progress map[string]jobrecord.Progress) {
	progress = mergeProgress(progress, worker.savedProgress[view.Job.ID])
	delete(worker.savedProgress, view.Job.ID)
	worker.runner.Add(view, progress)
	worker.Log.Info("job adopted", zap.String("job", view.Job.ID), zap.Int64("epoch", view.Ownership.Epoch), zap.Int("written", len(view.Results)),
		zap.Int("items", len(view.Job.Items)), zap.Int("begun", len(progress)))
}

// mergeProgress merges two records of the progress of a job's items. Of an item in both it keeps the one with more events.
func mergeProgress(first, second map[string]jobrecord.Progress) (merged map[string]jobrecord.Progress) {
	merged = map[string]jobrecord.Progress{}
	maps.Copy(merged, first)
	for id, progress := range second {
		if len(progress.Data) > len(merged[id].Data) {
			merged[id] = progress
		}
	}
	return merged
}

// drop removes a job that this process must not run any longer, and cancels its running items.
func (worker *Worker) drop(id, reason string) {
	worker.runner.Remove(id)
	worker.releaseJob(id)
	worker.Log.Info("job dropped", zap.String("job", id), zap.String("reason", reason))
	for run := range worker.running {
		if run.itemRun.Job.ID == id {
			run.dropped = true
			run.cancel()
		}
	}
}

// claim makes this process the owner of a job whose owner is not live. A scan adopts the job once the view shows the new
// owner, since the view then also shows all results that the former owner has written.
func (worker *Worker) claim(ctx context.Context, view jobrecord.View) {
	id := view.Job.ID
	worker.claiming[id] = true
	go func() {
		key := worker.Node.Records.OwnKey(jobrecord.OwnershipKey(id))
		value, err := jobrecord.Encode(view.Ownership.WithOwner(worker.Node.Self().ID()))
		epoch := int64(0)
		if err == nil {
			epoch, _, err = worker.Node.Store.Commit(ctx, store.Txn{
				Conditions: []store.Condition{{Key: key, Revision: view.Ownership.Epoch}},
				Writes:     []store.Write{{Key: key, Value: value}},
			})
		}
		worker.actions <- func() {
			delete(worker.claiming, id)
			worker.recordClaim(id, view.Ownership.Epoch, err)
			worker.Log.Info("job claimed", zap.String("job", id), zap.String("owner", view.Ownership.Owner), zap.Int64("epoch", epoch), telemetry.Err(err))
		}
	}()
}

// adoptWithProgress reads the progress that a former owner has written to the store and then adopts the job, unless its
// ownership has changed meanwhile.
func (worker *Worker) adoptWithProgress(ctx context.Context, view jobrecord.View) {
	id := view.Job.ID
	worker.claiming[id] = true
	go func() {
		progress := worker.readProgress(ctx, id)
		worker.actions <- func() {
			delete(worker.claiming, id)
			if latest, ok, _ := worker.Node.JobView(id); ok && latest.Ownership.Epoch == view.Ownership.Epoch && worker.runner.Epoch(id) == 0 {
				worker.adopt(latest.View, progress)
			}
		}
	}()
}

// readProgress returns the progress that a former owner has written to the store; nil where it can't be read, and the
// items are then retried from the start.
func (worker *Worker) readProgress(ctx context.Context, id string) (progress map[string]jobrecord.Progress) {
	record, ok, err := worker.Node.Store.Get(ctx, worker.Node.Records.OwnKey(progressKey(id)))
	if err == nil && ok {
		err = json.Unmarshal(record.Value, &progress)
	}
	if err != nil {
		worker.Log.Warn("progress of a job not read; its items start anew", zap.String("job", id), telemetry.Err(err))
		return nil
	}
	return progress
}

// progressKey returns the name of the record with the progress of a job's items.
func progressKey(id string) string { return "progress/" + id }

// startItems starts items while engines have free slots, and reports to the node whether items wait for one.
func (worker *Worker) startItems(ctx context.Context, now time.Time) {
	backlog := false
	if worker.useTable() && !worker.stopping {
		backlog = worker.runner.StartItems(now, maxRunningItems-len(worker.running), func(itemRun jobrunner.ItemRun) jobrunner.Started {
			return worker.tryItem(ctx, now, itemRun)
		})
	}
	worker.Node.SetBatchBacklog(backlog)
}

// useTable makes items go by the newest routing table that is known. It reports whether there is one.
func (worker *Worker) useTable() (ok bool) {
	table, revision := worker.Node.Routing()
	worker.tableRevision = revision
	if table != worker.table {
		worker.table = table
		worker.runner.ResetLanes()
	}
	return table != nil
}

// routeOf returns the route of a job. An item belongs to the route of its job, whatever its own path.
func (worker *Worker) routeOf(job *jobrecord.Job) (route routes.Route, ok bool) {
	return worker.table.Match(job.Host, job.Path)
}

// awaitsRoute reports whether the routing table lacks the route of a job, and may do so because it is older than the job: the configuration
// is listed before the jobs, and while the store is slow seconds pass between the two.
func (worker *Worker) awaitsRoute(job *jobrecord.Job) (awaits bool) {
	_, found := worker.routeOf(job)
	awaits = !found && worker.tableRevision < job.Revision
	switch {
	case !awaits:
		delete(worker.awaitingRoute, job.ID)
	case !worker.awaitingRoute[job.ID]:
		worker.awaitingRoute[job.ID] = true
		worker.Log.Info("job waits for its route", zap.String("job", job.ID), zap.Int64("revision", job.Revision),
			zap.Int64("configuration", worker.table.Version), zap.Int64("configuration_revision", worker.tableRevision))
	}
	return awaits
}

// maxAttempts returns how many runs of an item of a job may end with an error, and false if the routing table may be older than the job.
func (worker *Worker) maxAttempts(job *jobrecord.Job) (limit int, known bool) {
	route, found := worker.routeOf(job)
	return route.MaxAttempts, found && worker.tableRevision >= job.Revision
}

// serviceOf returns the service that runs an item, or nothing if its job has no route.
func (worker *Worker) serviceOf(job *jobrecord.Job, item jobrecord.Item) (service string) {
	route, _ := worker.routeOf(job)
	return route.SelectService(item.ID)
}

// tryItem starts an item if an engine of its service has a free slot.
func (worker *Worker) tryItem(ctx context.Context, now time.Time, itemRun jobrunner.ItemRun) (started jobrunner.Started) {
	if worker.awaitsRoute(itemRun.Job) {
		worker.runner.Postpone(now, itemRun)
		return jobrunner.Deferred
	}
	if _, ok := worker.routeOf(itemRun.Job); !ok {
		worker.runner.FailItem(itemRun)
		worker.Log.Info("item given up: its job has no route", zap.String("job", itemRun.Job.ID), zap.String("request", itemRun.Item.ID), zap.Int64("revision", itemRun.Job.Revision),
			zap.Int64("configuration", worker.table.Version), zap.Int64("configuration_revision", worker.tableRevision))
		return jobrunner.Deferred
	}
	if err := requestOf(itemRun).Validate(); err != nil { // accepted by an older process
		worker.runner.FailItem(itemRun)
		worker.Log.Warn("item given up: it is no valid request", zap.String("job", itemRun.Job.ID), zap.String("request", itemRun.Item.ID), telemetry.Err(err))
		return jobrunner.Deferred
	}
	if worker.withhold(ctx, now, itemRun) {
		return jobrunner.Deferred
	}
	request := placement.Request{Service: itemRun.Lane, Domain: worker.Node.Settings.FailureDomain, Due: itemRun.Job.Due}
	request.Work = worker.expectItem(itemRun.Job, itemRun.Item, len(itemRun.Progress.Data))
	if itemRun.Progress.LastEventID != "" {
		itemRun, request.Version = worker.resumeAt(itemRun, request.Service)
	}
	stalled := request.Version != "" && itemRun.Stalled >= buildPatience
	if stalled {
		request.Version = ""
	}
	engine, ok := worker.Node.AcquireBatch(request)
	switch {
	case !ok && request.Version != "":
		worker.runner.AwaitBuild(now, itemRun)
		return jobrunner.Awaiting // other items may go to engines of other versions
	case !ok:
		return jobrunner.NoSlot
	case stalled && engine.Build() != itemRun.Progress.Build:
		itemRun = worker.restartItem(itemRun, "it could not go on at the software version that began it")
	}
	worker.startItem(ctx, itemRun, engine)
	return jobrunner.Running
}

// abandonOverdue gives up the items whose service has no engine, and whose job has reached the time after which its items may be abandoned.
func (worker *Worker) abandonOverdue(now time.Time) {
	abandoned := worker.runner.AbandonOverdue(now, worker.Node.HasEngines)
	for _, result := range abandoned {
		worker.Log.Info("item given up: its service has no engine", zap.String("request", result.ID))
	}
}

// resumeAt returns the software version at which the output of an item may go on. If there is none, the item starts from the beginning,
// at any version.
func (worker *Worker) resumeAt(itemRun jobrunner.ItemRun, service string) (run jobrunner.ItemRun, version string) {
	build := itemRun.Progress.Build
	switch {
	case build.Service != service: // also progress that an older process saved without a build
		return worker.restartItem(itemRun, "its service is another one, or not known"), ""
	case !worker.Node.Serves(build):
		return worker.restartItem(itemRun, "no engine has the software version that began it"), ""
	}
	return itemRun, build.Version
}

// restartItem discards the progress of an item.
func (worker *Worker) restartItem(itemRun jobrunner.ItemRun, reason string) (run jobrunner.ItemRun) {
	worker.Log.Info("item starts anew", zap.String("job", itemRun.Job.ID), zap.String("request", itemRun.Item.ID), zap.Int("events", len(itemRun.Progress.Data)),
		zap.String("service", itemRun.Progress.Build.Service), zap.String("software", itemRun.Progress.Build.Version), zap.String("reason", reason))
	worker.outputs.release(itemRun)
	return worker.runner.Restart(itemRun)
}

// startItem runs an item at engine in a new goroutine.
func (worker *Worker) startItem(ctx context.Context, itemRun jobrunner.ItemRun, engine fleet.Engine) {
	ctx, cancel := context.WithCancel(ctx)
	work := worker.orderingWork(itemRun.Job, itemRun.Item, len(itemRun.Progress.Data))
	run := &activeRun{itemRun: itemRun, engine: engine, started: time.Now(), work: work, cancel: cancel, output: worker.outputs.of(itemRun)}
	run.output.Pool = worker.Node.Upstream.Memory
	worker.running[run] = true
	worker.beginTrial(itemRun)
	worker.runner.RecordStart(run.started, itemRun)
	go func() {
		outcome, progress, cause := worker.runItem(ctx, itemRun, engine, run.output)
		cancel()
		worker.actions <- func() { worker.runEnded(run, outcome, progress, cause) }
	}()
}

// runEnded releases the slot of a run that has ended and passes the result of the run to the runner.
func (worker *Worker) runEnded(run *activeRun, outcome jobrunner.Outcome, progress jobrecord.Progress, cause error) {
	delete(worker.running, run)
	worker.Node.Release(run.engine, true)
	if run.preempted {
		outcome = outcome.AfterPreemption()
	}
	switch outcome {
	case jobrunner.Finished, jobrunner.Invalid:
		worker.Node.RecordSuccess(run.engine)
	case jobrunner.Errored:
		worker.Node.RecordErrorResponse(run.engine)
	case jobrunner.Interrupted:
		if !run.dropped && !errors.Is(cause, upstream.ErrNoRoom) { // the engine may be sound
			worker.Node.RecordFailure(run.engine)
		}
	case jobrunner.Preempted, jobrunner.NotExecuted: // a preemption is no failure, and runItem has recorded that an engine did not execute the item
	}
	telemetry.Items.Add(outcome.String(), 1)
	telemetry.ItemTime.Observe(outcome.String(), time.Since(run.started))
	telemetry.EngineResults.Add(run.engine.ID+" item "+outcome.String(), 1)
	worker.returnTrial(run, outcome)
	worker.Log.Info("item run", zap.String("job", run.itemRun.Job.ID), zap.String("request", run.itemRun.Item.ID), zap.String("engine", run.engine.ID),
		zap.Stringer("verdict", outcome), zap.Int("events", len(progress.Data)), zap.Duration("took", time.Since(run.started)), telemetry.NamedErr("cause", cause), fingerprintField(run.itemRun, outcome))
	switch {
	case run.dropped:
		run.output.Release()
	case outcome == jobrunner.Finished, outcome == jobrunner.Invalid:
		worker.outputs.release(run.itemRun)
	default:
		worker.outputs.settle(run.itemRun, progress)
	}
	worker.runner.RecordOutcome(time.Now(), run.itemRun, outcome, progress)
}

// fingerprintField returns the log field with the fingerprint of an item after an interrupted run, and no field after any
// other run.
func fingerprintField(itemRun jobrunner.ItemRun, outcome jobrunner.Outcome) zap.Field {
	if outcome != jobrunner.Interrupted {
		return zap.Skip()
	}
	return zap.Stringer("fingerprint", fingerprintOf(itemRun))
}

// commitIfDue starts a commit of results if there are uncommitted ones that are due, or the process stops, no commit is in progress
// and commitInterval has passed since the last one.
func (worker *Worker) commitIfDue(ctx context.Context, now time.Time) {
	if worker.committing || now.Sub(worker.committedAt) < commitInterval || !worker.runner.HasUncommittedResults() || !worker.stopping && !worker.runner.CommitDue(now) {
		return
	}
	chunks := worker.runner.PrepareCommit(now)
	if len(chunks) == 0 {
		return // the store refuses what is left
	}
	txn, err := worker.resultsTxn(chunks)
	if err != nil {
		worker.Log.Error("results could not be encoded", telemetry.Err(err))
		return
	}
	worker.committing = true
	go func() {
		_, current, err := worker.Node.Store.Commit(ctx, txn)
		worker.actions <- func() { worker.commitEnded(txn, current, err) }
	}()
}

// resultsTxn returns the transaction that writes chunks if their jobs still have the epochs of this process and no chunk
// with the same number exists.
func (worker *Worker) resultsTxn(chunks []jobrunner.ChunkWrite) (txn store.Txn, err error) {
	for _, chunk := range chunks {
		value, err := jobrecord.Encode(chunk.Chunk)
		if err != nil {
			return txn, err
		}
		chunkKey := worker.Node.Records.OwnKey(jobrecord.ChunkKey(chunk.Job, chunk.Number))
		ownershipKey := worker.Node.Records.OwnKey(jobrecord.OwnershipKey(chunk.Job))
		txn.Conditions = append(txn.Conditions, store.Condition{Key: ownershipKey, Revision: chunk.Epoch}, store.Condition{Key: chunkKey})
		txn.Writes = append(txn.Writes, store.Write{Key: chunkKey, Value: value})
	}
	return txn, nil
}

// commitEnded handles the outcome of a commit. If a condition of txn failed, current holds the records under the keys of all
// its conditions.
func (worker *Worker) commitEnded(txn store.Txn, current []store.Item, err error) {
	worker.committing, worker.committedAt = false, time.Now()
	switch {
	case err == nil:
		for _, id := range worker.runner.ApplyCommit() {
			worker.completed[id] = true
			worker.releaseJob(id)
			worker.Log.Info("job complete", zap.String("job", id))
		}
	case errors.Is(err, store.ErrConflict):
		records := map[string]store.Item{}
		for _, record := range current {
			records[record.Key] = record
		}
		values := map[string]string{}
		for _, write := range txn.Writes {
			values[write.Key] = string(write.Value)
		}
		dropped := worker.runner.ResolveConflict(func(chunk jobrunner.ChunkWrite) (written, owned bool) {
			chunkKey := worker.Node.Records.OwnKey(jobrecord.ChunkKey(chunk.Job, chunk.Number))
			ownershipKey := worker.Node.Records.OwnKey(jobrecord.OwnershipKey(chunk.Job))
			written = records[chunkKey].Revision != 0 && string(records[chunkKey].Value) == values[chunkKey]
			owned = records[ownershipKey].Revision == chunk.Epoch && (written || records[chunkKey].Revision == 0)
			if !owned {
				state := jobrunner.StoredState{Epoch: records[ownershipKey].Revision}
				if records[chunkKey].Revision != 0 {
					state.Chunks = chunk.Number + 1
				}
				worker.conflicts[chunk.Job] = state
			}
			return written, owned
		})
		for _, id := range dropped {
			worker.drop(id, "its epoch has ended")
		}
	case errors.Is(err, store.ErrRefused):
		worker.runner.RefuseCommit(time.Now())
		for _, write := range txn.Writes {
			worker.Log.Error("results refused", zap.String("key", write.Key), zap.Int("bytes", len(write.Value)), zap.Int("writes", len(txn.Writes)), telemetry.Err(err))
		}
	default:
		// The same transaction is sent again. Its conditions allow only one of the two to take effect.
		worker.Log.Warn("results not written yet", zap.Int("writes", len(txn.Writes)), telemetry.Err(err))
		worker.committedAt = time.Now().Add(commitRetryDelay - commitInterval)
	}
}
