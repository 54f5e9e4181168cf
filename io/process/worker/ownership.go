package worker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/jobrecord"
	"cowslipway/io/process/telemetry"
)

const (
	// maxOwnershipAge is the age of the view above which it does not show whether jobs are still to be run. No item may start later
	// than 3 s after the end of its job was acknowledged.
	maxOwnershipAge   = 1500 * time.Millisecond
	ownershipInterval = time.Second // between two readings of all ownership records
	maxOwnershipCalls = 8           // at once
)

// verifyOwnership reads from the store whether the jobs that this process runs are still its own, while its view is too old to show it.
func (worker *Worker) verifyOwnership(ctx context.Context, now time.Time) {
	if worker.verifying || now.Sub(worker.verifiedAt) < ownershipInterval || worker.Node.ViewAge() <= maxOwnershipAge {
		return
	}
	epochs := map[string]int64{}
	for _, id := range worker.runner.IDs() {
		epochs[id] = worker.runner.Epoch(id)
	}
	worker.verifying = true
	go func() {
		stored := worker.readEpochs(ctx, epochs)
		worker.actions <- func() {
			worker.verifying, worker.verifiedAt = false, time.Now()
			for id, epoch := range stored {
				if epoch != epochs[id] && worker.runner.Epoch(id) == epochs[id] {
					worker.conflicts[id] = jobrunner.StoredState{Epoch: epoch}
					worker.drop(id, "its epoch has ended")
				}
			}
		}
	}()
}

// readEpochs returns the epochs that the store has for the given jobs, by job ID; 0 if there is no ownership record. Jobs whose record
// can't be read are left out: they go on while the store does not answer.
func (worker *Worker) readEpochs(ctx context.Context, jobs map[string]int64) (stored map[string]int64) {
	stored = map[string]int64{}
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxOwnershipCalls)
	for id := range jobs {
		group.Go(func() error {
			record, _, err := worker.Node.Store.Get(ctx, worker.Node.Records.OwnKey(jobrecord.OwnershipKey(id)))
			if err != nil {
				worker.Log.Info("ownership not verified", zap.String("job", id), zap.Duration("view_age", worker.Node.ViewAge()), telemetry.Err(err))
				return nil
			}
			mutex.Lock()
			defer mutex.Unlock()
			stored[id] = record.Revision
			return nil
		})
	}
	_ = group.Wait() // the calls return no errors
	return stored
}
