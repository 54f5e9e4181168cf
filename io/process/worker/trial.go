package worker

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/coordination/poisonpill"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const (
	claimDelay      = 250 * time.Millisecond // between two checks whether a trial has been claimed
	lostTrialDelay  = 15 * time.Second       // after a trial that neither completed nor ended its engine, or was not run
	maxKnownTrials  = 4096                   // bounds the memory
	claimRetryDelay = time.Second            // after the store did not answer a claim
)

// trial is a run of a quarantined item that this worker has claimed, or tried to.
type trial struct {
	ends    int       // number of engine ends at the time of the claim
	item    string    // ID of the item that runs
	claimed bool      // the trial belongs to this worker
	from    time.Time // the item may run from this time on; zero while it may not
	retryAt time.Time // the trial may be claimed again from this time on; zero unless another process has claimed it
}

// withhold keeps an item from running, or gives it up, if it is quarantined and has no trial. It reports whether it did.
func (worker *Worker) withhold(ctx context.Context, now time.Time, itemRun jobrunner.ItemRun) (withheld bool) {
	quarantine, ok := worker.Node.Quarantined(func() poisonpill.Fingerprint { return fingerprintOf(itemRun) })
	if !ok {
		return false
	}
	fingerprint, until := fingerprintOf(itemRun), quarantine.Trial
	if !now.Before(quarantine.Trial) {
		if worker.mayTry(ctx, now, fingerprint, itemRun.Item.ID, len(quarantine.Ends)) {
			return false
		}
		until = now.Add(claimDelay)
	}
	abandoned := worker.runner.Withhold(now, itemRun, until)
	if until.Equal(quarantine.Trial) || abandoned {
		worker.Log.Info("item withheld", zap.String("job", itemRun.Job.ID), zap.String("request", itemRun.Item.ID), zap.Stringer("fingerprint", fingerprint),
			zap.Int("ends", len(quarantine.Ends)), zap.Time("until", until), zap.Bool("abandoned", abandoned))
	}
	return true
}

// mayTry reports whether an item may run now as the trial after a number of engine ends. Until it has been claimed, mayTry
// claims the trial in the background.
func (worker *Worker) mayTry(ctx context.Context, now time.Time, fingerprint poisonpill.Fingerprint, item string, ends int) (allowed bool) {
	known := worker.trials[fingerprint]
	if known != nil && known.ends == ends && (known.retryAt.IsZero() || now.Before(known.retryAt)) {
		return known.item == item && !known.from.IsZero() && !now.Before(known.from)
	}
	if len(worker.trials) >= maxKnownTrials {
		clear(worker.trials)
	}
	claim := &trial{ends: ends, item: item}
	worker.trials[fingerprint] = claim
	go func() {
		err := worker.Node.ClaimTrial(ctx, fingerprint, ends, lostTrialDelay)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			time.Sleep(claimRetryDelay)
		}
		worker.actions <- func() {
			switch {
			case err == nil:
				claim.claimed, claim.from = true, time.Now()
			case errors.Is(err, store.ErrConflict):
				claim.retryAt = time.Now().Add(lostTrialDelay)
			case worker.trials[fingerprint] == claim:
				delete(worker.trials, fingerprint) // the next check claims it again
			}
			worker.Log.Info("trial claimed", zap.String("request", item), zap.Stringer("fingerprint", fingerprint), zap.Int("ends", ends), telemetry.Err(err))
		}
	}()
	return false
}

// beginTrial records that a run begins, which is the trial of its item if the item has one.
func (worker *Worker) beginTrial(itemRun jobrunner.ItemRun) {
	if len(worker.trials) == 0 {
		return
	}
	if known := worker.trials[fingerprintOf(itemRun)]; known != nil && known.item == itemRun.Item.ID {
		known.from = time.Time{}
	}
}

// returnTrial lets the item of a trial run again if the trial showed nothing: at once if no engine ran the item, and later if
// an engine broke it off that is alive. If an engine ended, the next trial takes its place.
func (worker *Worker) returnTrial(run *activeRun, outcome jobrunner.Outcome) {
	if len(worker.trials) == 0 {
		return
	}
	known := worker.trials[fingerprintOf(run.itemRun)]
	if known == nil || !known.claimed || known.item != run.itemRun.Item.ID {
		return
	}
	switch outcome {
	case jobrunner.NotExecuted, jobrunner.Preempted:
		known.from = time.Now()
	case jobrunner.Interrupted, jobrunner.Errored:
		known.from = time.Now().Add(lostTrialDelay)
	case jobrunner.Finished, jobrunner.Invalid: // the item has its result
	}
}
