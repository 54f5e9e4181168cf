package worker

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/process/node"
	"cowslipway/io/store"

	"cowslipway/io/process/telemetry"
)

const (
	lookPeriod    = 20 * time.Millisecond  // between two looks for free slots; an item holds one for 5 s
	scanPeriod    = 100 * time.Millisecond // between two looks at all jobs
	commitPeriod  = 300 * time.Millisecond // results are gathered for that long, to save calls
	commitRetry   = 150 * time.Millisecond
	stopMargin    = 1500 * time.Millisecond // of the grace period, for the last calls to the store
	handoverLimit = 3 * time.Second
	maxRunning    = 512 // runs at a time: the process's memory and descriptors
)

// Worker runs batch jobs on one VM.
type Worker struct {
	Node *node.Node
	Log  *zap.Logger

	runner   jobrunner.Runner
	owned    atomic.Int64 // jobs of the runner, for the metrics
	running  map[*run]bool
	events   chan event
	claiming map[string]bool
	complete map[string]bool // jobs whose last results are written, until the view shows them
	writing  bool
	wroteAt  time.Time
	scanned  time.Time
	stopping bool
	sweptAt  time.Time
	kept     checkpoints
	left     jobrecord.ProgressByJob // by a former process on this VM
	retired  map[string]bool         // VMs that were reported as empty
}

// event changes the control state; all of them are carried out by one goroutine.
type event func()

// run is a run of an item that is under way.
type run struct {
	work      jobrunner.Work
	engine    fleet.Engine
	began     time.Time
	cancel    context.CancelFunc
	preempted bool
}

// Run works until ctx ends, and then hands its jobs over.
func (worker *Worker) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "running batch jobs") }()
	worker.running, worker.claiming, worker.complete = map[*run]bool{}, map[string]bool{}, map[string]bool{}
	worker.retired = map[string]bool{}
	worker.events = make(chan event, 256)
	worker.kept = checkpoints{directory: worker.Node.Settings.DataDirectory, log: worker.Log}
	worker.left = worker.kept.open()
	telemetry.JobsOwned.Set(func() float64 { return float64(worker.owned.Load()) })
	worker.Node.Preempt = func(preemptions map[uint64]int) {
		select {
		case worker.events <- func() { worker.preempt(preemptions) }:
		default: // the next look will tell again
		}
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return worker.Node.Run(running) })
	group.Go(func() error {
		worker.control(running, ctx.Done())
		cancel()
		return nil
	})
	return group.Wait()
}

// control owns the control state until stop is closed and the jobs are handed over, or ctx ends.
func (worker *Worker) control(ctx context.Context, stop <-chan struct{}) {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			worker.stop(ctx)
			return
		case event := <-worker.events:
			event()
		case now := <-ticker.C:
			worker.look(ctx, now)
		}
	}
}

func (worker *Worker) look(ctx context.Context, now time.Time) {
	if now.Sub(worker.scanned) >= scanPeriod {
		worker.scanned = now
		worker.scan(ctx)
	}
	worker.admit(ctx, now)
	worker.flush(ctx, now)
	worker.owned.Store(int64(worker.runner.Len()))
}

// scan compares the jobs that are run with the view of the store.
func (worker *Worker) scan(ctx context.Context) {
	table := worker.Node.Table()
	if table == nil {
		return
	}
	workers := worker.Node.Members(fleet.WorkerRole)
	live := map[string]bool{}
	for _, member := range workers {
		live[member.ID()] = true
	}
	self := worker.Node.Self().ID()
	var adopt, claim []jobrecord.View
	var drop []string
	worker.Node.EachJob(func(id string, view jobrecord.View) bool {
		epoch := worker.runner.Epoch(id)
		switch {
		case view.Job == nil:
		case view.Ownership.Ended || view.Ownership.Epoch > epoch && epoch != 0 && view.Ownership.Owner != self:
			if epoch != 0 {
				drop = append(drop, id)
			}
		case len(view.Results) >= len(view.Job.Items):
			delete(worker.complete, id)
		case epoch != 0 || worker.claiming[id] || worker.complete[id] || worker.stopping:
		case view.Ownership.Owner == self:
			adopt = append(adopt, view)
		case !live[view.Ownership.Owner] && live[self] && jobrunner.NextOwner(id, view.Ownership.Owner, workers) == self:
			claim = append(claim, view)
		}
		return true
	})
	for _, id := range drop {
		worker.drop(id, "ended or owned by another process")
	}
	for _, view := range adopt {
		if view.Ownership.HasProgress {
			worker.adoptBegun(ctx, table, view)
		} else {
			worker.adopt(table, view, nil)
		}
	}
	for _, view := range claim {
		worker.claim(ctx, view)
	}
	worker.retire(ctx, workers)
	worker.sweep(ctx, time.Now(), workers)
}

