package retry

import "time"

// IdleTimeout decides when another engine is sought for a stream on which the engine sends nothing.
type IdleTimeout struct {
	Period     time.Duration // idle time after which Expired is called
	Extensions int           // number of periods that may be added

	extended int // number of periods added so far
}

// Expired reports whether another engine is to be sought; it is called each time a Period has passed without an event. The
// timeout is extended in two cases. If the engine sent something else to this process less than a Period ago, as
// sinceReceived says, it is alive but busy, and the request would not get a slot sooner at another engine. If this process
// is itself scheduled late (delayed), the event may have arrived without having been read.
func (timeout *IdleTimeout) Expired(sinceReceived time.Duration, delayed bool) (seek bool) {
	if (sinceReceived < timeout.Period || delayed) && timeout.extended < timeout.Extensions {
		timeout.extended++
		return false
	}
	return true
}

// Search is the result of a search for another engine, and what happened to the attempt meanwhile.
type Search struct {
	Found      bool // a slot at another engine has been acquired
	Progressed bool // an event arrived
	Ended      bool // the attempt ended
}

// IdleOutcome is what becomes of an attempt after the idle timeout has expired.
type IdleOutcome uint8

// The outcomes of an expired idle timeout.
const (
	Moved      IdleOutcome = iota // the attempt is cancelled, and the stream goes on at the engine found
	Kept                          // the attempt goes on, since no other engine may be used
	Progressed                    // the attempt goes on, since its engine sent an event
	Ended                         // the attempt has ended by itself
)

var idleOutcomeNames = [...]string{"moved", "kept", "event arrived", "ended"}

// String returns the name of the outcome in logs and metrics.
func (outcome IdleOutcome) String() string { return idleOutcomeNames[outcome] }

// Settle returns what becomes of an attempt after a search. A slot that was found is returned unless the stream is moved: silence alone
// does not show that an engine has failed.
func Settle(search Search) (outcome IdleOutcome) {
	switch {
	case search.Ended:
		return Ended
	case search.Progressed:
		return Progressed
	case search.Found:
		return Moved
	}
	return Kept
}
