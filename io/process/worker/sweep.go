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
	sweepPeriod = time.Second      // between two jobs that one worker sweeps: at 0.7 jobs a second in all, workers keep up
	sweepMargin = 10 * time.Second // clocks of VMs differ by up to 5 s
)

// sweep removes what an ended job has left once its results need not be kept. The ownership record stays as a mark: a late
// duplicate of the job's creation finds it.
func (worker *Worker) sweep(ctx context.Context, now time.Time, workers []fleet.Member) {
	retention := worker.Node.Settings.ResultRetention.Duration()
	if now.Sub(worker.sweptAt) < sweepPeriod || worker.stopping || retention <= 0 {
		return
	}
	var old *jobrecord.View
	worker.Node.EachJob(func(id string, view jobrecord.View) bool {
		expired := view.Job != nil && view.Ownership.Ended && now.After(view.Job.Submitted.Add(retention+sweepMargin))
		if expired && jobrunner.PreferredOwner(id, workers) == worker.Node.Self().ID() {
			old = &view
		}
		return old == nil
	})
	if old == nil {
		return
	}
	worker.sweptAt = now
	go worker.remove(ctx, *old)
}

// remove deletes a job's results first and its record last, so that what is left after a failure is found again.
func (worker *Worker) remove(ctx context.Context, view jobrecord.View) {
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
