package retry

import (
	"testing"
	"time"
)

// TestIdleTimeout covers the reasons for an idle stream: an engine that is down, an engine whose slots are all in use, and
// an entry that is scheduled late and has not read the event yet.
func TestIdleTimeout(t *testing.T) {
	const period = 150 * time.Millisecond
	for _, test := range []struct {
		name          string
		sinceReceived time.Duration
		delayed       bool
		want          int // periods until the stream is moved
	}{
		{name: "engine down", sinceReceived: time.Second, want: 1},
		{name: "engine last sent data a period ago", sinceReceived: period, want: 1},
		{name: "engine busy", sinceReceived: 10 * time.Millisecond, want: 5},
		{name: "engine down, entry delayed", sinceReceived: time.Second, delayed: true, want: 5},
	} {
		timeout, periods := IdleTimeout{Period: period, Extensions: 4}, 1
		for !timeout.Expired(test.sinceReceived, test.delayed) {
			periods++
		}
		if periods != test.want {
			t.Errorf("%s: stream moved after %d periods, want %d", test.name, periods, test.want)
		}
	}
}
