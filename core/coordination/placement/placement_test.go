package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/fleet"
)

// script runs the commands of a test file against one pool. Commands name engines by ID; "at" sets the time since start.
type script struct {
	t       *testing.T
	pool    *Pool
	now     time.Time
	start   time.Time
	engines map[string]fleet.Engine
}

// TestPool runs the scripts in testdata/pool, each with a new pool.
func TestPool(t *testing.T) {
	datadriven.Walk(t, "testdata/pool", func(t *testing.T, path string) {
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		script := &script{t: t, now: start, start: start, engines: map[string]fleet.Engine{}}
		script.pool = &Pool{Self: "self", Random: rand.New(rand.NewPCG(1, 2))}
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			return script.run(data)
		})
	})
}

// run runs the commands in the input of data, one per line, and returns their output.
func (script *script) run(data *datadriven.TestData) string {
	var out strings.Builder
	for line := range strings.Lines(data.Input) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if output := script.command(words); output != "" {
			fmt.Fprintln(&out, output)
		}
	}
	return out.String()
}

// command runs one command and returns its output.
func (script *script) command(words []string) string {
	arguments := map[string]string{}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		arguments[name] = value
	}
	switch words[0] {
	case "at":
		elapsed, err := time.ParseDuration(words[1])
		must(script.t, err)
		script.now = script.start.Add(elapsed)
		return ""
	case "engines":
		return script.setEngines(words[1:])
	case "counts":
		return script.applyCounts(words[1], words[2:])
	case "online":
		return script.online(arguments)
	case "batch":
		engine, ok := script.pool.AcquireBatch(script.now, Request{Service: cmp.Or(arguments["service"], "llm")})
		if !ok {
			return "no free slot"
		}
		return "batch at " + engine.ID
	case "release":
		script.pool.Release(script.now, script.engines[words[1]], len(words) > 2)
		return ""
	case "failed":
		script.pool.RecordFailure(script.now, script.engines[words[1]])
		return ""
	case "succeeded":
		script.pool.RecordSuccess(script.now, script.engines[words[1]])
		return ""
	case "report":
		for _, word := range words[2:] {
			var requests int
			_, err := fmt.Sscan(word, &requests)
			must(script.t, err)
			script.pool.RecordReporterLoad(words[1], requests)
		}
		return ""
	case "response":
		var requests int
		_, err := fmt.Sscan(words[2], &requests)
		must(script.t, err)
		return fmt.Sprint("full: ", script.pool.RecordResponseLoad(script.now, script.engines[words[1]], requests, len(words) > 3))
	case "overloaded":
		return fmt.Sprint("overloaded: ", script.pool.Overloaded(script.now, script.engines[words[1]]))
	case "queue":
		var lines []string
		for _, grant := range script.pool.ProcessQueue(script.now) {
			lines = append(lines, fmt.Sprintf("ticket %d: %s", grant.Ticket, describe(grant.Decision)))
		}
		return strings.Join(lines, "\n")
	case "preemptions":
		return script.preemptions()
	case "preview":
		if words[1] == "batch" {
			return describePreview(script.pool.PreviewBatch(script.now, Request{Service: "llm"}))
		}
		return describePreview(script.pool.PreviewOnline(script.now, Request{Service: "llm", Deadline: script.now.Add(240 * time.Millisecond)}))
	case "owners":
		owners := script.pool.BatchOwners(script.engines[words[1]])
		slices.Sort(owners)
		return fmt.Sprint(owners)
	}
	script.t.Fatalf("unknown command %q", words[0])
	return ""
}

// setEngines replaces the engines, each given as ID:SLOTS, ID:SLOTS:draining, ID:SLOTS:restarted or, of another service, ID:SLOTS:other.
func (script *script) setEngines(words []string) string {
	var engines []fleet.Engine
	for _, word := range words {
		parts := strings.Split(word, ":")
		engine := fleet.Engine{ID: parts[0], Service: "llm", FailureDomain: "a", Address: parts[0]}
		_, err := fmt.Sscan(parts[1], &engine.Slots)
		must(script.t, err)
		engine.Draining = slices.Contains(parts[2:], "draining")
		if slices.Contains(parts[2:], "restarted") {
			engine.StartUnixMilli = 1
		}
		if slices.Contains(parts[2:], "other") {
			engine.Service = "other"
		}
		engines = append(engines, engine)
		script.engines[engine.ID] = engine
	}
	script.pool.SetEngines(engines)
	return ""
}

