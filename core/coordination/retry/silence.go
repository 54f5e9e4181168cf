package retry

import "time"

// IdleTimeout decides when a stream that hears nothing is moved to another engine.
type IdleTimeout struct {
	Period     time.Duration // without a byte that calls for a decision
	Extensions int           // of the period, where the silence does not tell against the engine

	extended int
}

// Expired is asked when a period has passed; it reports whether the stream is to be moved. engineHeard is how long ago
// the engine sent anything to this process; an engine that answers others is busy, not dark, and in its queue the request
// is as near to a slot as elsewhere. busy says that this process gets its turns late: the event may be waiting to be read.
func (silence *IdleTimeout) Expired(engineHeard time.Duration, busy bool) (move bool) {
	if (engineHeard < silence.Period || busy) && silence.extended < silence.Extensions {
		silence.extended++
		return false
	}
	return true
}
