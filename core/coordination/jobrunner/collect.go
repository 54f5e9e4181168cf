package jobrunner

import "time"

const (
	// collectTime is how long results are collected for one transaction. A crash of the process loses them, and their items run again.
	collectTime = time.Second
	// dueLead is the time before a job is due from which on its results are not collected any longer: a commit takes up to 0.5 s on a slow
	// store, and further processes know of it 0.5 s later.
	dueLead = collectTime + time.Second
)

// CommitDue reports whether the uncommitted results are to be committed now. Each call to the store is paid for, however
// little it writes, so results wait for others until one of their jobs is nearly due, or one transaction does not hold them.
func (runner *Runner) CommitDue(now time.Time) bool {
	if len(runner.inFlight) > 0 {
		return true // is sent again
	}
	chunks, size, nearlyDue := 0, 0, false
	for _, job := range runner.jobs {
		if len(job.pending) == 0 || now.Before(job.commitAfter) {
			continue
		}
		chunks++
		nearlyDue = nearlyDue || now.Add(dueLead).After(job.Due)
		for _, result := range job.pending {
			size += result.text
		}
	}
	if chunks == 0 {
		runner.pendingSince = time.Time{}
		return false
	}
	if runner.pendingSince.IsZero() {
		runner.pendingSince = now
	}
	return nearlyDue || chunks > maxCommitChunks || size >= maxCommitBytes || now.Sub(runner.pendingSince) >= collectTime
}
