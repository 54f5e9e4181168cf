package node

import (
	"context"
	"time"

	"cowslipway/core/state/fleet"
	"cowslipway/io/port"
)

const (
	// proofTimeout bounds the wait for a view that is newer than a request: a read takes 4 ms, and 60 times that when the store is slow.
	proofTimeout = 500 * time.Millisecond
	// engineReadPause is the shortest time between two reads of the engines for proofs, and failedReadPause that after a failure.
	engineReadPause = 50 * time.Millisecond
	failedReadPause = 250 * time.Millisecond
)

// proof is the result of a search for the only version of a service.
type proof struct {
	version string
	ok      bool
	asOf    time.Time // the view reflects the store at this time or later; zero if it was not known to be new enough
}

// prove returns the only version that a service has had within a window before after. The engines' records precede the streams that the
// engines begin, so a view that is newer than a caller's request has the version that began the stream which the caller resumes.
func (streams *streams) prove(ctx context.Context, after time.Time, service string, window time.Duration) (proof proof) {
	proof.asOf, _ = streams.awaitView(ctx, after, func() (decided bool) {
		// No read of the engines helps a history that is too short, or that has two versions.
		versions, whole := streams.history.Versions(after, service, window)
		return !whole || len(versions) > 1
	})
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	if !proof.asOf.IsZero() {
		proof.version, proof.ok = streams.history.Sole(after, service, window)
	}
	return proof
}

// awaitView waits until the view of the engines is newer than after, or until decided returns true, and has the engines read if need be. It
// returns the time of the view, or zero if no new one could be had in time, and whether the view is newer. decided is called with the mutex
// held.
func (streams *streams) awaitView(ctx context.Context, after time.Time, decided func() bool) (asOf time.Time, newer bool) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	for {
		streams.mutex.Lock()
		if newer = !streams.asOf.Before(after); newer || decided() {
			asOf = streams.asOf
			streams.mutex.Unlock()
			return asOf, newer
		}
		if streams.newer == nil {
			streams.newer = make(chan struct{})
		}
		changed := streams.newer
		if !streams.reading && time.Since(streams.followed) <= viewLag { // a read shows no engines that came and went since
			streams.reading = true
			go streams.readEngines(context.WithoutCancel(ctx), max(0, time.Until(streams.readAfter)))
		}
		streams.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}

// readEngines reads the engines' records once for all calls of prove that wait.
func (streams *streams) readEngines(ctx context.Context, pause time.Duration) {
	time.Sleep(pause)
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	started := time.Now()
	items, _, err := streams.node.Store.ListAll(ctx, streams.node.enginesPrefix())
	now, asOf := time.Now(), time.Time{}
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	streams.readAfter = now.Add(failedReadPause)
	if err == nil {
		asOf, streams.readAfter = started, started.Add(engineReadPause)
		for _, item := range items {
			if engine, err := streams.node.Records.Engine(item.Key, item.Value); err == nil {
				streams.history.See(now, engine.Build())
			}
		}
	}
	streams.reading = false
	streams.advance(asOf)
}

// advance records that the history has all builds of the engines that were listed at asOf, and wakes the calls of prove. The mutex must be
// held.
func (streams *streams) advance(asOf time.Time) {
	if asOf.After(streams.asOf) {
		streams.asOf = asOf
	}
	if streams.newer != nil {
		close(streams.newer)
		streams.newer = nil
	}
}

// follow records the time of the view of the engines, and the time of a listing of all of them unless it is zero.
func (streams *streams) follow(asOf, listedAt time.Time) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	streams.history.Restart(listedAt)
	if asOf.After(streams.followed) {
		streams.followed = asOf
	}
	streams.advance(asOf)
}

// see records builds of engines that may no longer be listed.
func (streams *streams) see(now time.Time, builds []fleet.Build) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	streams.history.See(now, builds...)
}

// enginesPrefix returns the prefix of the engines' records.
func (node *Node) enginesPrefix() (prefix string) {
	for _, prefix = range node.Records.Prefixes() {
		if node.isEnginesPrefix(prefix) {
			break
		}
	}
	return prefix
}

// isEnginesPrefix reports whether the records below a prefix are those of the engines.
func (node *Node) isEnginesPrefix(prefix string) bool {
	kind, _ := node.Records.Classify(prefix + "x")
	return kind == port.EngineRecord
}
