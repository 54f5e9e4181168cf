package worker

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/process/telemetry"
)

// expectItem returns the expected work of an item beyond the events that it has had, in time at a usual engine; 0 means unknown.
func (worker *Worker) expectItem(job *jobrecord.Job, item jobrecord.Item, events int) (work time.Duration) {
	work, _ = worker.Node.ExpectWork(worker.kindOf(job), worker.declaredOutput(jobrunner.ItemRun{Job: job, Item: item}), events)
	return work
}

// kindOf returns the kind of the items of a job, by which their usual outputs and the pace of engines are known: their route.
func (worker *Worker) kindOf(job *jobrecord.Job) (kind string) {
	table := worker.Node.Table()
	if table == nil {
		return ""
	}
	route, _ := table.Match(job.Host, job.Path)
	return route.Name
}

// orderingWork returns the expected work by which items are ordered, or 0 without client accounts: then they run by due time, and the youngest
// is stopped first.
func (worker *Worker) orderingWork(job *jobrecord.Job, item jobrecord.Item, events int) (work time.Duration) {
	if !worker.Node.Accounts().HasAccounts() {
		return 0
	}
	return worker.expectItem(job, item, events)
}

// accountWeight returns the share of a client account relative to those of others: its limit. An account without one has the share of the
// largest.
func (worker *Worker) accountWeight(name string) (weight float64) {
	const least = 0.001 // requests per second; a weight is above 0
	table := worker.Node.Table()
	if table == nil {
		return 1
	}
	index, ok := slices.BinarySearchFunc(table.Accounts, name, func(account routes.Account, name string) int { return strings.Compare(account.Name, name) })
	if ok && table.Accounts[index].Rate > 0 {
		return max(least, table.Accounts[index].Rate)
	}
	weight = least
	for _, account := range table.Accounts {
		weight = max(weight, account.Rate)
	}
	return weight
}

// preempt cancels runs at overloaded engines, those first that can wait best. preemptions holds the number of runs to cancel, by digest of
// their engine.
func (worker *Worker) preempt(preemptions map[uint64]int) {
	now, pause, remaining := time.Now(), worker.runner.Pause(), maps.Clone(preemptions)
	candidates := map[uint64][]*activeRun{} // runs that are not preempted yet, by digest of their engine
	for run := range worker.running {
		digest := run.engine.Digest()
		if _, ok := remaining[digest]; !ok {
			continue
		}
		if run.preempted {
			remaining[digest]-- // its slot is about to be released
			continue
		}
		candidates[digest] = append(candidates[digest], run)
	}
	for digest, runs := range candidates {
		slices.SortFunc(runs, func(a, b *activeRun) int {
			switch first, second := a.asRunning(pause), b.asRunning(pause); {
			case first.StopsBefore(now, second):
				return -1
			case second.StopsBefore(now, first):
				return 1
			}
			return 0
		})
		for _, run := range runs[:min(len(runs), max(0, remaining[digest]))] {
			run.preempted = true
			run.cancel()
			urgency := run.asRunning(pause).Urgency(now)
			telemetry.ItemStops.Add(urgency.String(), 1)
			worker.Log.Info("item stopped", zap.String("job", run.itemRun.Job.ID), zap.String("request", run.itemRun.Item.ID), zap.String("engine", run.engine.ID),
				zap.Stringer("urgency", urgency), zap.Duration("ran", now.Sub(run.started)), zap.Duration("work", run.work), zap.Duration("pause", pause), zap.Time("due", run.itemRun.Job.Due), zap.Int("of", len(runs)))
		}
	}
}

// asRunning describes a run for the choice of those to stop. pause is how long a stopped item waits.
func (run *activeRun) asRunning(pause time.Duration) jobrunner.RunningItem {
	return jobrunner.RunningItem{Due: run.itemRun.Job.Due, Started: run.started, Work: run.work, Pause: pause}
}