// applyCounts applies the load counts of a peer, each as ENGINE:ONLINE:BATCH or ENGINE:ONLINE:BATCH:ejected; "lost" removes
// the peer.
func (script *script) applyCounts(peer string, words []string) string {
	if len(words) == 1 && words[0] == "lost" {
		script.pool.ApplyCounts(peer, nil)
		return ""
	}
	counts := []Counts{}
	for _, word := range words {
		parts := strings.Split(word, ":")
		count := Counts{Engine: script.engines[parts[0]].Digest()}
		count.Ejected = len(parts) > 3
		_, err := fmt.Sscan(parts[1]+" "+parts[2], &count.Online, &count.Batch)
		must(script.t, err)
		counts = append(counts, count)
	}
	script.pool.ApplyCounts(peer, counts)
	return ""
}

// online places online requests, with the arguments service, wait (time until the deadline, 240 ms by default), times (1 by default)
// and prefix (digest and tokens of the shared part of the prompt), and returns the decisions and how often each was made.
func (script *script) online(arguments map[string]string) string {
	wait := 240 * time.Millisecond
	if text, ok := arguments["wait"]; ok {
		var err error
		wait, err = time.ParseDuration(text)
		must(script.t, err)
	}
	times := 1
	if text, ok := arguments["times"]; ok {
		_, err := fmt.Sscan(text, &times)
		must(script.t, err)
	}
	var prefix Prefix
	if text, ok := arguments["prefix"]; ok {
		_, err := fmt.Sscanf(text, "%d:%d", &prefix.Digest, &prefix.Tokens)
		must(script.t, err)
	}
	_, skipEjected := arguments["skip-ejected"]
	summary := map[string]int{}
	for range times {
		decision := script.pool.AcquireOnline(script.now, Request{Service: cmp.Or(arguments["service"], "llm"), Deadline: script.now.Add(wait), Prefix: prefix, SkipEjected: skipEjected})
		summary[describe(decision)]++
	}
	var lines []string
	for text, count := range summary {
		if count > 1 {
			text = fmt.Sprintf("%d x %s", count, text)
		}
		lines = append(lines, text)
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// describe returns a decision as the test files show it.
func describe(decision Decision) string {
	switch {
	case decision.Admitted && decision.Urgent:
		return "at " + decision.Engine.ID + ", urgent"
	case decision.Admitted:
		return "at " + decision.Engine.ID
	case decision.Ticket != 0:
		return fmt.Sprintf("queued with ticket %d", decision.Ticket)
	}
	return fmt.Sprintf("rejected (%s), retry after %s", decision.Reason, decision.RetryAfter.Round(time.Millisecond))
}

// describePreview returns a preview as the test files show it.
func describePreview(preview Preview) string {
	var out strings.Builder
	fmt.Fprintf(&out, "admitted: %t, queued: %t, retry after %s", preview.Admitted, preview.Queued, preview.RetryAfter.Round(time.Millisecond))
	for _, prospect := range preview.Engines {
		fmt.Fprintf(&out, "\n%s: chosen: %t, load %d, batch %d", prospect.Engine.ID, prospect.Share > 0, prospect.Load, prospect.Batch)
		if prospect.Obstacle != "" {
			fmt.Fprintf(&out, ", %s", prospect.Obstacle)
		}
	}
	return out.String()
}

// preemptions returns the number of batch items to preempt at each engine.
func (script *script) preemptions() string {
	preemptions := script.pool.Preemptions(script.now)
	var lines []string
	for id, engine := range script.engines {
		if count := preemptions[engine.Digest()]; count > 0 {
			lines = append(lines, fmt.Sprintf("%d at %s", count, id))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestPreemptionsMatchExcess checks that three workers with batch items at one engine, all of which have received the same
// load counts, together preempt exactly one item for each online request that exceeds the engine's slots.
func TestPreemptionsMatchExcess(t *testing.T) {
	engine := fleet.Engine{ID: "e", Service: "llm", Slots: 8}
	workers := []string{"w1", "w2", "w3"}
	for online := 3; online <= 8; online++ {
		total := 0
		for _, self := range workers {
			pool := &Pool{Self: self, Random: rand.New(rand.NewPCG(1, 2))}
			pool.SetEngines([]fleet.Engine{engine})
			pool.ApplyCounts("entry", []Counts{{Engine: engine.Digest(), Online: online}})
			for range 2 {
				if _, ok := pool.AcquireBatch(time.Now(), Request{Service: "llm"}); !ok && online == 3 {
					t.Fatalf("no slot for a batch item beside %d online requests", online)
				}
			}
			pool.engines[engine.Digest()].localBatch = 2
			for _, other := range workers {
				if other != self {
					pool.ApplyCounts(other, []Counts{{Engine: engine.Digest(), Batch: 2}})
				}
			}
			total += pool.Preemptions(time.Now())[engine.Digest()]
		}
		if excess := online + 6 - 8; total != excess {
			t.Errorf("%d online requests and 6 batch items at 8 slots: %d items preempted, want %d", online, total, excess)
		}
	}
}
