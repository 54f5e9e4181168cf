package poisonpill

import (
	"cmp"
	"fmt"
	"strconv"
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
			case "part-end": // part-end PART BUILD ENGINE SENT ENDED [PROCESS]
				part := PartsOf(words[1:2])[0]
				end := EngineEnd{Fingerprint: part.Fingerprint, Part: part.ID, Build: words[2], Engine: words[3], Sent: at(words[4]), Ended: at(words[5])}
				if len(words) > 6 {
					end.Process = words[6]
				}
				fmt.Fprintf(&out, "added: %v\n", ledger.Add(now, end))
			case "sound": // sound PART BUILD AT, as this process has seen
				fmt.Fprintf(&out, "accused: %v\n", ledger.RecordSound(at(words[3]), PartsOf(words[1:2])[0].Fingerprint, words[2]))
			case "clear-part": // clear-part PART BUILD AT
				clearance := Clearance{Fingerprint: PartsOf(words[1:2])[0].Fingerprint, Build: words[2], At: at(words[3])}
				fmt.Fprintf(&out, "removed: %d\n", len(ledger.Clear(clearance)))
			case "request": // request REQUEST BUILD PART ...: the quarantines that apply to it at a build; the build "any" is that of no engine
				build := strings.TrimPrefix(words[2], "any")
				quarantines, ambiguous := ledger.Quarantines(now, Content{Request: fingerprint(words[1]), Parts: PartsOf(words[3:])}, build)
				for _, quarantine := range quarantines {
					fmt.Fprintf(&out, "%s: %d ends, %d trials from %s, due %v, unproven %v\n", cmp.Or(quarantine.Part, "request"), len(quarantine.Ends), quarantine.Trials, quarantine.Trial.Sub(start), quarantine.Due(now), quarantine.Unproven)
				}
				fmt.Fprintf(&out, "quarantines: %d, ambiguous %v\n", len(quarantines), ambiguous)
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
			case "item": // item REQUEST: when it may run as a batch item
				if quarantine, ok := ledger.Quarantine(now, fingerprint(words[1])); ok {
					fmt.Fprintf(&out, "item: %d ends, next trial at %s\n", len(quarantine.Ends), quarantine.ItemTrial.Sub(start))
				}
			case "all":
				fmt.Fprintf(&out, "ends: %d of %d requests\n", len(ledger.All(now)), ledger.Len())
			case "ledger": // ledger MAX_REQUESTS
				var maxRequests int
				if _, err := fmt.Sscan(words[1], &maxRequests); err != nil {
					t.Fatal(err)
				}
				ledger, now = &Ledger{MaxRequests: maxRequests, MaxSound: maxRequests}, start
			default:
				t.Fatalf("unknown command %q", words[0])
			}
		}
		return out.String()
	})
}

// BenchmarkQuarantines looks up a request with a part that ended engines, while each end is also that of other requests and parts. Guards
// against a lookup that walks all suspects: callers repeat what is refused, and each request with a suspected part is looked up.
func BenchmarkQuarantines(b *testing.B) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	parts := PartsOf([]string{"a", "b", "c"})
	for _, suspects := range []int{10, 500, 4096} {
		b.Run(strconv.Itoa(suspects), func(b *testing.B) {
			ledger := Ledger{MaxRequests: 4096, MaxSound: 4096}
			for number := range suspects {
				request := FingerprintOf("POST", "host", strconv.Itoa(number), nil)
				for end := range 5 {
					sent := start.Add(time.Duration(number%60*10+end) * time.Second)
					ledger.Add(start, EngineEnd{Fingerprint: request, Engine: fmt.Sprintf("e%d-%d", number%60, end), Sent: sent, Ended: sent.Add(time.Second / 2)})
				}
			}
			for end := range maxEnds {
				sent := start.Add(time.Duration(end/5*10+end%5) * time.Second)
				ledger.Add(start, EngineEnd{Fingerprint: parts[1].Fingerprint, Part: "b", Build: "s v1", Engine: fmt.Sprintf("e%d-%d", end/5, end%5), Sent: sent, Ended: sent.Add(time.Second / 2)})
			}
			content := Content{Request: FingerprintOf("POST", "host", "0", nil), Parts: parts}
			for b.Loop() {
				ledger.Quarantines(start, content, "s v1")
			}
		})
	}
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
