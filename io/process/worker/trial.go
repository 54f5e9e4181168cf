package worker

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/io/process/node"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const (
	claimDelay      = 250 * time.Millisecond // between two checks whether a trial has been claimed
	maxKnownTrials  = 4096                   // bounds the memory
	claimRetryDelay = time.Second            // after the store did not answer a claim
)

// trial is a run of a quarantined item that this worker has claimed, or tried to.
type trial struct {
	ends    int       // number of the trial: of the engine ends before it, without those of copies that ran at the same time
	spent   int       // trials that reached an engine and neither completed nor ended it
	item    string    // ID of the item that runs
	claimed bool      // the trial belongs to this worker
	from    time.Time // the item may run from this time on; zero while it may not
	retryAt time.Time // the trial may be claimed again, also for another item, from this time on; zero while it need not be
}

// withhold keeps an item from running, or gives it up, if it is quarantined and has no trial. It reports whether it did.
func (worker *Worker) withhold(ctx context.Context, now time.Time, itemRun jobrunner.ItemRun) (withheld bool) {
	quarantines, _ := worker.Node.Quarantines(func() poisonpill.Content { return worker.contentOf(itemRun) }, fleet.Engine{})
	if len(quarantines) == 0 && len(worker.trials) > 0 {
		delete(worker.trials, fingerprintOf(itemRun)) // a later quarantine has trials of its own
	}
	for _, quarantine := range quarantines {
		until := quarantine.ItemTrial
		if !now.Before(until) {
			if worker.mayTry(ctx, now, itemRun.Item.ID, quarantine) {
				continue
			}
			until = now.Add(claimDelay)
		}
		abandoned := worker.runner.Withhold(now, itemRun, until)
		if until.Equal(quarantine.ItemTrial) || abandoned {
			worker.Log.Info("item withheld", zap.String("job", itemRun.Job.ID), zap.String("request", itemRun.Item.ID), zap.Stringer("fingerprint", quarantine.Fingerprint),
				zap.String("part", quarantine.Part), zap.Int("ends", len(quarantine.Ends)), zap.Time("until", until), zap.Bool("abandoned", abandoned))
		}
		return true
	}
	return false
}

// mayTry reports whether an item may run now as the next trial of a quarantine. Until it has been claimed, mayTry claims the trial in
// the background.
func (worker *Worker) mayTry(ctx context.Context, now time.Time, item string, quarantine poisonpill.Quarantine) (allowed bool) {
	fingerprint, ends := quarantine.Fingerprint, quarantine.TrialNumber
	known := worker.trials[fingerprint]
	if known != nil && known.ends == ends {
		if known.item == item && !known.from.IsZero() {
			return !now.Before(known.from)
		}
		if known.retryAt.IsZero() || now.Before(known.retryAt) {
			return false
		}
	}
	if len(worker.trials) >= maxKnownTrials {
		clear(worker.trials)
	}
	claim := &trial{ends: ends, item: item}
	if known != nil {
		claim.spent = max(0, known.spent-(ends-known.ends)) // a spent trial whose engine had ended counts as an end
	}
	worker.trials[fingerprint] = claim
	go func() {
		err := worker.Node.ClaimTrial(ctx, fingerprint, ends+claim.spent)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, node.ErrTrialSpent) {
			time.Sleep(claimRetryDelay)
		}
		worker.actions <- func() {
			switch {
			case err == nil:
				// Another item may use the trial from then on: this one's job may end before it runs.
				claim.claimed, claim.from, claim.retryAt = true, time.Now(), time.Now().Add(node.TrialLifetime)
			case errors.Is(err, node.ErrTrialSpent):
				claim.spent++
				claim.retryAt = time.Now()
			case errors.Is(err, store.ErrConflict):
				claim.retryAt = time.Now().Add(node.TrialLifetime)
			default:
				claim.retryAt = time.Now()
			}
			worker.Log.Info("trial claimed", zap.String("request", item), zap.Stringer("fingerprint", fingerprint), zap.String("part", quarantine.Part), zap.Int("ends", ends), telemetry.Err(err))
		}
	}()
	return false
}

// trialsOf returns the latest trials that an item was to run as.
func (worker *Worker) trialsOf(itemRun jobrunner.ItemRun) (trials []*trial) {
	if len(worker.trials) == 0 {
		return nil
	}
	content := worker.contentOf(itemRun)
	fingerprints := []poisonpill.Fingerprint{content.Request}
	for _, part := range content.Parts {
		fingerprints = append(fingerprints, part.Fingerprint)
	}
	for _, fingerprint := range fingerprints {
		if known := worker.trials[fingerprint]; known != nil && known.item == itemRun.Item.ID {
			trials = append(trials, known)
		}
	}
	return trials
}

// beginTrial records that a run begins, which is a trial if its item has one.
func (worker *Worker) beginTrial(itemRun jobrunner.ItemRun) {
	for _, known := range worker.trialsOf(itemRun) {
		known.from = time.Time{}
	}
}

// returnTrial lets the item of a trial run again at once if no engine ran it. A trial that reached an engine and neither
// completed nor ended it, as far as is known by then, counts as spent, and the next one may be claimed later.
func (worker *Worker) returnTrial(run *activeRun, outcome jobrunner.Outcome) {
	for _, known := range worker.trialsOf(run.itemRun) {
		if !known.claimed {
			continue
		}
		switch outcome {
		case jobrunner.NotExecuted, jobrunner.Preempted:
			known.from = time.Now()
		case jobrunner.Interrupted, jobrunner.Errored:
			known.spent++
			known.retryAt = time.Now().Add(node.TrialLifetime)
		case jobrunner.Finished, jobrunner.Invalid: // the item has its result
		}
	}
}
