package placement

import (
	"time"

	"cowslipway/core/state/fleet"
)

const (
	// trialTurn is how long a process leaves the trial of a doubted engine to the processes before it. Then twice as many may try: those that
	// are first may be gone, or have no work. It exceeds countsDelay, so that the outcome of a trial that failed at once is known.
	trialTurn = 200 * time.Millisecond
	// maxTrialTurns bounds the doublings.
	maxTrialTurns = 12
	// trialPatience is how long a process waits for the outcome of its trial. A request ends within a second or two.
	trialPatience = 2 * time.Second
	// maxTrialPause bounds the time between a trial that failed and the next one, so that an engine that is sound is used again within two
	// seconds.
	maxTrialPause = time.Second
	// anyWorkAfter is how long an engine is tried only with work that may be repeated.
	anyWorkAfter = 1500 * time.Millisecond
	// soundLifetime is how long a success shows that an engine serves, although processes that may be partitioned from it eject it.
	soundLifetime = time.Second
	// erredLifetime is how long an engine's own error counts when the errors of engines are compared.
	erredLifetime = time.Second
	// alikeShare is the share of a service's engines that must have been doubted within alikeMemory for the cause to be in the requests. It is
	// more than a lost domain has, and less than all, as an engine without requests is not doubted.
	alikeShare    = 0.9
	alikeMemory   = 2 * time.Second
	alikeInterval = 25 * time.Millisecond // after which the engines are counted again
	// doubtLifetime is how long a doubt lasts without news of the engine: a process without work for the service would not end it.
	doubtLifetime = 10 * time.Second
	// relapseTime is how long after a doubt an engine gets requests with a single attempt only where no other has room: one that fails a part
	// of its requests may have served just the last one.
	relapseTime = 1500 * time.Millisecond
)

// alike says whether the engines of a service fail alike.
type alike struct {
	at       time.Time // when that was computed
	are      bool
	reported bool // what FailAlike returned last
}

// FailAlike reports whether nearly all engines of a service have answered with errors lately, so that these are no reason to prefer some,
// and whether that has changed since the last call.
func (pool *Pool) FailAlike(now time.Time, service string) (are, news bool) {
	are = pool.failAlike(now, service)
	known := pool.alike[service]
	news, known.reported = known.reported != are, are
	pool.alike[service] = known
	return are, news
}

// failAlike reports whether nearly all engines of a service have been doubted lately. Then their errors are no reason to prefer others.
func (pool *Pool) failAlike(now time.Time, service string) bool {
	known, ok := pool.alike[service]
	if ok && now.Sub(known.at) < alikeInterval {
		return known.are
	}
	doubted, engines := 0, pool.enginesByService[service]
	for _, engine := range engines {
		if pool.isDoubted(now, engine) || now.Sub(engine.lastDoubtedAt) < alikeMemory {
			doubted++
		}
	}
	known.at, known.are = now, len(engines) > 0 && float64(doubted) >= alikeShare*float64(len(engines))
	if pool.alike == nil {
		pool.alike = map[string]alike{}
	}
	pool.alike[service] = known
	return known.are
}

// mayErr reports whether an engine is used although it answered with errors, since all engines of the service do. Nothing else may be known
// against it.
func (pool *Pool) mayErr(now time.Time, engine *engine) bool {
	if now.Before(engine.ejectedUntil) && !engine.ejectedUntil.Equal(engine.erredUntil) || engine.peersSayLeaving > 0 || engine.peerEjections-engine.peersSayErring >= suspectQuorum {
		return false
	}
	return pool.failAlike(now, engine.Service)
}

// doubt starts a doubt of the engine, unless there is one.
func (engine *engine) doubt(now time.Time) {
	if engine.doubtedAt.IsZero() {
		engine.doubtedAt, engine.failedTrials = now, 0
	}
}

// noteEjections notes the engines that a peer's new load counts eject and its previous ones did not.
func (pool *Pool) noteEjections(previous, counts []Counts) {
	var known map[uint64]bool
	for _, count := range previous {
		if count.Ejected {
			if known == nil {
				known = map[uint64]bool{}
			}
			known[count.Engine] = true
		}
	}
	for _, count := range counts {
		if engine, ok := pool.engines[count.Engine]; ok && count.Ejected && !known[count.Engine] {
			engine.isNewlyEjected = true
		}
	}
}

