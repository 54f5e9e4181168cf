package quota

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLimiter runs testdata/limiter: the decisions of one process about jobs of a route, in the order in which they arrive.
// Times are offsets from the start of the process.
func TestLimiter(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	datadriven.RunTest(t, "testdata/limiter", func(t *testing.T, data *datadriven.TestData) string {
		var out strings.Builder
		limiter, bound, usage := &Limiter{Started: start}, Bound{}, Usage{}
		var last *Grant
		for line := range strings.Lines(data.Input) {
			words := strings.Fields(line)
			numbers := map[string]int64{}
			durations := map[string]time.Duration{}
			for _, word := range words[1:] {
				name, text, _ := strings.Cut(word, "=")
				if duration, err := time.ParseDuration(text); err == nil {
					durations[name] = duration
				}
				var number int64
				if _, err := fmt.Sscan(text, &number); err == nil {
					numbers[name] = number
				}
			}
			switch words[0] {
			case "bound": // tokens= percent=
				bound = Bound{Tokens: numbers["tokens"], Overshoot: float64(numbers["percent"]) / 100}
			case "usage": // waiting= seen= latest= finished= processes= age=
				usage = Usage{Waiting: numbers["waiting"], Seen: Counter{Tokens: numbers["seen"]}, Latest: Counter{Tokens: numbers["latest"]},
					Finished: numbers["finished"], Processes: int(numbers["processes"]), ViewAge: durations["age"]}
			case "job": // at= tokens=
				decision := limiter.Decide(start.Add(durations["at"]), bound, usage, numbers["tokens"])
				last = decision.Grant
				fmt.Fprintf(&out, "%s: estimate %d, retry after %s\n", decision.Verdict, decision.Estimate, decision.RetryAfter)
			case "written": // at=
				limiter.Settle(last, start.Add(durations["at"]))
			case "not-written":
				limiter.Refund(last)
			default:
				t.Fatalf("unknown command %q", words[0])
			}
		}
		return out.String()
	})
}

// model is a fleet of processes that accept jobs of one route. Time advances in steps of 10 ms.
type model struct {
	random    *rand.Rand
	now       time.Time
	bound     Bound
	jobs      []*modelJob // in the order in which they were written
	counter   Counter
	processes []*modelProcess
	writes    []*modelWrite // on the way to the store
}

// modelJob is an accepted job.
type modelJob struct {
	tokens   int64
	counter  Counter // after the job was written
	written  time.Time
	finished time.Time
}

// modelProcess is a process with a view that lags behind.
type modelProcess struct {
	limiter Limiter
	asOf    time.Time
	latest  Counter
}

// modelWrite is a write that takes effect at a time, if its condition holds then.
type modelWrite struct {
	process *modelProcess
	tokens  int64
	grant   *Grant
	base    Counter // of a counted job: the counter that its condition names
	at      time.Time
	retries int
}

// usage returns what process knows.
func (model *model) usage(process *modelProcess) (usage Usage) {
	usage = Usage{ViewAge: model.now.Sub(process.asOf), Processes: len(model.processes)}
	for _, job := range model.jobs {
		switch {
		case job.written.After(process.asOf):
			continue
		case job.finished.After(process.asOf):
			usage.Waiting += job.tokens
		default:
			usage.Finished += job.tokens
		}
		usage.Seen = job.counter
	}
	usage.Latest = process.latest
	if usage.Seen.Revision > usage.Latest.Revision {
		usage.Latest = usage.Seen
	}
	return usage
}

// waiting returns the tokens that wait.
func (model *model) waiting() (tokens int64) {
	for _, job := range model.jobs {
		if job.finished.After(model.now) {
			tokens += job.tokens
		}
	}
	return tokens
}

// duration returns a random duration below limit.
func (model *model) duration(limit time.Duration) time.Duration {
	return time.Duration(model.random.Int64N(int64(limit)))
}

// submit has process decide about a job, and sends its write if it is accepted.
func (model *model) submit(process *modelProcess, tokens int64, retries int) {
	usage := model.usage(process)
	decision := process.limiter.Decide(model.now, model.bound, usage, tokens)
	if decision.Verdict == AcceptShared || decision.Verdict == AcceptCounted {
		write := &modelWrite{process: process, tokens: tokens, grant: decision.Grant, base: usage.Latest, at: model.now.Add(model.duration(1500 * time.Millisecond)), retries: retries}
		model.writes = append(model.writes, write)
	}
}

// land carries out the writes that are due.
func (model *model) land() {
	var later []*modelWrite
	due := model.writes
	model.writes = nil
	for _, write := range due {
		if write.at.After(model.now) {
			later = append(later, write)
			continue
		}
		if write.grant == nil {
			if write.base.Revision != model.counter.Revision {
				write.process.latest = model.counter // the response to the failed write shows it
				if write.retries < 3 {
					model.submit(write.process, write.tokens, write.retries+1)
				}
				continue
			}
			model.counter = model.counter.WithTokens(write.tokens)
			model.counter.Revision++
			write.process.latest = model.counter
		} else {
			write.process.limiter.Settle(write.grant, model.now)
		}
		model.jobs = append(model.jobs, &modelJob{tokens: write.tokens, counter: model.counter, written: model.now, finished: model.now.Add(model.duration(20 * time.Second))})
	}
	model.writes = append(model.writes, later...)
}

// TestBurstsAtManyProcesses checks that bursts of jobs, which arrive at processes whose views lag behind by up to MaxViewAge and
// whose writes take up to 1.5 s, never make more tokens wait than the bound and its overshoot, and that the bound is reached.
func TestBurstsAtManyProcesses(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		model := &model{random: random, now: start, bound: Bound{Tokens: 100000, Overshoot: 0.1}}
		for range 1 + random.IntN(24) {
			model.processes = append(model.processes, &modelProcess{limiter: Limiter{Started: start}, asOf: start})
		}
		limit, most := int64(float64(model.bound.Tokens)*(1+model.bound.Overshoot)), int64(0)
		for step := range 4000 {
			model.now = start.Add(time.Duration(step) * 10 * time.Millisecond)
			for _, process := range model.processes {
				if lag := model.now.Sub(process.asOf); lag >= MaxViewAge-20*time.Millisecond || random.IntN(100) == 0 {
					process.asOf = model.now.Add(-model.duration(lag + 1))
				}
			}
			model.land()
			rate := 1 // jobs in 100 steps
			if step%700 < 150 {
				rate = 60
			}
			if random.IntN(100) < rate {
				model.submit(model.processes[random.IntN(len(model.processes))], 200+random.Int64N(4000), 0)
			}
			most = max(most, model.waiting())
		}
		if most > limit {
			t.Errorf("seed %d, %d processes: %d tokens waited, want at most %d", seed, len(model.processes), most, limit)
		}
		if most < model.bound.Tokens/2 {
			t.Errorf("seed %d, %d processes: at most %d tokens waited, so the bound was not reached", seed, len(model.processes), most)
		}
	}
}
