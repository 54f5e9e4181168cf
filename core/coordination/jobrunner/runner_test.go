package jobrunner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newJob(id string, due time.Duration, items int) *jobrecord.Job {
	job := &jobrecord.Job{ID: id, Due: start.Add(due), AbandonAfter: start.Add(time.Minute)}
	for i := range items {
		job.Items = append(job.Items, jobrecord.Item{ID: fmt.Sprintf("%s-%d", id, i)})
	}
	return job
}

func TestRunner(t *testing.T) {
	datadriven.Walk(t, "testdata/runner", func(t *testing.T, path string) {
		runner, now := &Runner{}, start
		running := map[string]ItemRun{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(data.Input) {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				switch words[0] {
				case "at":
					passed, err := time.ParseDuration(words[1])
					must(t, err)
					now = start.Add(passed)
				case "adopt": // adopt JOB items=N due=D epoch=E
					var items int
					var epoch int64
					var due string
					_, err := fmt.Sscanf(strings.Join(words[2:], " "), "items=%d due=%s epoch=%d", &items, &due, &epoch)
					must(t, err)
					in, err := time.ParseDuration(due)
					must(t, err)
					runner.Add(jobrecord.View{Job: newJob(words[1], in, items), Ownership: jobrecord.VersionedOwnership{Epoch: epoch}}, 3, nil)
				case "next":
					work, ok := runner.Next(now)
					if !ok {
						fmt.Fprintln(&out, "nothing to run")
						continue
					}
					running[work.Item.ID] = work
					fmt.Fprintf(&out, "%s after event %q\n", work.Item.ID, work.Progress.LastEvent)
				case "ended": // ended ITEM verdict [events]
					work := running[words[1]]
					progress := work.Progress
					if len(words) > 3 {
						progress = jobrecord.Progress{LastEvent: words[3], Data: strings.Split(words[3], "")}
					}
					runner.RecordOutcome(now, work, Outcome(slices.Index(verdictNames[:], words[2])), progress)
				case "commit":
					for _, part := range runner.NextCommit() {
						fmt.Fprintf(&out, "%s chunk %d under %d: %+v\n", part.Job, part.Number, part.Epoch, part.Chunk.Results)
					}
				case "committed":
					fmt.Fprintln(&out, "complete:", runner.Committed())
				case "conflict": // conflict [written] [owned]
					dropped := runner.Conflicted(func(ChunkWrite) (bool, bool) {
						return slices.Contains(words, "written"), slices.Contains(words, "owned")
					})
					fmt.Fprintln(&out, "dropped:", dropped)
				case "jobs":
					fmt.Fprintln(&out, runner.IDs())
				case "unfinished":
					fmt.Fprintln(&out, runner.UnfinishedProgress(words[1]))
				default:
					t.Fatalf("unknown command %q", words[0])
				}
			}
			return out.String()
		})
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestPreferredOwnerMovesLittle(t *testing.T) {
	workers := []fleet.Member{{Name: "a", Incarnation: "1"}, {Name: "b", Incarnation: "1"}, {Name: "c", Incarnation: "1"}}
	moved, shares := 0, map[string]int{}
	for i := range 3000 {
		job := fmt.Sprint(i)
		before := PreferredOwner(job, workers)
		shares[before]++
		if after := PreferredOwner(job, workers[:2]); before != "c/1" && after != before {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d jobs of workers that stayed have moved", moved)
	}
	for owner, share := range shares {
		if share < 900 || share > 1100 { // a third of 3,000 within four standard deviations
			t.Errorf("%s is preferred for %d of 3,000 jobs", owner, share)
		}
	}
	workers[0].Leaving = true
	if owner := PreferredOwner("x", workers[:1]); owner != "" {
		t.Errorf("a leaving worker is preferred: %s", owner)
	}
}

// model plays owners over one store that loses, delays and doubles what they write.
type model struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	job     *jobrecord.Job
	epoch   int64 // revision of the ownership record
	owner   int
	ended   bool
	chunks  []jobrecord.Chunk // as readers see them
	shown   []jobrecord.Result
	owners  []*Runner
	running []map[string]ItemRun
	late    []func()
}

const (
	modelSchedules = 2000
	modelSteps     = 400
	modelItems     = 4
	modelOwners    = 3
	modelEvents    = 5
)

// TestOneResultAnItem explores random schedules of owners, writes with lost and late answers, takeovers, pauses and ends.
// An observer of the store alone checks that no item stands twice, that what was shown stays, that no text lacks or
// repeats an event, and that nothing is given up before its time.
func TestOneResultAnItem(t *testing.T) {
	completed := 0
	for seed := range uint64(modelSchedules) {
		model := &model{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: start, job: newJob("j", time.Second, modelItems), epoch: 1, owner: -1}
		for range modelOwners {
			model.owners, model.running = append(model.owners, &Runner{}), append(model.running, map[string]ItemRun{})
		}
		for range modelSteps {
			model.now = model.now.Add(time.Duration(model.random.IntN(300)) * time.Millisecond)
			model.step()
			model.observe(seed)
			if t.Failed() {
				return
			}
		}
		if len(model.shown) == modelItems {
			completed++
		}
	}
	if completed < modelSchedules/2 {
		t.Errorf("only %d of %d schedules completed their job: the exploration shows little", completed, modelSchedules)
	}
}

func (model *model) step() {
	at := model.random.IntN(modelOwners)
	runner := model.owners[at]
	switch model.random.IntN(12) {
	case 0: // takeover, of an owner that may not know it
		if model.random.IntN(10) == 0 || model.owner < 0 {
			model.takeOver(at)
		}
	case 1, 2, 3:
		if work, ok := runner.Next(model.now); ok {
			model.running[at][work.Item.ID] = work
		}
	case 4, 5, 6, 7:
		model.endRun(at)
	case 8, 9, 10:
		model.write(runner)
	case 11:
		if len(model.late) > 0 { // a write that was lost takes effect now, if its conditions hold
			effect := model.late[0]
			model.late = model.late[1:]
			effect()
		}
		if model.random.IntN(200) == 0 && !model.ended {
			model.epoch++
			model.ended = true
		}
	}
}

func (model *model) takeOver(at int) {
	if model.ended {
		return
	}
	model.epoch++
	model.owner = at
	model.owners[at].Remove(model.job.ID)
	clear(model.running[at])
	var results []jobrecord.Result
	for _, chunk := range model.chunks {
		results = append(results, chunk.Results...)
	}
	view := jobrecord.View{Job: model.job, Ownership: jobrecord.VersionedOwnership{Epoch: model.epoch}, Results: results, Chunks: len(model.chunks)}
	model.owners[at].Add(view, 3, nil)
}

// endRun ends one of the runs of an owner, with some more events or all.
func (model *model) endRun(at int) {
	ids := slices.Sorted(maps.Keys(model.running[at]))
	if len(ids) == 0 {
		return
	}
	id := ids[model.random.IntN(len(ids))]
	work := model.running[at][id]
	delete(model.running[at], id)
	events := len(work.Progress.Data)
	progress := jobrecord.Progress{LastEvent: work.Progress.LastEvent, Data: slices.Clone(work.Progress.Data)}
	for further := model.random.IntN(modelEvents + 1); further > 0 && events < modelEvents; further-- {
		events++
		progress.LastEvent, progress.Data = fmt.Sprint(events), append(progress.Data, fmt.Sprintf("%s.%d", id, events))
	}
	verdict := []Outcome{Interrupted, Preempted, NotExecuted, Errored}[model.random.IntN(4)]
	if events == modelEvents {
		verdict = Finished
	}
	model.owners[at].RecordOutcome(model.now, work, verdict, progress)
}

// write sends the commit of an owner: its effect and its answer may each be lost, and the effect may come late.
func (model *model) write(runner *Runner) {
	parts := runner.NextCommit()
	if len(parts) == 0 {
		return
	}
	part := parts[0]
	effect := func() bool {
		if part.Epoch != model.epoch || part.Number != len(model.chunks) || model.ended {
			return false
		}
		model.chunks = append(model.chunks, part.Chunk)
		return true
	}
	switch model.random.IntN(4) {
	case 0: // neither
	case 1: // takes effect later, without an answer
		model.late = append(model.late, func() { effect() })
	case 2: // takes effect, its answer is lost
		effect()
	case 3:
		if effect() {
			runner.Committed()
			return
		}
		runner.Conflicted(func(part ChunkWrite) (written, owned bool) {
			written = part.Number < len(model.chunks) && fmt.Sprint(model.chunks[part.Number]) == fmt.Sprint(part.Chunk)
			return written, part.Epoch == model.epoch && !model.ended && (written || part.Number >= len(model.chunks))
		})
	}
}

// observe checks what readers see.
func (model *model) observe(seed uint64) {
	var results []jobrecord.Result
	for _, chunk := range model.chunks {
		results = append(results, chunk.Results...)
	}
	if len(results) < len(model.shown) || !slices.Equal(results[:len(model.shown)], model.shown) {
		model.t.Errorf("seed %d: what was shown has changed: %v, then %v", seed, model.shown, results)
	}
	model.shown = slices.Clone(results)
	seen := map[string]bool{}
	for _, result := range results {
		if seen[result.ID] {
			model.t.Errorf("seed %d: item %s stands twice", seed, result.ID)
		}
		seen[result.ID] = true
		var lines []string
		for i := range modelEvents {
			lines = append(lines, fmt.Sprintf("%s.%d", result.ID, i+1))
		}
		if result.State == jobrecord.Completed && result.Text != strings.Join(lines, "\n") {
			model.t.Errorf("seed %d: text of %s is %q", seed, result.ID, result.Text)
		}
	}
}