// isDoubted reports whether an engine gets requests for trials only: it answered this process or several others with errors of its own, and
// served no process since.
func (pool *Pool) isDoubted(now time.Time, engine *engine) bool {
	if engine.isNewlyEjected {
		engine.isNewlyEjected, engine.ejectionSeenAt = false, now
		engine.failedTrials++
	}
	if engine.isNewlyDoubted {
		engine.isNewlyDoubted = engine.peersSayErring >= suspectQuorum
		engine.doubt(now)
	}
	if engine.doubtedAt.IsZero() {
		return false
	}
	isSound := engine.soundAt.After(engine.doubtedAt) && (now.Sub(engine.soundAt) < soundLifetime || engine.peersSayErring < suspectQuorum) || engine.peersSaySound > 0
	if isSound && engine.peersSayErring < suspectQuorum && !now.Before(engine.ejectedUntil) {
		engine.doubtedAt = time.Time{}
	}
	if !isSound && pool.isForgotten(now, engine) {
		engine.doubtedAt, isSound = time.Time{}, true
	}
	if !isSound {
		engine.lastDoubtedAt = now
	}
	return !isSound
}

// isForgotten reports whether nothing was heard of a doubted engine for so long that the doubt ends.
func (pool *Pool) isForgotten(now time.Time, engine *engine) bool {
	if engine.peersSayErring >= suspectQuorum {
		return false
	}
	for _, news := range []time.Time{engine.doubtedAt, engine.ejectionSeenAt, engine.ejectedUntil, engine.erredAt} {
		if now.Sub(news) < doubtLifetime {
			return false
		}
	}
	return true
}

// mayRelapse reports whether an engine may fail a part of its requests, as it was doubted until lately.
func (pool *Pool) mayRelapse(now time.Time, engine *engine) bool {
	return now.Sub(engine.lastDoubtedAt) < relapseTime
}

// servesAgain reports whether peers are to know that an engine served this process since it was doubted.
func (pool *Pool) servesAgain(now time.Time, engine *engine) bool {
	return now.Sub(engine.recoveredAt) < soundLifetime
}

// mayTry reports whether this process may try a doubted engine with a request. The processes take turns in an order that all of them compute
// alike, from the end of the latest ejection that they know of.
func (pool *Pool) mayTry(now time.Time, engine *engine, request Request) bool {
	if !engine.triedAt.IsZero() && now.Sub(engine.triedAt) < trialPatience {
		return false
	}
	since := engine.ejectedUntil
	for _, other := range []time.Time{engine.doubtedAt, engine.ejectionSeenAt} {
		if other = other.Add(min(baseEjection<<min(engine.failedTrials, 8), maxTrialPause)); other.After(since) {
			since = other
		}
	}
	waited := now.Sub(since)
	if waited < 0 || waited < anyWorkAfter && !request.Repeatable {
		return false
	}
	return pool.trialRank(engine) < 1<<min(waited/trialTurn, maxTrialTurns)
}

// trialRank returns the number of processes that come before this one in the trials of an engine.
func (pool *Pool) trialRank(engine *engine) (rank int) {
	priority := pool.slotPriority(pool.Self, engine.digest)
	for peer := range pool.peerCounts {
		if pool.slotPriority(peer, engine.digest) < priority {
			rank++
		}
	}
	return rank
}

// beginTrial notes that an engine gets a request, if that is a trial.
func (pool *Pool) beginTrial(now time.Time, engine *engine) {
	if !now.Before(engine.ejectedUntil) && pool.isDoubted(now, engine) {
		engine.triedAt = now
	}
}

// RecordErrorResponse records that an engine answered with an error of its own. That is a failure of the engine unless most engines of the
// service answer so: then the cause is in the requests.
func (pool *Pool) RecordErrorResponse(now time.Time, descriptor fleet.Engine) (until time.Time, failures int) {
	failed, ok := pool.engines[descriptor.Digest()]
	if !ok {
		return time.Time{}, 0
	}
	failed.erredAt = now
	alike := 0
	engines := pool.enginesByService[failed.Service]
	for _, engine := range engines {
		if now.Sub(engine.erredAt) < erredLifetime {
			alike++
		}
	}
	if 2*alike > len(engines) {
		return time.Time{}, 0
	}
	failed.doubt(now)
	until, failures = pool.RecordFailure(now, descriptor)
	if until.Equal(now.Add(ejectionAfter(failures))) { // not that of another failure, which lasts longer
		failed.erredUntil = until
	}
	return until, failures
}
