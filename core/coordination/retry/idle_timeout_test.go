package retry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
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

// TestIdleOutcomes runs testdata/idle_timeout: what becomes of an attempt at a silent engine, looked at again after each period. Guards
// against ending it while no other engine may be used.
func TestIdleOutcomes(t *testing.T) {
	datadriven.RunTest(t, "testdata/idle_timeout", func(t *testing.T, data *datadriven.TestData) string {
		at := func(name string) time.Duration {
			elapsed := time.Hour // never
			if data.HasArg(name) {
				var text string
				data.ScanArgs(t, name, &text)
				var err error
				if elapsed, err = time.ParseDuration(text); err != nil {
					t.Fatal(err)
				}
			}
			return elapsed
		}
		var lines []string
		timeout, search, sinceReceived := IdleTimeout{Period: at("period"), Extensions: 4}, time.Duration(0), time.Hour
		if data.HasArg("search") {
			search = at("search")
		}
		if data.HasArg("busy") {
			sinceReceived = 0
		}
		for now := timeout.Period; ; now += timeout.Period {
			if event := at("event-at"); event <= now {
				return strings.Join(append(lines, fmt.Sprintf("%s: event", event)), "\n") + "\n"
			}
			if !timeout.Expired(sinceReceived, false) {
				continue
			}
			now += search
			outcome := Settle(Search{Found: at("slot-from") <= now, Progressed: at("event-at") <= now, Ended: at("end-at") <= now})
			lines = append(lines, fmt.Sprintf("%s: %s", now, outcome))
			if outcome != Kept {
				return strings.Join(lines, "\n") + "\n"
			}
		}
	})
}
