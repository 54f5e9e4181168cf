package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cowslipway/io/protocol/caller"
)

const (
	maxIdleConnections = 4096 // in all and per host
)

// Runner generates the load of a plan. A Runner can be used once.
type Runner struct {
	Plan Plan

	client  *http.Client
	start   time.Time
	results []*Result
}

// Run generates the load until the plan's warm-up and duration are over or ctx ends. At the end of the plan, it waits
// for the requests of open loops that are in flight; those of closed loops are cancelled and count as Failed.
// It returns one result per class, in the order of the plan.
func (runner *Runner) Run(ctx context.Context) (results []*Result) {
	transport := &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	runner.client = &http.Client{Transport: transport}
	runner.start = time.Now()
	var group sync.WaitGroup
	for i, class := range runner.Plan.Classes {
		result := newResult(class.Name, runner.Plan.Warmup.Duration(), runner.Plan.Duration.Duration())
		runner.results = append(runner.results, result)
		random := rand.New(rand.NewPCG(runner.Plan.Seed, uint64(i)))
		group.Go(func() {
			if class.Rate > 0 {
				runner.runOpenLoop(ctx, class, result, random)
			} else {
				runner.runClosedLoop(ctx, class, result)
			}
		})
	}
	group.Wait()
	return runner.results
}

// totalDuration returns the length of the run, warm-up included.
func (runner *Runner) totalDuration() time.Duration {
	return runner.Plan.Warmup.Duration() + runner.Plan.Duration.Duration()
}

// runOpenLoop sends each request at its scheduled time, without waiting for earlier responses.
func (runner *Runner) runOpenLoop(ctx context.Context, class Class, result *Result, random *rand.Rand) {
	var group sync.WaitGroup
	for i, at := range class.arrivalTimes(random, runner.totalDuration()) {
		scheduled := runner.start.Add(at)
		time.Sleep(time.Until(scheduled))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { runner.sendRequest(ctx, class, result, i, scheduled) })
	}
	group.Wait()
}

// runClosedLoop keeps class.Concurrency requests in flight until the run is over. The last ones are cancelled then.
func (runner *Runner) runClosedLoop(ctx context.Context, class Class, result *Result) {
	ctx, cancel := context.WithDeadline(ctx, runner.start.Add(runner.totalDuration()))
	defer cancel()
	var group sync.WaitGroup
	for worker := range class.Concurrency {
		group.Go(func() {
			for i := worker; ctx.Err() == nil; i += class.Concurrency {
				runner.sendRequest(ctx, class, result, i, time.Now())
			}
		})
	}
	group.Wait()
}

// RequestBody returns the JSON body of request number i. Equal classes yield equal bodies, and bodies that differ
// in i by a multiple of PrefixCount share their prefix.
func (class Class) RequestBody(i int) []byte {
	prefix := ""
	if class.PrefixCount > 0 {
		prefix = repeatToSize(fmt.Sprintf("prefix %d ", i%class.PrefixCount), class.PrefixBytes)
	}
	body, err := json.Marshal(map[string]any{
		"model":      class.Model,
		"stream":     class.Stream,
		"max_tokens": class.maxTokens(i),
		"messages": []map[string]string{
			{"role": "system", "content": prefix},
			{"role": "user", "content": repeatToSize(fmt.Sprintf("%s %d ", class.Name, i), class.PromptBytes)},
		},
	})
	if err != nil {
		panic(err) // only strings and numbers are encoded
	}
	return body
}

// maxTokens returns the value of max_tokens in request number i.
func (class Class) maxTokens(i int) int {
	if !class.VaryTokens {
		return class.MaxTokens
	}
	random := rand.New(rand.NewPCG(uint64(i), 0))
	return class.MaxTokens/2 + random.IntN(class.MaxTokens+1)
}

// repeatToSize repeats text until it has size bytes. It returns "" if size is not positive.
func repeatToSize(text string, size int) string {
	if size <= 0 {
		return ""
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// sendRequest sends request number i of class and adds its outcome and latency to result.
func (runner *Runner) sendRequest(ctx context.Context, class Class, result *Result, i int, scheduled time.Time) {
	ctx, cancel := context.WithTimeout(ctx, class.Timeout.Duration())
	defer cancel()
	server := class.Servers[i%len(class.Servers)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server+"/v1/chat/completions", bytes.NewReader(class.RequestBody(i)))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+class.APIKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(caller.TimeoutHeader, class.Timeout.Duration().String())
	if class.RequestIDPrefix != "" {
		request.Header.Set("X-Request-Id", fmt.Sprintf("%s%d", class.RequestIDPrefix, i))
	}
	sample := requestSample{scheduled: scheduled.Sub(runner.start)}
	response, err := runner.client.Do(request)
	if err != nil {
		sample.outcome = Failed
		result.add(sample)
		return
	}
	defer func() { _ = response.Body.Close() }()
	sample.target = response.Header.Get(caller.TargetHeader)
	switch {
	case response.StatusCode == http.StatusOK && class.Stream:
		sample.readStream(response.Body, scheduled)
	case response.StatusCode == http.StatusOK:
		_, err = io.Copy(io.Discard, response.Body)
		sample.recordWholeResponse(err, scheduled)
	case response.Header.Get(caller.DispositionHeader) == "not_run":
		sample.outcome = Rejected
	default:
		sample.outcome = Failed
	}
	result.add(sample)
}

// recordWholeResponse sets the outcome and latency of a response that was not streamed; err is the error of reading it.
func (sample *requestSample) recordWholeResponse(err error, scheduled time.Time) {
	sample.outcome = Done
	if err != nil {
		sample.outcome = Failed
	}
	sample.latency = time.Since(scheduled)
	sample.firstToken = sample.latency
}

// readStream reads a stream of server-sent events and sets the outcome, the latency, the time to the
// first token and the gaps between events.
// A stream without the closing [DONE] event counts as Failed.
func (sample *requestSample) readStream(body io.Reader, scheduled time.Time) {
	scanner := bufio.NewScanner(body)
	last := time.Time{}
	sample.outcome = Failed
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		now := time.Now()
		if line == "data: [DONE]" {
			sample.outcome, sample.latency = Done, now.Sub(scheduled)
			return
		}
		if last.IsZero() {
			sample.firstToken = now.Sub(scheduled)
		} else {
			sample.gaps = append(sample.gaps, now.Sub(last))
		}
		last = now
	}
}
