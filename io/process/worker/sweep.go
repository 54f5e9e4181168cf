package worker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const (
	sweepInterval = time.Second      // between two jobs that a worker sweeps; 0.7 jobs/s end in the whole fleet, so even one worker keeps up
	sweepMargin   = 10 * time.Second // clocks of VMs differ by up to 5 s
)

// sweep removes the records of one ended job whose results need not be retained any longer. Its ownership record stays as
// a tombstone, so that a delayed duplicate of the job's creation conflicts with it.
func (worker *Worker) sweep(ctx context.Context, now time.Time, workers []fleet.Member) {
	retention := worker.Node.Settings.ResultRetention.Duration()
	if now.Sub(worker.sweptAt) < sweepInterval || worker.stopping || retention <= 0 {
		return
	}
	worker.sweepSuspicions(ctx, now, workers)
	var expiredJob *jobrecord.View
	worker.Node.EachJob(func(id string, view jobrecord.View) bool {
		expired := view.Job != nil && view.Ownership.Ended && now.After(view.Job.Submitted.Add(retention+sweepMargin))
		if expired && jobrunner.PreferredOwner(id, workers) == worker.Node.Self().ID() {
			expiredJob = &view
		}
		return expiredJob == nil
	})
	if expiredJob == nil {
		return
	}
	worker.sweptAt = now
	go worker.deleteRecords(ctx, *expiredJob)
}

// sweepSuspicions removes records of engine ends that no longer count. One of the workers does so for all.
func (worker *Worker) sweepSuspicions(ctx context.Context, now time.Time, workers []fleet.Member) {
	keys := worker.Node.ExpiredSuspicions(now, store.MaxTxnEntries)
	if len(keys) == 0 || jobrunner.PreferredOwner("suspicions", workers) != worker.Node.Self().ID() {
		return
	}
	worker.sweptAt = now
	go func() {
		if _, _, err := worker.Node.Store.Commit(ctx, store.Txn{Deletes: keys}); err != nil {
			worker.Log.Info("suspicions not swept yet", zap.Int("records", len(keys)), telemetry.Err(err))
		}
	}()
}

// deleteRecords deletes the progress and results of a job first and its job record last, so that a later sweep finds the job
// again after a failure.
func (worker *Worker) deleteRecords(ctx context.Context, view jobrecord.View) {
	records := worker.Node.Records
	keys := []string{records.OwnKey(progressKey(view.Job.ID))}
	for number := range view.Chunks {
		keys = append(keys, records.OwnKey(jobrecord.ChunkKey(view.Job.ID, number)))
	}
	keys = append(keys, records.OwnKey(jobrecord.JobKey(view.Job.ID)))
	for len(keys) > 0 {
		count := min(len(keys), store.MaxTxnEntries)
		if _, _, err := worker.Node.Store.Commit(ctx, store.Txn{Deletes: keys[:count]}); err != nil {
			worker.Log.Info("job not swept yet", zap.String("job", view.Job.ID), telemetry.Err(err))
			return
		}
		keys = keys[count:]
	}
	worker.Log.Info("job swept", zap.String("job", view.Job.ID), zap.Int("chunks", view.Chunks))
}
