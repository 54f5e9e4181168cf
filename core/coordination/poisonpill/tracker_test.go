package poisonpill

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

func TestTracker(t *testing.T) {
	var tracker *Tracker
	now := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/tracker", func(t *testing.T, data *datadriven.TestData) string {
		var lines []string
		for _, word := range strings.Fields(data.Input) {
			var fingerprint uint64
			if _, err := fmt.Sscan(word, &fingerprint); err != nil {
				t.Fatal(err)
			}
			switch data.Cmd {
			case "engine_crash":
				tracker.RecordCrash(now, fingerprint, EngineCrash, data.HasArg("alone"))
			case "vm_crash":
				tracker.RecordCrash(now, fingerprint, VMCrash, data.HasArg("alone"))
			case "done":
				tracker.ClearSuspect(fingerprint)
			case "learn":
				tracker.AddSuspect(now, fingerprint)
			}
			lines = append(lines, fmt.Sprintf("%d suspect=%v condemned=%v", fingerprint, tracker.Suspect(now, fingerprint), tracker.Quarantined(now, fingerprint)))
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

// loseVMs loses one VM after another, each with the same requests in flight.
func loseVMs(t *testing.T, data *datadriven.TestData, tracker *Tracker, now time.Time) string {
	var requests, losses, condemned int
	data.ScanArgs(t, "requests", &requests)
	data.ScanArgs(t, "losses", &losses)
	for range losses {
		for fingerprint := range uint64(requests) {
			tracker.RecordCrash(now, fingerprint, VMCrash, false)
		}
	}
	for fingerprint := range uint64(requests) {
		if tracker.Quarantined(now, fingerprint) {
			condemned++
		}
	}
	return fmt.Sprintf("condemned: %d\n", condemned)
}
