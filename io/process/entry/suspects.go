package entry

import (
	"slices"
	"sync"
	"time"

	"cowslipway/core/coordination/poisonpill"
)

// suspects holds the suspected and quarantined requests, by fingerprint. It is safe for concurrent use.
type suspects struct {
	mutex             sync.Mutex
	tracker           poisonpill.Tracker
	unsentSuspects    []uint64 // not yet sent to target daemons
	unsentQuarantined []uint64 // not yet sent to target daemons
	unstored          []uint64 // quarantined and not yet written to the store
}

// locked calls work with the tracker while holding the mutex.
func (suspects *suspects) locked(work func(now time.Time, tracker *poisonpill.Tracker)) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.tracker.MaxSuspects, suspects.tracker.MaxQuarantined = maxSuspects, maxQuarantined
	work(time.Now(), &suspects.tracker)
}

// status reports whether a request is suspected and whether it is quarantined.
func (suspects *suspects) status(fingerprint uint64) (suspect, quarantined bool) {
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		suspect, quarantined = tracker.Suspect(now, fingerprint), tracker.Quarantined(now, fingerprint)
	})
	return suspect, quarantined
}

// recordCrash records that a request was in flight when its target crashed. alone reports whether it ran isolated.
func (suspects *suspects) recordCrash(fingerprint uint64, crash poisonpill.Crash, alone bool) {
	suspects.locked(func(now time.Time, tracker *poisonpill.Tracker) {
		if tracker.RecordCrash(now, fingerprint, crash, alone) {
			suspects.unsentQuarantined = append(suspects.unsentQuarantined, fingerprint)
			suspects.unstored = append(suspects.unstored, fingerprint)
			return
		}
		if tracker.Suspect(now, fingerprint) {
			suspects.unsentSuspects = append(suspects.unsentSuspects, fingerprint)
		}
	})
}

// recordLoss records that a request was in flight when its target was lost, which makes it a suspect but cannot quarantine it.
// suspect is true if the attempt, which began at began, was sent as that of a suspect. It reports whether the loss came after
// the previous one of the request and with it as a suspect, so that it counts for a quarantine if the target has ended.
func (suspects *suspects) recordLoss(fingerprint uint64, suspect bool, began time.Time) (counts bool) {
	suspects.locked(func(_ time.Time, tracker *poisonpill.Tracker) {
		counts = suspect && began.After(tracker.LastCrash(fingerprint))
	})
	suspects.recordCrash(fingerprint, poisonpill.VMCrash, false)
	return counts
}

// quarantine records that a target daemon has quarantined a request.
func (suspects *suspects) quarantine(fingerprint uint64) { suspects.merge(nil, []uint64{fingerprint}) }

// clear removes the suspicion of a request that ran to its end.
func (suspects *suspects) clear(fingerprint uint64) {
	suspects.locked(func(_ time.Time, tracker *poisonpill.Tracker) { tracker.ClearSuspect(fingerprint) })
}

// merge adds fingerprints received from a target daemon or read from the store. The ones that are new here are queued
// for sending.
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
				suspects.unstored = append(suspects.unstored, fingerprint)
			}
		}
	})
}

// takeUnsent returns and clears the fingerprints queued for sending.
func (suspects *suspects) takeUnsent() (suspected, quarantined []uint64) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspected, quarantined = suspects.unsentSuspects, suspects.unsentQuarantined
	suspects.unsentSuspects, suspects.unsentQuarantined = nil, nil
	return suspected, quarantined
}

// firstUnstored returns up to limit quarantined fingerprints that are not yet in the store.
func (suspects *suspects) firstUnstored(limit int) (fingerprints []uint64) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return slices.Clone(suspects.unstored[:min(limit, len(suspects.unstored))])
}

// stored removes the first count fingerprints that firstUnstored returned, which are in the store now.
func (suspects *suspects) stored(count int) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.unstored = suspects.unstored[count:]
}
