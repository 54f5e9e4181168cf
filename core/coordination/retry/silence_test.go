package retry

import (
	"testing"
	"time"
)

// TestSilence plays the loads in which a stream hears nothing: a dark engine, one that is full in a burst, and a weak entry
// that is behind with its reading.
func TestSilence(t *testing.T) {
	const period = 150 * time.Millisecond
	for _, test := range []struct {
		name  string
		heard time.Duration
		busy  bool
		want  int // periods until the stream is moved
	}{
		{name: "dark engine", heard: time.Second, want: 1},
		{name: "engine that was heard a period ago", heard: period, want: 1},
		{name: "full engine", heard: 10 * time.Millisecond, want: 5},
		{name: "weak entry before a dark engine", heard: time.Second, busy: true, want: 5},
	} {
		silence, periods := IdleTimeout{Period: period, Extensions: 4}, 1
		for !silence.Expired(test.heard, test.busy) {
			periods++
		}
		if periods != test.want {
			t.Errorf("%s: moved after %d periods, want %d", test.name, periods, test.want)
		}
	}
}
