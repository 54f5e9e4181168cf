package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLosses runs testdata/losses: losses of attempts at one target daemon, and what becomes known of the daemon afterwards.
func TestLosses(t *testing.T) {
	var held *losses
	now := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/losses", func(t *testing.T, data *datadriven.TestData) string {
		argument := func(index int) string { return data.CmdArgs[index].Key }
		switch data.Cmd {
		case "losses":
			held = &losses{}
		case "lose":
			var fingerprint uint64
			if _, err := fmt.Sscan(argument(0), &fingerprint); err != nil {
				t.Fatal(err)
			}
			held.add(loss{fingerprint: fingerprint, incarnation: argument(1), at: now})
		case "wait":
			delay, err := time.ParseDuration(argument(0))
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(delay)
		case "reached":
			return fmt.Sprintf("counts against %v\n", held.reached(now, argument(0)))
		case "unreachable":
			return fmt.Sprintf("counts against %v\n", held.unreachable(now))
		default:
			t.Fatalf("unknown command %q", data.Cmd)
		}
		return "ok\n"
	})
}
