package jobrunner

import (
	"time"

	"cowslipway/core/state/jobrecord"
)

// Started is what became of an item that was to be started.
type Started uint8

// What may become of an item that is to be started.
const (
	Running  Started = iota // it runs
	Deferred                // it waits for something else than a slot, or was given up
	Awaiting                // it waits for a slot, which others of its lane need not do
	NoSlot                  // its lane has no slot
)

// StartItems passes the items that may run to start, in the order of Next, until limit items run, none is left, or start has said of the
// lanes of all others that they have no slot. It returns whether items wait for a slot.
func (runner *Runner) StartItems(now time.Time, limit int, start func(run ItemRun) Started) (backlog bool) {
	var blocked map[string]bool
	for limit > 0 {
		run, ok := runner.Next(now, blocked)
		if !ok {
			break
		}
		switch start(run) {
		case Running:
			limit--
		case Deferred:
		case Awaiting:
			backlog = true
		case NoSlot:
			runner.Requeue(run)
			if blocked == nil {
				blocked = map[string]bool{}
			}
			blocked[run.Lane], backlog = true, true
		}
	}
	return backlog
}

// ResetLanes makes the runner call Lane again for all items.
func (runner *Runner) ResetLanes() { runner.laneCount++ }

// laneOf returns the lane of an item.
func (runner *Runner) laneOf(job *job, item *item) (lane string) {
	if runner.Lane == nil {
		return ""
	}
	if item.laneKnown != runner.laneCount+1 {
		item.lane, item.laneKnown = runner.Lane(job.Job, item.Item), runner.laneCount+1
	}
	return item.lane
}

// AbandonOverdue gives up the items that do not run, whose job has reached the time after which its items may be abandoned, and whose lane
// can't be served. It returns them.
func (runner *Runner) AbandonOverdue(now time.Time, served func(lane string) bool) (abandoned []jobrecord.Result) {
	for _, id := range runner.IDs() {
		job := runner.jobs[id]
		if !now.After(job.AbandonAfter) {
			continue
		}
		for _, item := range job.items {
			if item.running || item.done || served(runner.laneOf(job, item)) {
				continue
			}
			result := jobrecord.Result{ID: item.ID, State: jobrecord.Failed}
			runner.addResult(job, item, result)
			abandoned = append(abandoned, result)
		}
	}
	return abandoned
}
