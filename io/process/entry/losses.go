package entry

import (
	"sync"
	"time"

	"cowslipway/core/coordination/poisonpill"
)

const (
	// unreachableLimit is the time after which a daemon that cannot be reached again counts as ended.
	unreachableLimit = 5 * time.Second
	// lossLifetime is the time after which a loss no longer counts, since the daemon ended for another reason, if it did.
	lossLifetime = 30 * time.Second
)

// loss is the attempt of a suspect whose connection to the target daemon was lost.
type loss struct {
	fingerprint uint64
	incarnation string // of the daemon that ran the attempt
	at          time.Time
}

// losses holds the losses at one target daemon until it is known whether the daemon has ended. A daemon that is reached again in
// the same incarnation has not: the connection was cut, or this process was paused. Each incarnation ends at most once, so it
// counts at most once against a request. It is safe for concurrent use.
type losses struct {
	mutex       sync.Mutex
	pending     []loss
	incarnation string          // the last one that counted as ended
	counted     map[uint64]bool // fingerprints against which the end of incarnation has counted
}

// add adds a loss.
func (losses *losses) add(added loss) {
	losses.mutex.Lock()
	defer losses.mutex.Unlock()
	losses.pending = append(losses.pending, added)
}

// reached returns the fingerprints of the suspects that ran when an earlier incarnation of the daemon ended, now that the daemon
// is connected in the given one.
func (losses *losses) reached(now time.Time, incarnation string) (ended []uint64) {
	return losses.settle(now, func(pending loss) bool { return pending.incarnation != incarnation })
}

// unreachable returns the fingerprints of the suspects that ran when the daemon ended, given that it is not connected now. As
// long as the daemon may be reached again, there are none.
func (losses *losses) unreachable(now time.Time) (ended []uint64) {
	losses.mutex.Lock()
	wait := len(losses.pending) == 0 || now.Sub(losses.pending[0].at) < unreachableLimit
	losses.mutex.Unlock()
	if wait {
		return nil
	}
	return losses.settle(now, func(loss) bool { return true })
}

// settle removes all losses and returns the fingerprints of those for which hasEnded returns true. There are none if several
// suspects ran at the daemon, because each may have ended it.
func (losses *losses) settle(now time.Time, hasEnded func(loss) bool) (ended []uint64) {
	losses.mutex.Lock()
	defer losses.mutex.Unlock()
	suspects := map[uint64]bool{}
	for _, pending := range losses.pending {
		if now.Sub(pending.at) > lossLifetime || !hasEnded(pending) {
			continue
		}
		suspects[pending.fingerprint] = true
		if pending.incarnation != losses.incarnation {
			losses.incarnation, losses.counted = pending.incarnation, map[uint64]bool{}
		}
		if !losses.counted[pending.fingerprint] {
			losses.counted[pending.fingerprint] = true
			ended = append(ended, pending.fingerprint)
		}
	}
	losses.pending = nil
	if len(suspects) > 1 {
		return nil
	}
	return ended
}

// recordLoss records that the attempt of a suspect was lost over conns. The daemon may have been reached again in the meantime.
func (daemon *targetDaemon) recordLoss(fingerprint uint64, conns *connections) {
	now := time.Now()
	daemon.losses.add(loss{fingerprint: fingerprint, incarnation: conns.incarnation, at: now})
	if current := daemon.connections.Load(); current != nil && current != conns {
		daemon.countLosses(daemon.losses.reached(now, current.incarnation))
	}
}

// countLosses records the end of the daemon for the suspects that it ran.
func (daemon *targetDaemon) countLosses(ended []uint64) {
	for _, fingerprint := range ended {
		daemon.entry.suspects.recordCrash(fingerprint, poisonpill.VMCrash, true)
	}
}