func (worker *Worker) adopt(table *routes.Table, view jobrecord.View, progress map[string]jobrecord.Progress) {
	progress = further(progress, worker.left[view.Job.ID])
	delete(worker.left, view.Job.ID)
	route, _ := table.Match(view.Job.Host, view.Job.Path)
	worker.runner.Adopt(view, route.MaxAttempts, progress)
	worker.Log.Info("job adopted", zap.String("job", view.Job.ID), zap.Int64("epoch", view.Ownership.Epoch), zap.Int("written", len(view.Results)),
		zap.Int("items", len(view.Job.Items)), zap.Int("begun", len(progress)))
}

// further joins what two sources know of the progress of a job's items.
func further(one, other map[string]jobrecord.Progress) (joined map[string]jobrecord.Progress) {
	joined = map[string]jobrecord.Progress{}
	maps.Copy(joined, one)
	for id, progress := range other {
		if len(progress.Data) > len(joined[id].Data) {
			joined[id] = progress
		}
	}
	return joined
}

// drop stops the items of a job that is not to be run here any more.
func (worker *Worker) drop(id, reason string) {
	worker.runner.Drop(id)
	worker.Log.Info("job dropped", zap.String("job", id), zap.String("reason", reason))
	for run := range worker.running {
		if run.work.Job.ID == id {
			run.cancel()
		}
	}
}

// claim records this process as the owner of a job whose owner is gone. The job is adopted once the view shows that:
// it then also shows all that the former owner has written.
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
		worker.events <- func() {
			delete(worker.claiming, id)
			worker.Log.Info("job claimed", zap.String("job", id), zap.String("owner", view.Ownership.Owner), zap.Int64("epoch", epoch), telemetry.Err(err))
		}
	}()
}

// adoptBegun reads the progress that a former owner has left before it adopts a job.
func (worker *Worker) adoptBegun(ctx context.Context, table *routes.Table, view jobrecord.View) {
	id := view.Job.ID
	worker.claiming[id] = true
	go func() {
		progress := worker.readProgress(ctx, id)
		worker.events <- func() {
			delete(worker.claiming, id)
			if current, ok, _ := worker.Node.JobView(id); ok && current.Ownership.Epoch == view.Ownership.Epoch && worker.runner.Epoch(id) == 0 {
				worker.adopt(table, current, progress)
			}
		}
	}()
}

// readProgress returns what a former owner left of begun items; without it they start anew.
func (worker *Worker) readProgress(ctx context.Context, id string) (progress map[string]jobrecord.Progress) {
	item, ok, err := worker.Node.Store.Get(ctx, worker.Node.Records.OwnKey(progressKey(id)))
	if err == nil && ok {
		err = json.Unmarshal(item.Value, &progress)
	}
	if err != nil {
		worker.Log.Warn("progress of a job not read; its items start anew", zap.String("job", id), telemetry.Err(err))
		return nil
	}
	return progress
}

func progressKey(id string) string { return "progress/" + id }

// admit starts items while engines have room, and tells the others whether some have to wait.
func (worker *Worker) admit(ctx context.Context, now time.Time) {
	hungry := false
	table := worker.Node.Table()
	for table != nil && len(worker.running) < maxRunning && !worker.stopping {
		work, ok := worker.runner.Next(now)
		if !ok {
			break
		}
		route, ok := table.Match(work.Job.Host, work.Item.Path)
		if !ok {
			worker.runner.Reject(work)
			worker.Log.Info("item given up: it has no route", zap.String("job", work.Job.ID), zap.String("request", work.Item.ID), zap.Int64("configuration", table.Version))
			continue
		}
		engine, ok := worker.Node.AcquireBatch(placement.Want{Service: route.SelectService(work.Item.ID), Domain: worker.Node.Settings.FailureDomain})
		if !ok {
			worker.runner.Unstart(work)
			hungry = true
			break
		}
		worker.start(ctx, work, engine)
	}
	worker.Node.SetBatchBacklog(hungry)
}

func (worker *Worker) start(ctx context.Context, work jobrunner.Work, engine fleet.Engine) {
	ctx, cancel := context.WithCancel(ctx)
	run := &run{work: work, engine: engine, began: time.Now(), cancel: cancel}
	worker.running[run] = true
	go func() {
		verdict, progress, cause := worker.runItem(ctx, work, engine)
		cancel()
		worker.events <- func() { worker.ended(run, verdict, progress, cause) }
	}()
}

