package placement

import (
	"maps"
	"slices"
	"time"

	"cowslipway/core/state/fleet"
)

const (
	baseEjection     = 300 * time.Millisecond // ejection after a first failure; each further failure in a row doubles it
	maxEjection      = 3 * time.Second        // a crashed engine is back after some seconds
	replacedEjection = 15 * time.Second       // the engine's registration expires some seconds after its last renewal
	suspectQuorum    = 2                      // peers whose ejections make an engine suspected; one alone may be partitioned from it, or see a chance failure
	// leavingLifetime is how long an engine that said that it leaves gets no work. An engine that leaves ends within seconds; one that
	// starts again is another incarnation, unless its record has no start time.
	leavingLifetime = 5 * time.Minute
)

// health is the state of an engine in outlier ejection.
type health uint8

const (
	healthy   health = iota
	suspected        // ejected by at least suspectQuorum peers, leaving as a peer says, or doubted lately, but not ejected by this process
	ejected          // ejected by this process, or doubted and not to be tried by it
)

// health returns the state of an engine for a request at the given time.
func (pool *Pool) health(now time.Time, engine *engine, request Request) (health health) {
	health = pool.ownHealth(now, engine, request)
	if health != healthy && !request.SkipEjected && pool.mayErr(now, engine) {
		return healthy
	}
	return health
}

// ownHealth returns the state of an engine regardless of the other engines.
func (pool *Pool) ownHealth(now time.Time, engine *engine, request Request) health {
	switch {
	case now.Before(engine.ejectedUntil):
		return ejected
	case pool.isDoubted(now, engine):
		if !pool.mayTry(now, engine, request) {
			return ejected
		}
	case engine.peerEjections >= suspectQuorum, engine.peersSayLeaving > 0, !request.Repeatable && pool.mayRelapse(now, engine):
		return suspected
	}
	return healthy
}

// Serves reports whether an engine of a build takes requests.
func (pool *Pool) Serves(now time.Time, build fleet.Build) bool {
	return slices.ContainsFunc(pool.enginesByService[build.Service], func(engine *engine) bool {
		return engine.SoftwareVersion == build.Version && !engine.Draining && !pool.isLeaving(now, engine.digest)
	})
}

// HasEngines reports whether a service has an engine that takes requests, at once or later.
func (pool *Pool) HasEngines(now time.Time, service string) bool {
	return slices.ContainsFunc(pool.enginesByService[service], func(engine *engine) bool { return !engine.Draining && !pool.isLeaving(now, engine.digest) })
}

// RecordFailure ejects an engine that closed a connection early, did not accept one, or sent nothing within the idle
// timeout. It returns the end of the ejection and the number of consecutive failures, or zero values for an unknown engine.
func (pool *Pool) RecordFailure(now time.Time, descriptor fleet.Engine) (until time.Time, failures int) {
	engine, ok := pool.engines[descriptor.Digest()]
	if !ok {
		return time.Time{}, 0
	}
	engine.consecutiveFailures++
	ejection := ejectionAfter(engine.consecutiveFailures)
	if until := now.Add(ejection); until.After(engine.ejectedUntil) {
		engine.ejectedUntil = until
	}
	engine.soundAt, engine.recoveredAt, engine.triedAt = time.Time{}, time.Time{}, time.Time{}
	return engine.ejectedUntil, engine.consecutiveFailures
}

// ejectionAfter returns the duration of the ejection after so many failures in a row.
func ejectionAfter(failures int) time.Duration {
	return min(maxEjection, baseEjection<<min(failures-1, 8))
}

// RecordReplaced ejects an engine that won't return, because another engine now has its address. It returns the end of the
// ejection, or the zero time for an unknown engine.
func (pool *Pool) RecordReplaced(now time.Time, descriptor fleet.Engine) (until time.Time) {
	if engine, ok := pool.engines[descriptor.Digest()]; ok {
		engine.ejectedUntil = now.Add(replacedEjection)
		return engine.ejectedUntil
	}
	return time.Time{}
}

// RecordLeaving records that an engine has said that it leaves. It gets no work of this process from then on, also if it is listed as
// ready. It reports whether that is new.
func (pool *Pool) RecordLeaving(now time.Time, descriptor fleet.Engine) (news bool) {
	digest := descriptor.Digest()
	if pool.isLeaving(now, digest) {
		return false
	}
	if pool.leaving == nil {
		pool.leaving = map[uint64]time.Time{}
	}
	maps.DeleteFunc(pool.leaving, func(digest uint64, _ time.Time) bool { return !pool.isLeaving(now, digest) })
	pool.leaving[digest] = now
	return true
}

// isLeaving reports whether an engine has said to this process that it leaves.
func (pool *Pool) isLeaving(now time.Time, digest uint64) bool {
	since, ok := pool.leaving[digest]
	return ok && now.Sub(since) < leavingLifetime
}

// RecordSuccess records that an engine answered correctly, and ends its ejection by this process. It reports whether the engine was
// doubted.
func (pool *Pool) RecordSuccess(now time.Time, descriptor fleet.Engine) (news bool) {
	engine, ok := pool.engines[descriptor.Digest()]
	if !ok {
		return false
	}
	news = pool.isDoubted(now, engine)
	if news && engine.triedAt.IsZero() {
		return false // the request was sent before the doubt
	}
	if !engine.doubtedAt.IsZero() {
		engine.recoveredAt = now
	}
	engine.consecutiveFailures, engine.ejectedUntil, engine.triedAt, engine.soundAt = 0, time.Time{}, time.Time{}, now
	return news
}
