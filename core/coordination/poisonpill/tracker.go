package poisonpill

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Crash says what was lost together with a request.
type Crash uint8

// The kinds of crashes and what each adds to the score of a request that was in flight. An engine that
// dies while its daemon lives points at what it ran; a lost VM has many causes.
const (
	VMCrash     Crash = 1
	EngineCrash Crash = 2
)

const (
	isolateScore = 2
	verdictScore = 4
	// A request that has not crashed anything for so long is no suspect any more.
	suspicionLifetime = 10 * time.Minute
	// A verdict is kept for as long as callers may be expected to send the request again.
	verdictLifetime = 24 * time.Hour
)

// Tracker remembers which requests, by fingerprint of account, service and body, were in flight when a
// target crashed. A suspect is run alone; only a crash while alone can condemn it, so that requests that
// merely ran beside the cause are not condemned.
type Tracker struct {
	MaxSuspects    int
	MaxQuarantined int

	suspects *simplelru.LRU[uint64, suspicion]
	verdicts *simplelru.LRU[uint64, time.Time]
}

type suspicion struct {
	score int
	until time.Time
}

func (tracker *Tracker) init() {
	if tracker.suspects != nil {
		return
	}
	// An error would mean a size below 1.
	tracker.suspects, _ = simplelru.NewLRU[uint64, suspicion](max(tracker.MaxSuspects, 1), nil)
	tracker.verdicts, _ = simplelru.NewLRU[uint64, time.Time](max(tracker.MaxQuarantined, 1), nil)
}

// RecordCrash takes one request that was in flight at a crash; alone says that it ran isolated. It reports
// whether this condemns the request.
func (tracker *Tracker) RecordCrash(now time.Time, fingerprint uint64, crash Crash, alone bool) (condemned bool) {
	tracker.init()
	known, _ := tracker.suspects.Get(fingerprint)
	if now.After(known.until) {
		known.score = 0
	}
	if !alone {
		// Without isolation the crash can make a suspect, not more: the cause may have run beside it.
		known.score = min(known.score+int(crash), max(isolateScore, known.score))
	} else {
		known.score += int(crash)
	}
	known.until = now.Add(suspicionLifetime)
	if alone && known.score >= verdictScore {
		tracker.Quarantine(now, fingerprint)
		return true
	}
	tracker.suspects.Add(fingerprint, known)
	return false
}

// AddSuspect takes the suspicion that another daemon has; it reports whether it was news.
func (tracker *Tracker) AddSuspect(now time.Time, fingerprint uint64) (news bool) {
	tracker.init()
	if tracker.Suspect(now, fingerprint) {
		return false
	}
	tracker.suspects.Add(fingerprint, suspicion{score: isolateScore, until: now.Add(suspicionLifetime)})
	return true
}

// Quarantine records a verdict, found here or learned from another daemon; it reports whether it was news.
func (tracker *Tracker) Quarantine(now time.Time, fingerprint uint64) (news bool) {
	tracker.init()
	if tracker.Quarantined(now, fingerprint) {
		return false
	}
	tracker.suspects.Remove(fingerprint)
	tracker.verdicts.Add(fingerprint, now.Add(verdictLifetime))
	return true
}

// ClearSuspect drops the suspicion against a request that ran to its end.
func (tracker *Tracker) ClearSuspect(fingerprint uint64) {
	tracker.init()
	tracker.suspects.Remove(fingerprint)
}

// Suspect reports whether a request may only run isolated.
func (tracker *Tracker) Suspect(now time.Time, fingerprint uint64) bool {
	tracker.init()
	known, ok := tracker.suspects.Peek(fingerprint)
	return ok && known.score >= isolateScore && !now.After(known.until)
}

// Quarantined reports whether a request must not run any more.
func (tracker *Tracker) Quarantined(now time.Time, fingerprint uint64) bool {
	tracker.init()
	until, ok := tracker.verdicts.Get(fingerprint)
	return ok && !now.After(until)
}
