package jobrunner

import (
	"cmp"
	"time"
)

// Urgency is how an item stands against the time by which its job is due.
type Urgency uint8

// Urgencies, in the order in which items run.
const (
	Endangered Urgency = iota // the item is late if it has to wait for long
	Ordinary                  // there is time, or the expected work is not known
	Hopeless                  // the item is late at any engine
)

var urgencyNames = [...]string{"endangered", "ordinary", "hopeless"}

// String returns the name of the urgency in logs and metrics.
func (urgency Urgency) String() string { return urgencyNames[urgency] }

const (
	resultTime = time.Second // until a result is written and known to all processes, at least
	// urgentMargin is by how much items may take longer than expected: lengths and engines vary, and items wait during peaks.
	urgentMargin = 2.0
	// fastestShare is the share of the time at a usual engine that work takes at the fastest ones, at the least.
	fastestShare = 0.4
	// pauseRise and pauseFall are the weights of the latest wait of a stopped item if it is above and below what is known: four of five waits
	// are no longer than the result.
	pauseRise = 0.2
	pauseFall = 0.05
	maxPause  = 10 * time.Second // of a wait that counts: longer ones are due to a lack of engines
	// expectationAge is the age from which on the expected work of a waiting item is computed anew, as lengths and speeds become known.
	expectationAge = time.Second
)

// UrgencyOf returns the urgency of an item with expected work, in time at a usual engine; 0 means that the work is not known. pause is how
// long an item waits if it is stopped.
func UrgencyOf(now, due time.Time, work, pause time.Duration) Urgency {
	left := (due.Sub(now) - resultTime).Seconds()
	switch {
	case work <= 0 || due.IsZero():
		return Ordinary
	case left < fastestShare*work.Seconds():
		return Hopeless
	case left < urgentMargin*work.Seconds()+pause.Seconds():
		return Endangered
	}
	return Ordinary
}

// Pause returns how long items wait lately from when they are stopped until they go on; 0 if none was stopped. Most wait no longer.
func (runner *Runner) Pause() time.Duration { return runner.pause }

// RecordStart records that the run that Next returned starts.
func (runner *Runner) RecordStart(now time.Time, run ItemRun) {
	item := runner.findItem(run)
	if item == nil || item.stoppedAt.IsZero() {
		return
	}
	wait, weight := min(now.Sub(item.stoppedAt), maxPause), pauseFall
	if wait > runner.pause {
		weight = pauseRise
	}
	runner.pause += time.Duration(weight * float64(wait-runner.pause))
	item.stoppedAt = time.Time{}
}

// RunningItem describes a run that may be stopped to free its slot.
type RunningItem struct {
	Due     time.Time
	Started time.Time
	Work    time.Duration // expected when the run started, in time at a usual engine; 0 means unknown
	Pause   time.Duration // for which it would wait, see Runner.Pause
}

// remaining returns the work that is left.
func (running RunningItem) remaining(now time.Time) time.Duration {
	if running.Work <= 0 {
		return 0
	}
	return max(running.Work-now.Sub(running.Started), time.Millisecond)
}

// Urgency returns the urgency of the run.
func (running RunningItem) Urgency(now time.Time) Urgency {
	return UrgencyOf(now, running.Due, running.remaining(now), running.Pause)
}

// StopsBefore reports whether a run is to be stopped rather than another one at the same engine: one that is late anyway, else one with
// time, and the endangered one with the least time last. Among those with time, the youngest has the least of its slot to lose, and the
// others are about to free theirs.
func (running RunningItem) StopsBefore(now time.Time, other RunningItem) bool {
	work, otherWork := running.remaining(now), other.remaining(now)
	urgency, otherUrgency := running.Urgency(now), other.Urgency(now)
	if urgency != otherUrgency {
		return urgency > otherUrgency
	}
	if urgency == Endangered {
		if order := running.Due.Add(-work).Compare(other.Due.Add(-otherWork)); order != 0 {
			return order > 0
		}
	}
	return running.Started.After(other.Started)
}

// contender is an item that may run next.
type contender struct {
	job     *job
	item    *item
	urgency Urgency
	latest  time.Time // start from which on the item is expected to be late
	share   float64   // items of its account that run here, relative to its weight
}

// shareOf returns how many items of a job's account run here, relative to its weight.
func (runner *Runner) shareOf(job *job, running map[string]int) (share float64) {
	share = float64(running[job.Account])
	if runner.Weight != nil && job.Account != "" {
		share /= runner.Weight(job.Account)
	}
	return share
}

// contenderOf returns an item that may run next.
func (runner *Runner) contenderOf(now time.Time, job *job, item *item, share float64) (added contender) {
	if runner.Expect != nil && (item.expectedAt.IsZero() || item.expectedFrom != len(item.progress.Data) || now.Sub(item.expectedAt) >= expectationAge) {
		item.expected, item.expectedFrom, item.expectedAt = runner.Expect(job.Job, item.Item, len(item.progress.Data)), len(item.progress.Data), now
	}
	return contender{job: job, item: item, urgency: UrgencyOf(now, job.Due, item.expected, runner.pause), latest: job.Due.Add(-item.expected), share: share}
}

// runsBefore reports whether a contender is to run before another one.
func (added contender) runsBefore(other contender) bool {
	// An item that crashes its engines must not delay the other items.
	if order := cmp.Compare(added.item.interruptions, other.item.interruptions); order != 0 {
		return order < 0
	}
	// A large job of one account must not delay the jobs of others.
	if order := cmp.Compare(added.share, other.share); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(added.urgency, other.urgency); order != 0 {
		return order < 0
	}
	if added.urgency == Endangered {
		if order := added.latest.Compare(other.latest); order != 0 {
			return order < 0
		}
	}
	if order := added.job.Due.Compare(other.job.Due); order != 0 {
		return order < 0
	}
	if added.job != other.job {
		return added.job.ID < other.job.ID
	}
	return len(added.item.progress.Data) > len(other.item.progress.Data)
}
