package entry

import (
	"sync"
	"time"

	"cowslipway/core/coordination/poisonpill"
)

// suspects is an entry's knowledge of requests that crash targets, shared by the traffic goroutines.
type suspects struct {
	mutex   sync.Mutex
	tracker poisonpill.Tracker
	news    []uint64 // suspects that other daemons have not been told of
	named   []uint64 // verdicts likewise
}

func (suspects *suspects) locked(work func(now time.Time, tracker *poisonpill.Tracker)) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.tracker.MaxSuspects, suspects.tracker.MaxQuarantined = maxSuspects, maxQuarantined
	work(time.Now(), &suspects.tracker)
}

// status returns what is known of a request.
func (suspects *suspects) status(fingerprint uint64) (suspect, condemned bool) {
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		suspect, condemned = tracker.Suspect(now, fingerprint), tracker.Quarantined(now, fingerprint)
	})
	return suspect, condemned
}

// recordCrash records that a request was in flight when its target was lost.
func (suspects *suspects) recordCrash(fingerprint uint64, crash poisonpill.Crash, alone bool) {
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		if tracker.RecordCrash(now, fingerprint, crash, alone) {
			suspects.named = append(suspects.named, fingerprint)
			return
		}
		if tracker.Suspect(now, fingerprint) {
			suspects.news = append(suspects.news, fingerprint)
		}
	})
}

// quarantine records a verdict that a target daemon has reached.
func (suspects *suspects) quarantine(fingerprint uint64) { suspects.merge(nil, []uint64{fingerprint}) }

func (suspects *suspects) clear(fingerprint uint64) {
	suspects.locked(func(_ time.Time, tracker *poisonpill.Tracker) { tracker.ClearSuspect(fingerprint) })
}

// merge takes what other daemons know; what is news here is passed on.
func (suspects *suspects) merge(suspected, poisoned []uint64) {
	if len(suspected)+len(poisoned) == 0 {
		return
	}
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		for _, fingerprint := range suspected {
			if tracker.AddSuspect(now, fingerprint) {
				suspects.news = append(suspects.news, fingerprint)
			}
		}
		for _, fingerprint := range poisoned {
			if tracker.Quarantine(now, fingerprint) {
				suspects.named = append(suspects.named, fingerprint)
			}
		}
	})
}

// takeUnsent returns what is to be passed on.
func (suspects *suspects) takeUnsent() (suspected, poisoned []uint64) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspected, poisoned = suspects.news, suspects.named
	suspects.news, suspects.named = nil, nil
	return suspected, poisoned
}