func (worker *Worker) ended(run *run, verdict jobrunner.Verdict, progress jobrecord.Progress, cause error) {
	delete(worker.running, run)
	worker.Node.Release(run.engine, true)
	if run.preempted {
		verdict = jobrunner.Preempted
	}
	switch verdict {
	case jobrunner.Finished, jobrunner.Rejected, jobrunner.Errored:
		worker.Node.RecordSuccess(run.engine)
	case jobrunner.Broken:
		worker.Node.RecordFailure(run.engine)
	case jobrunner.Preempted, jobrunner.Refused: // a refusal is taken in where it comes
	}
	telemetry.Items.Add(verdict.String(), 1)
	telemetry.ItemTime.Observe(verdict.String(), time.Since(run.began))
	telemetry.EngineResults.Add(run.engine.ID+" item "+verdict.String(), 1)
	worker.Log.Info("item run", zap.String("job", run.work.Job.ID), zap.String("request", run.work.Item.ID), zap.String("engine", run.engine.ID),
		zap.Stringer("verdict", verdict), zap.Int("events", len(progress.Data)), zap.Duration("took", time.Since(run.began)), telemetry.Cause("cause", cause))
	worker.runner.Ended(time.Now(), run.work, verdict, progress)
}

// preempt cuts the youngest runs at engines that have more work than slots.
func (worker *Worker) preempt(preemptions map[uint64]int) {
	wanted := maps.Clone(preemptions)
	crowded := map[uint64][]*run{} // runs at the engines, but for those that are cut already
	for run := range worker.running {
		digest := run.engine.Digest()
		if _, ok := wanted[digest]; !ok {
			continue
		}
		if run.preempted {
			wanted[digest]-- // its slot will be free at once
			continue
		}
		crowded[digest] = append(crowded[digest], run)
	}
	for digest, runs := range crowded {
		slices.SortFunc(runs, func(a, b *run) int { return b.began.Compare(a.began) })
		for _, run := range runs[:min(len(runs), max(0, wanted[digest]))] {
			run.preempted = true
			run.cancel()
		}
	}
}

// flush writes results that wait.
func (worker *Worker) flush(ctx context.Context, now time.Time) {
	if worker.writing || now.Sub(worker.wroteAt) < commitPeriod || !worker.runner.Unwritten() {
		return
	}
	parts := worker.runner.Commit()
	txn, err := worker.resultsTxn(parts)
	if err != nil {
		worker.Log.Error("results could not be encoded", telemetry.Err(err))
		return
	}
	worker.writing = true
	go func() {
		_, current, err := worker.Node.Store.Commit(ctx, txn)
		worker.events <- func() { worker.wrote(txn, current, err) }
	}()
}

func (worker *Worker) resultsTxn(parts []jobrunner.Part) (txn store.Txn, err error) {
	for _, part := range parts {
		value, err := jobrecord.Encode(part.Chunk)
		if err != nil {
			return txn, err
		}
		key := worker.Node.Records.OwnKey(jobrecord.ChunkKey(part.Job, part.Number))
		owner := worker.Node.Records.OwnKey(jobrecord.OwnershipKey(part.Job))
		txn.Conditions = append(txn.Conditions, store.Condition{Key: owner, Revision: part.Epoch}, store.Condition{Key: key})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
	}
	return txn, nil
}

// wrote takes in what became of a write of results.
func (worker *Worker) wrote(txn store.Txn, current []store.Item, err error) {
	worker.writing, worker.wroteAt = false, time.Now()
	switch {
	case err == nil:
		for _, id := range worker.runner.Committed() {
			worker.complete[id] = true
			worker.Log.Info("job complete", zap.String("job", id))
		}
	case errors.Is(err, store.ErrConflict):
		found := map[string]store.Item{}
		for _, item := range current {
			found[item.Key] = item
		}
		values := map[string]string{}
		for _, write := range txn.Writes {
			values[write.Key] = string(write.Value)
		}
		dropped := worker.runner.Conflicted(func(part jobrunner.Part) (written, owned bool) {
			chunk := worker.Node.Records.OwnKey(jobrecord.ChunkKey(part.Job, part.Number))
			owner := worker.Node.Records.OwnKey(jobrecord.OwnershipKey(part.Job))
			written = found[chunk].Revision != 0 && string(found[chunk].Value) == values[chunk]
			owned = found[owner].Revision == part.Epoch && (written || found[chunk].Revision == 0)
			return written, owned
		})
		for _, id := range dropped {
			worker.drop(id, "its epoch is over")
		}
	default:
		// The same write is sent again: whether the first one took effect or not, only one can.
		worker.Log.Warn("results not written yet", zap.Int("writes", len(txn.Writes)), telemetry.Err(err))
		worker.wroteAt = time.Now().Add(commitRetry - commitPeriod)
	}
}
