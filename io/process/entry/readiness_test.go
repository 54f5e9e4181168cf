package entry

import (
	"testing"
	"time"
)

// TestReadiness covers an entry that starts, runs while daemons come and go, and loses all of them.
func TestReadiness(t *testing.T) {
	start := time.Unix(1000, 0)
	readiness := readiness{}
	for _, step := range []struct {
		name          string
		at            time.Duration
		configured    bool
		known, usable int
		ready         bool
	}{
		{"no configuration, no daemon", 0, false, 3, 0, false},
		{"connected to daemons that have no configuration yet", time.Second, true, 3, 0, false},
		{"one daemon has it", 2 * time.Second, true, 3, 1, false},
		{"the others do not", 4900 * time.Millisecond, true, 3, 2, false},
		{"a daemon that does not answer keeps it waiting no longer", 5 * time.Second, true, 3, 2, true},
		{"one daemon is lost", 6 * time.Second, true, 3, 1, true},
		{"all are lost", 7 * time.Second, true, 3, 0, false},
		{"one is back", 8 * time.Second, true, 3, 1, false},
		{"all are back", 9 * time.Second, true, 3, 3, true},
		{"a new one is listed", 10 * time.Second, true, 4, 3, true},
	} {
		if ready := readiness.update(start.Add(step.at), step.configured, step.known, step.usable); ready != step.ready {
			t.Errorf("%s: ready is %v, want %v", step.name, ready, step.ready)
		}
	}
}
