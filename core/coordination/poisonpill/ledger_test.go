package poisonpill

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLedger runs testdata/ledger: engine ends under requests, as members report them. Times are offsets from a common start.
func TestLedger(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start
	var ledger *Ledger
	at := func(text string) time.Time {
		offset, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		return start.Add(offset)
	}
	fingerprint := func(name string) Fingerprint { return FingerprintOf("POST", "host", "/"+name, []byte("body")) }
	datadriven.RunTest(t, "testdata/ledger", func(t *testing.T, data *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(data.Input) {
			words := strings.Fields(line)
			switch words[0] {
			case "now": // now OFFSET
				now = at(words[1])
			case "end": // end REQUEST ENGINE SENT ENDED [PROCESS]
				end := EngineEnd{Fingerprint: fingerprint(words[1]), Engine: words[2], Sent: at(words[3]), Ended: at(words[4])}
				if len(words) > 5 {
					end.Process = words[5]
				}
				added := ledger.Add(now, end)
				fmt.Fprintf(&out, "added: %v\n", added)
			case "ends": // ends REQUEST ENGINE COUNT: one a second
				var count, added int
				if _, err := fmt.Sscan(words[3], &count); err != nil {
					t.Fatal(err)
				}
				for number := range count {
					sent := start.Add(time.Duration(number) * time.Second)
					if ledger.Add(now, EngineEnd{Fingerprint: fingerprint(words[1]), Engine: words[2], Sent: sent, Ended: sent.Add(time.Second / 2)}) {
						added++
					}
				}
				fmt.Fprintf(&out, "added: %d\n", added)
			case "clear": // clear REQUEST AT
				fmt.Fprintf(&out, "removed: %d\n", len(ledger.Clear(Clearance{Fingerprint: fingerprint(words[1]), At: at(words[2])})))
			case "status": // status REQUEST
				quarantine, ok := ledger.Quarantine(now, fingerprint(words[1]))
				if !ok {
					fmt.Fprintf(&out, "suspected: %v\n", ledger.Suspected(fingerprint(words[1])))
					continue
				}
				unproven := ""
				if quarantine.Unproven {
					unproven = ", unproven"
				}
				fmt.Fprintf(&out, "quarantined: %d ends, until %s, %d trials from %s%s\n", len(quarantine.Ends), quarantine.Until.Sub(start), quarantine.Trials, quarantine.Trial.Sub(start), unproven)
			case "all":
				fmt.Fprintf(&out, "ends: %d of %d requests\n", len(ledger.All(now)), ledger.Len())
			case "ledger": // ledger MAX_REQUESTS
				var maxRequests int
				if _, err := fmt.Sscan(words[1], &maxRequests); err != nil {
					t.Fatal(err)
				}
				ledger, now = &Ledger{MaxRequests: maxRequests}, start
			default:
				t.Fatalf("unknown command %q", words[0])
			}
		}
		return out.String()
	})
}

// TestFingerprint checks that each part of a request counts, and that a fingerprint survives its encoding.
func TestFingerprint(t *testing.T) {
	base := FingerprintOf("POST", "host", "/path?query", []byte("body"))
	for _, other := range []Fingerprint{
		FingerprintOf("PUT", "host", "/path?query", []byte("body")), FingerprintOf("POST", "other", "/path?query", []byte("body")),
		FingerprintOf("POST", "host", "/path?other", []byte("body")), FingerprintOf("POST", "host", "/path?query", []byte("other")),
		FingerprintOf("POST", "host/", "path?query", []byte("body")),
	} {
		if other == base {
			t.Errorf("two different requests have the fingerprint %s", base)
		}
	}
	if parsed, err := ParseFingerprint(base.String()); err != nil || parsed != base {
		t.Errorf("parsing %s: %s, %v", base, parsed, err)
	}
	for _, text := range []string{"", "xy", "00"} {
		if _, err := ParseFingerprint(text); err == nil {
			t.Errorf("%q was parsed", text)
		}
	}
}
