package worker

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/io/store"

	"cowslipway/io/process/telemetry"
)

// stop hands the jobs over and deregisters, within the grace period.
func (worker *Worker) stop(ctx context.Context) {
	grace := worker.Node.Settings.GracePeriod.Duration()
	ctx, cancel := context.WithTimeout(ctx, max(grace/2, grace-stopMargin))
	defer cancel()
	worker.Log.Info("stopping", zap.Int("jobs", worker.runner.Len()))
	worker.handOver(ctx)
	worker.Node.Deregister(ctx)
	worker.Log.Info("stopped")
}

// retire empties this VM where the operator asks for it, and answers for VMs on which no worker lives: their jobs go to
// others by themselves, and nothing else that lasts is on them.
func (worker *Worker) retire(ctx context.Context, workers []fleet.Member) {
	if worker.stopping {
		return
	}
	self := worker.Node.Self()
	for _, name := range worker.Node.RetiringVMs() {
		alive := slices.ContainsFunc(workers, func(member fleet.Member) bool { return member.Name == name })
		switch {
		case worker.retired[name]:
		case name == self.Name:
			worker.retired[name] = true
			worker.Log.Info("retiring")
			worker.handOver(ctx)
			go worker.reportRetirement(ctx, name)
			return
		case !alive && jobrunner.PreferredOwner(name, workers) == self.ID():
			worker.retired[name] = true
			go worker.reportRetirement(ctx, name)
		}
	}
}

// reportRetirement tells the operator that a VM is empty.
func (worker *Worker) reportRetirement(ctx context.Context, name string) {
	key, value := worker.Node.Records.RetirementStatus(name, true)
	for ctx.Err() == nil {
		_, _, err := worker.Node.Store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
		if err == nil {
			worker.Log.Info("retired", zap.String("retired_vm", name))
			return
		}
		worker.Log.Warn("retirement not reported yet", zap.String("retired_vm", name), telemetry.Err(err))
		select {
		case <-ctx.Done():
		case <-time.After(commitRetry):
		}
	}
}

// handOver cuts the running items, writes what is finished and gives the jobs to other workers, with the progress
// of their items. It carries out events itself, since the control loop is inside it.
func (worker *Worker) handOver(ctx context.Context) {
	worker.stopping = true
	worker.Node.AnnounceLeaving()
	limited, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for run := range worker.running {
		run.preempted = true
		run.cancel()
	}
	for limited.Err() == nil && (len(worker.running) > 0 || worker.writing || worker.runner.Unwritten() || len(worker.claiming) > 0) {
		worker.flush(limited, time.Now().Add(commitPeriod))
		worker.await(limited, lookPeriod)
	}
	for _, id := range worker.runner.IDs() {
		if err := worker.transfer(limited, id); err != nil {
			worker.Log.Warn("job not handed over; it goes to another worker when the lease ends", zap.String("job", id), telemetry.Err(err))
			continue
		}
		worker.Log.Info("job handed over", zap.String("job", id))
		worker.runner.Drop(id)
	}
}

// await carries out events for a while.
func (worker *Worker) await(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case event := <-worker.events:
			event()
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// transfer records another worker as the owner of a job, and the progress of its items beside.
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
	progress, err := jobrecord.Encode(worker.runner.Unfinished(id))
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
