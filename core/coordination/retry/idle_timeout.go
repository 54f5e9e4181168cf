package retry

import "time"

// IdleTimeout decides when a stream on which the engine sends nothing is moved to another engine.
type IdleTimeout struct {
	Period     time.Duration // idle time after which Expired is called
	Extensions int           // number of periods that may be added

	extended int // number of periods added so far
}

// Expired reports whether the stream is to be moved; it is called each time a Period has passed without an event. The
// timeout is extended in two cases. If the engine sent something else to this process less than a Period ago, as
// sinceReceived says, it is alive but busy, and the request would not get a slot sooner at another engine. If this process
// is itself scheduled late (delayed), the event may have arrived without having been read.
func (timeout *IdleTimeout) Expired(sinceReceived time.Duration, delayed bool) (move bool) {
	if (sinceReceived < timeout.Period || delayed) && timeout.extended < timeout.Extensions {
		timeout.extended++
		return false
	}
	return true
}
