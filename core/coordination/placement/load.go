package placement

import (
	"slices"
	"time"

	"cowslipway/core/coordination/speed"
	"cowslipway/core/state/fleet"
)

const (
	reportWindow    = 3                      // latest load reports of an engine that are compared; they span 120 ms
	responseLoadTTL = 100 * time.Millisecond // in a large fleet, peers' load counts include the same work after that time
)

// engine is a registered engine and its load as this process knows it.
type engine struct {
	fleet.Engine

	digest              uint64
	localOnline         int               // online requests of this process
	localBatch          int               // batch items of this process
	peerOnline          int               // online requests of all peers, from their latest load counts
	peerBatch           int               // batch items of all peers, from their latest load counts
	batchByPeer         map[string]int    // batch items of each peer that has any
	peerEjections       int               // peers that have ejected the engine
	peersSayLeaving     int               // peers to which the engine said that it leaves
	peersSayLimited     int               // peers that own the engine's limit and take it for limited
	doubtedAt           time.Time         // when the fleet, or this process, last had reason to doubt that the engine serves
	isNewlyDoubted      bool              // several peers ejected it after errors since doubtedAt was checked
	isNewlyEjected      bool              // a peer has ejected it since ejectionSeenAt was set
	lastDoubtedAt       time.Time         // when it was last found to be doubted
	erredUntil          time.Time         // end of the ejection by this process for an error of its own
	failedTrials        int               // times that a peer ejected it since it was doubted
	ejectionSeenAt      time.Time         // when an ejection by a peer was last news
	soundAt             time.Time         // latest success at this process, unless a failure followed
	recoveredAt         time.Time         // latest success at this process that ended a doubt, or came during one
	peersSayErring      int               // peers that ejected it after an error of its own
	peersSaySound       int               // peers at which the engine succeeded since it was doubted
	triedAt             time.Time         // start of a trial of this process whose outcome is open
	erredAt             time.Time         // when it last answered this process with an error of its own
	consecutiveFailures int               // failures that this process saw since the engine's last success
	ejectedUntil        time.Time         // end of the ejection by this process
	overloadedAt        time.Time         // when the load last exceeded the slots
	unaccountedSamples  [reportWindow]int // reported load minus counted load, of each of the latest reports
	reportCount         int               // reports received from the engine's reporter
	responseLoad        int               // load that the engine reported in its latest response to this process
	responseLoadAt      time.Time         // when that response arrived
	localAtResponse     int               // part of responseLoad that belongs to this process
	batchStarts         int               // batch items that this process started, each within countsDelay of the one before
	lastBatchStart      time.Time         // start of the latest of them
	batchFree           int               // slots that were free for batch items at the latest look
	batchFreeSince      time.Time         // since when they were as many
	speed               speed.Engine      // what this process has learned of the engine's speed
	belief              speed.Belief      // what follows from it
	beliefAt            time.Time         // when belief was computed
	announcedLoad       int               // requests and batch items of this process in its latest load counts
	isReleased          bool              // it is among Pool.released
}

// unaccounted returns the work at the engine that no process has reported, such as the requests of a process that is
// partitioned from this one. It is the minimum over the latest reports, since the load counts may be slightly older or
// newer than a single report.
func (engine *engine) unaccounted() int {
	if engine.reportCount < reportWindow {
		return 0
	}
	return max(0, slices.Min(engine.unaccountedSamples[:]))
}

// load returns the number of requests at the engine. It is the larger of two figures, since either may be outdated: the
// counted and unaccounted load, and the load that the engine reported in a response within responseLoadTTL, adjusted by the
// requests that this process has started and ended there since.
func (engine *engine) load(now time.Time) int {
	load := engine.countedLoad() + engine.unaccounted()
	if now.Sub(engine.responseLoadAt) < responseLoadTTL {
		load = max(load, engine.responseLoad+engine.localLoad()-engine.localAtResponse)
	}
	return load
}

// localLoad returns the number of requests and batch items of this process at the engine.
func (engine *engine) localLoad() int { return engine.localOnline + engine.localBatch }

// countedLoad returns the load according to the load counts of this process and its peers.
func (engine *engine) countedLoad() int {
	return engine.localOnline + engine.localBatch + engine.peerOnline + engine.peerBatch
}

// onlineLoad returns the number of online requests at the engine. Unaccounted load counts as online, since it may be online
// requests of a process that is partitioned from this one: if it counted as batch items, an online request could be placed
// at an engine where no preemption frees a slot for it. If it is batch items after all, the request preempts known ones or
// is queued or rejected; the unaccounted ones are worth no more than the known ones.
func (engine *engine) onlineLoad(now time.Time) int {
	return engine.load(now) - engine.localBatch - engine.peerBatch
}

// RecordReporterLoad records the number of requests at the engine with the given address, as sent by the reporter on the
// engine's VM.
func (pool *Pool) RecordReporterLoad(address string, requests int) {
	for _, engine := range pool.engines {
		if engine.Address == address {
			engine.unaccountedSamples[engine.reportCount%reportWindow] = requests - engine.countedLoad()
			engine.reportCount++
			pool.changed[engine.digest] = engine
		}
	}
}

// Overloaded reports whether the known load of an engine exceeds its slots, so that requests may have to wait at the
// engine. It is false for an unknown engine.
func (pool *Pool) Overloaded(now time.Time, descriptor fleet.Engine) bool {
	engine, ok := pool.engines[descriptor.Digest()]
	return ok && engine.load(now) > engine.Slots
}

// Release returns a slot that an online request or a batch item held at an engine.
func (pool *Pool) Release(now time.Time, descriptor fleet.Engine, batch bool) {
	engine, ok := pool.engines[descriptor.Digest()]
	if ok && batch {
		engine.localBatch = max(0, engine.localBatch-1)
	} else if ok {
		engine.localOnline = max(0, engine.localOnline-1)
	}
	if ok {
		pool.noteRelease(engine)
	}
	if batch {
		return
	}
	if pool.releaseRateAt.IsZero() {
		pool.releaseRate = initialReleaseRate
	} else {
		weight := decay(now.Sub(pool.releaseRateAt))
		pool.releaseRate = pool.releaseRate*weight + 1/rateWindow.Seconds()*weight
	}
	pool.releaseRateAt = now
}

// RecordResponseLoad records the number of requests that an engine reported in the header of a response to this process.
// If rejected is set, the engine rejected that request and did not count it. The result is true if all slots are taken.
func (pool *Pool) RecordResponseLoad(now time.Time, descriptor fleet.Engine, requests int, rejected bool) (full bool) {
	engine, ok := pool.engines[descriptor.Digest()]
	if !ok {
		return false
	}
	engine.responseLoad, engine.responseLoadAt, engine.localAtResponse = requests, now, engine.localLoad()
	if rejected {
		engine.localAtResponse--
	}
	pool.changed[engine.digest] = engine
	return requests >= engine.Slots
}
