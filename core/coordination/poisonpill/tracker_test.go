package poisonpill

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTracker runs testdata/tracker: crashes and completions of requests, which are given by their fingerprints.
func TestTracker(t *testing.T) {
	var tracker *Tracker
	now := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/tracker", func(t *testing.T, data *datadriven.TestData) string {
		var lines []string
		for _, field := range strings.Fields(data.Input) {
			var fingerprint uint64
			if _, err := fmt.Sscan(field, &fingerprint); err != nil {
				t.Fatal(err)
			}
			switch data.Cmd {
			case "engine_crash":
				tracker.RecordCrash(now, fingerprint, EngineCrash, data.HasArg("alone"))
			case "vm_crash":
				tracker.RecordCrash(now, fingerprint, VMCrash, data.HasArg("alone"))
			case "complete":
				tracker.ClearSuspect(fingerprint)
			case "add_suspect":
				tracker.AddSuspect(now, fingerprint)
			}
			lines = append(lines, fmt.Sprintf("%d suspect=%v quarantined=%v", fingerprint, tracker.Suspect(now, fingerprint), tracker.Quarantined(now, fingerprint)))
		}
		switch data.Cmd {
		case "tracker":
			tracker = &Tracker{MaxSuspects: 1000, MaxQuarantined: 10}
			return ""
		case "wait":
			now = now.Add(time.Hour)
			return ""
		case "lose_vms":
			return loseVMs(t, data, tracker, now)
		}
		return strings.Join(lines, "\n") + "\n"
	})
}

// loseVMs records the loss of several VMs, each with the same requests in flight, and returns how many requests are
// quarantined.
func loseVMs(t *testing.T, data *datadriven.TestData, tracker *Tracker, now time.Time) string {
	var requests, losses, quarantined int
	data.ScanArgs(t, "requests", &requests)
	data.ScanArgs(t, "losses", &losses)
	for range losses {
		for fingerprint := range uint64(requests) {
			tracker.RecordCrash(now, fingerprint, VMCrash, false)
		}
	}
	for fingerprint := range uint64(requests) {
		if tracker.Quarantined(now, fingerprint) {
			quarantined++
		}
	}
	return fmt.Sprintf("quarantined: %d\n", quarantined)
}
