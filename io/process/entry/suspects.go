package entry

import (
	"sync"
	"time"

	"cowslipway/core/coordination/poisonpill"
)

// suspects is an entry's knowledge of requests that crash targets, shared by the traffic goroutines.
type suspects struct {
	mutex             sync.Mutex
	tracker           poisonpill.Tracker
	unsentSuspects    []uint64 // suspects that other daemons have not been told of
	unsentQuarantined []uint64 // verdicts likewise
}

func (suspects *suspects) locked(work func(now time.Time, tracker *poisonpill.Tracker)) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.tracker.MaxSuspects, suspects.tracker.MaxQuarantined = maxSuspects, maxQuarantined
	work(time.Now(), &suspects.tracker)
}

// status returns what is known of a request.
func (suspects *suspects) status(fingerprint uint64) (suspect, quarantined bool) {
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		suspect, quarantined = tracker.Suspect(now, fingerprint), tracker.Quarantined(now, fingerprint)
	})
	return suspect, quarantined
}

// recordCrash records that a request was in flight when its target was lost.
func (suspects *suspects) recordCrash(fingerprint uint64, crash poisonpill.Crash, alone bool) {
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		if tracker.RecordCrash(now, fingerprint, crash, alone) {
			suspects.unsentQuarantined = append(suspects.unsentQuarantined, fingerprint)
			return
		}
		if tracker.Suspect(now, fingerprint) {
			suspects.unsentSuspects = append(suspects.unsentSuspects, fingerprint)
		}
	})
}

// quarantine records a verdict that a target daemon has reached.
func (suspects *suspects) quarantine(fingerprint uint64) { suspects.merge(nil, []uint64{fingerprint}) }

func (suspects *suspects) clear(fingerprint uint64) {
	suspects.locked(func(_ time.Time, tracker *poisonpill.Tracker) { tracker.ClearSuspect(fingerprint) })
}

// merge takes what other daemons know; what is news here is passed on.
func (suspects *suspects) merge(suspected, quarantined []uint64) {
	if len(suspected)+len(quarantined) == 0 {
		return
	}
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		for _, fingerprint := range suspected {
			if tracker.AddSuspect(now, fingerprint) {
				suspects.unsentSuspects = append(suspects.unsentSuspects, fingerprint)
			}
		}
		for _, fingerprint := range quarantined {
			if tracker.Quarantine(now, fingerprint) {
				suspects.unsentQuarantined = append(suspects.unsentQuarantined, fingerprint)
			}
		}
	})
}

// takeUnsent returns what is to be passed on.
func (suspects *suspects) takeUnsent() (suspected, quarantined []uint64) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspected, quarantined = suspects.unsentSuspects, suspects.unsentQuarantined
	suspects.unsentSuspects, suspects.unsentQuarantined = nil, nil
	return suspected, quarantined
}
