package placement

import (
	"cmp"
	"slices"
	"time"
)

// leavingMark turns the digest of an engine into that under which load counts say that the engine leaves. Processes that do not know it
// ignore the counts of an engine that they do not list.
const leavingMark = 0x6c656176696e6721

// soundMark turns the digest of an engine into that under which load counts say that the engine served the sender since it was doubted.
const soundMark = 0x736f756e64212121

// errsMark turns the digest of an engine into that under which load counts say that the engine answered the sender with an error of its own.
const errsMark = 0x6572727321212121

// backlogDigest is the engine digest of the Counts value that marks a batch backlog among a process's load counts. No
// engine has this digest.
const backlogDigest = 0

// Counts is the load of one process on one engine.
type Counts struct {
	Engine  uint64 // digest of the engine, from fleet.Engine.Digest
	Online  int    // online requests
	Batch   int    // batch items
	Ejected bool   // the process has ejected the engine after failures
}

// ApplyCounts replaces the load counts of a peer. Nil counts remove the peer.
func (pool *Pool) ApplyCounts(peer string, counts []Counts) {
	if pool.peerCounts == nil {
		pool.peerCounts, pool.backlogPeers = map[string][]Counts{}, map[string]bool{}
	}
	pool.noteEjections(pool.peerCounts[peer], counts)
	pool.addCounts(peer, pool.peerCounts[peer], -1)
	delete(pool.backlogPeers, peer)
	if counts == nil {
		delete(pool.peerCounts, peer)
		delete(pool.processHashes, peer)
		return
	}
	pool.peerCounts[peer] = counts
	pool.addCounts(peer, counts, 1)
	if slices.ContainsFunc(counts, func(count Counts) bool { return count.Engine == backlogDigest }) {
		pool.backlogPeers[peer] = true
	}
}

// addCounts adds a peer's load counts, multiplied by sign, to the load of the engines.
func (pool *Pool) addCounts(peer string, counts []Counts, sign int) {
	for _, count := range counts {
		engine, ok := pool.engines[count.Engine]
		if !ok {
			pool.addMark(count.Engine, sign)
			continue
		}
		engine.peerOnline += sign * count.Online
		if count.Ejected {
			engine.peerEjections += sign
		}
		if count.Batch != 0 {
			engine.peerBatch += sign * count.Batch
			if engine.batchByPeer[peer] += sign * count.Batch; engine.batchByPeer[peer] == 0 {
				delete(engine.batchByPeer, peer)
			}
		}
		pool.changed[count.Engine] = engine
	}
}

// addMark adds what a peer says of an engine under a marked digest, multiplied by sign.
func (pool *Pool) addMark(digest uint64, sign int) {
	if engine, ok := pool.engines[digest^leavingMark]; ok {
		engine.peersSayLeaving += sign
	}
	if engine, ok := pool.engines[digest^soundMark]; ok {
		engine.peersSaySound += sign
		pool.changed[engine.digest] = engine
	}
	if engine, ok := pool.engines[digest^errsMark]; ok {
		engine.peersSayErring += sign
		engine.isNewlyDoubted = engine.isNewlyDoubted || engine.peersSayErring >= suspectQuorum
		pool.changed[engine.digest] = engine
	}
	if engine, ok := pool.engines[digest^limitedMark]; ok {
		engine.peersSayLimited += sign
	}
}

// LocalCounts returns the load counts of this process, to be sent to its peers, sorted by engine digest.
func (pool *Pool) LocalCounts(now time.Time) (counts []Counts) {
	for digest, engine := range pool.engines {
		if pool.isLeaving(now, digest) {
			counts = append(counts, Counts{Engine: digest ^ leavingMark})
		}
		if pool.servesAgain(now, engine) {
			counts = append(counts, Counts{Engine: digest ^ soundMark})
		}
		if pool.saysLimited(digest) {
			counts = append(counts, Counts{Engine: digest ^ limitedMark})
		}
		isEjected := now.Before(engine.ejectedUntil)
		if isEjected && !engine.doubtedAt.IsZero() {
			counts = append(counts, Counts{Engine: digest ^ errsMark})
		}
		if engine.localOnline > 0 || engine.localBatch > 0 || isEjected {
			counts = append(counts, Counts{Engine: digest, Online: engine.localOnline, Batch: engine.localBatch, Ejected: isEjected})
		}
	}
	if pool.BatchBacklog {
		counts = append(counts, Counts{Engine: backlogDigest})
	}
	slices.SortFunc(counts, func(a, b Counts) int { return cmp.Compare(a.Engine, b.Engine) })
	return counts
}
