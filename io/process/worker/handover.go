package worker

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/io/store"

	"cowslipway/io/process/telemetry"
)

// shutdown hands the jobs over and deregisters the process within the grace period.
func (worker *Worker) shutdown(ctx context.Context) {
	grace := worker.Node.Settings.GracePeriod.Duration()
	ctx, cancel := context.WithTimeout(ctx, max(grace/2, grace-shutdownMargin))
	defer cancel()
	worker.Log.Info("stopping", zap.Int("jobs", worker.runner.Len()))
	worker.handOver(ctx)
	worker.Node.Deregister(ctx)
	worker.Log.Info("stopped")
}

// handleRetirements hands the jobs of this VM over if the operator retires it, and reports the retirement of VMs without
// a live worker: other workers claim their jobs, and nothing else on those VMs has to be kept.
func (worker *Worker) handleRetirements(ctx context.Context, workers []fleet.Member) {
	if worker.stopping {
		return
	}
	self := worker.Node.Self()
	for _, name := range worker.Node.RetiringVMs() {
		hasWorker := slices.ContainsFunc(workers, func(member fleet.Member) bool { return member.Name == name })
		switch {
		case worker.retired[name]:
		case name == self.Name:
			worker.retired[name] = true
			worker.Log.Info("retiring")
			worker.handOver(ctx)
			go worker.reportRetirement(ctx, name)
			return
		case !hasWorker && jobrunner.PreferredOwner(name, workers) == self.ID():
			worker.retired[name] = true
			go worker.reportRetirement(ctx, name)
		}
	}
}

// reportRetirement writes the record which reports to the platform that a VM is retired, with retries until ctx ends or the store refuses
// the record.
func (worker *Worker) reportRetirement(ctx context.Context, name string) {
	key, value := worker.Node.Records.RetirementStatus(name, true)
	for ctx.Err() == nil {
		_, _, err := worker.Node.Store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
		if err == nil {
			worker.Log.Info("retired", zap.String("retired_vm", name))
			return
		}
		if errors.Is(err, store.ErrRefused) { // no VM has such a name
			worker.Log.Warn("retirement not reported", zap.String("retired_vm", name), telemetry.Err(err))
			return
		}
		worker.Log.Warn("retirement not reported yet", zap.String("retired_vm", name), telemetry.Err(err))
		select {
		case <-ctx.Done():
		case <-time.After(commitRetryDelay):
		}
	}
}

// handOver preempts the running items, writes the finished results and makes other workers the owners of the jobs, with
// the progress of their items. It runs the queued actions itself, since it is called from the control loop.
func (worker *Worker) handOver(ctx context.Context) {
	worker.stopping = true
	worker.Node.AnnounceLeaving()
	handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for run := range worker.running {
		run.preempted = true
		run.cancel()
	}
	for handOverCtx.Err() == nil && (len(worker.running) > 0 || worker.committing || worker.runner.HasUncommittedResults() || len(worker.claiming) > 0) {
		worker.commitIfDue(handOverCtx, time.Now().Add(commitInterval))
		worker.runActions(handOverCtx, tickInterval)
	}
	for _, id := range worker.runner.IDs() {
		if err := worker.transfer(handOverCtx, id); err != nil {
			worker.Log.Warn("job not handed over; it goes to another worker when the lease ends", zap.String("job", id), telemetry.Err(err))
			continue
		}
		worker.Log.Info("job handed over", zap.String("job", id))
		worker.runner.Remove(id)
		worker.releaseJob(id)
	}
}

// runActions runs queued actions for the given time, or until ctx ends.
func (worker *Worker) runActions(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case action := <-worker.actions:
			action()
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// transfer makes another worker the owner of a job and writes the progress of the job's items in the same transaction.
func (worker *Worker) transfer(ctx context.Context, id string) (err error) {
	view, _, _ := worker.Node.JobView(id)
	others := slices.DeleteFunc(worker.Node.Members(fleet.WorkerRole), func(member fleet.Member) bool {
		return member.Name == worker.Node.Self().Name
	})
	next := view.Ownership.WithOwner(jobrunner.PreferredOwner(id, others)).WithProgress()
	ownership, err := jobrecord.Encode(next)
	if err != nil {
		return err
	}
	progress, err := jobrecord.Encode(worker.runner.UnfinishedProgress(id, int(worker.Node.Settings.MaxRecordBytes)))
	if err != nil {
		return err
	}
	records := worker.Node.Records
	key := records.OwnKey(jobrecord.OwnershipKey(id))
	_, _, err = worker.Node.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: worker.runner.Epoch(id)}},
		Writes:     []store.Write{{Key: key, Value: ownership}, {Key: records.OwnKey(progressKey(id)), Value: progress}},
	})
	return err
}
