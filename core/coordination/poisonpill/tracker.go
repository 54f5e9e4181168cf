package poisonpill

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Crash is the kind of a crash. Its value is added to the score of the requests that were in flight.
type Crash uint8

// The kinds of crashes. An engine that crashes while its daemon keeps running was most likely crashed by a request; the
// loss of a VM has many other causes, so it counts less.
const (
	VMCrash     Crash = 1
	EngineCrash Crash = 2
)

const (
	suspectScore    = 2 // score from which a request is a suspect and runs alone
	quarantineScore = 4 // score from which a request that crashed a target while alone is quarantined

	// suspectLifetime is the time after its last crash for which a request remains a suspect.
	suspectLifetime = 10 * time.Minute
	// quarantineLifetime covers the time in which callers can be expected to send the request again.
	quarantineLifetime = 24 * time.Hour
)

// Tracker keeps scores of the requests that were in flight when a target crashed. A request is identified by its
// fingerprint, a hash of account, service and body. Suspects are run alone, and only a crash while alone can quarantine a
// request, so that requests which merely ran at the same time as the poison pill are never quarantined.
type Tracker struct {
	MaxSuspects    int
	MaxQuarantined int

	suspects    *simplelru.LRU[uint64, suspect]   // by fingerprint; includes requests whose score is still below suspectScore
	quarantined *simplelru.LRU[uint64, time.Time] // time at which the quarantine ends, by fingerprint
}

type suspect struct {
	score   int
	crashed time.Time // time of the last crash recorded here; zero if there was none
	expires time.Time
}

func (tracker *Tracker) init() {
	if tracker.suspects != nil {
		return
	}
	// NewLRU returns an error only for a size below 1.
	tracker.suspects, _ = simplelru.NewLRU[uint64, suspect](max(tracker.MaxSuspects, 1), nil)
	tracker.quarantined, _ = simplelru.NewLRU[uint64, time.Time](max(tracker.MaxQuarantined, 1), nil)
}

// RecordCrash records a crash for one of the requests that were in flight; alone reports whether it was the only one. It
// reports whether the request is quarantined as a result.
func (tracker *Tracker) RecordCrash(now time.Time, fingerprint uint64, crash Crash, alone bool) (quarantined bool) {
	tracker.init()
	record, _ := tracker.suspects.Get(fingerprint)
	if now.After(record.expires) {
		record.score = 0
	}
	if !alone {
		// Another request may have caused the crash, so the score rises at most to that of a suspect.
		record.score = min(record.score+int(crash), max(suspectScore, record.score))
	} else {
		record.score += int(crash)
	}
	record.crashed, record.expires = now, now.Add(suspectLifetime)
	if alone && record.score >= quarantineScore {
		tracker.Quarantine(now, fingerprint)
		return true
	}
	tracker.suspects.Add(fingerprint, record)
	return false
}

// LastCrash returns the time of the last crash recorded for a request since it last completed, zero if there was none.
func (tracker *Tracker) LastCrash(fingerprint uint64) time.Time {
	tracker.init()
	record, _ := tracker.suspects.Peek(fingerprint)
	return record.crashed
}

// AddSuspect adds a suspect that another process reported. It reports false if the request was a suspect already.
func (tracker *Tracker) AddSuspect(now time.Time, fingerprint uint64) (added bool) {
	tracker.init()
	if tracker.Suspect(now, fingerprint) {
		return false
	}
	tracker.suspects.Add(fingerprint, suspect{score: suspectScore, expires: now.Add(suspectLifetime)})
	return true
}

// Quarantine quarantines a request, on the evidence of this process or of another one. It reports false if the request was
// quarantined already.
func (tracker *Tracker) Quarantine(now time.Time, fingerprint uint64) (added bool) {
	tracker.init()
	if tracker.Quarantined(now, fingerprint) {
		return false
	}
	tracker.suspects.Remove(fingerprint)
	tracker.quarantined.Add(fingerprint, now.Add(quarantineLifetime))
	return true
}

// ClearSuspect removes a request that has completed from the suspects.
func (tracker *Tracker) ClearSuspect(fingerprint uint64) {
	tracker.init()
	tracker.suspects.Remove(fingerprint)
}

// Suspect reports whether a request is a suspect, which may only run alone.
func (tracker *Tracker) Suspect(now time.Time, fingerprint uint64) bool {
	tracker.init()
	record, ok := tracker.suspects.Peek(fingerprint)
	return ok && record.score >= suspectScore && !now.After(record.expires)
}

// Quarantined reports whether a request is quarantined, which means that it must not run.
func (tracker *Tracker) Quarantined(now time.Time, fingerprint uint64) bool {
	tracker.init()
	expires, ok := tracker.quarantined.Get(fingerprint)
	return ok && !now.After(expires)
}
