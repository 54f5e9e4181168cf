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
	maxConnections = 4096
)

// Runner carries out a plan.
type Runner struct {
	Plan Plan

	client  *http.Client
	began   time.Time
	results []*Result
}

// Run offers the load and returns a result a class; it stops by itself.
func (runner *Runner) Run(ctx context.Context) (results []*Result) {
	transport := &http.Transport{MaxIdleConns: maxConnections, MaxIdleConnsPerHost: maxConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	runner.client = &http.Client{Transport: transport}
	runner.began = time.Now()
	var group sync.WaitGroup
	for i, class := range runner.Plan.Classes {
		result := newResult(class.Name, runner.Plan.Warmup.Duration(), runner.Plan.Duration.Duration())
		runner.results = append(runner.results, result)
		random := rand.New(rand.NewPCG(runner.Plan.Seed, uint64(i)))
		group.Go(func() {
			if class.Rate > 0 {
				runner.open(ctx, class, result, random)
			} else {
				runner.closed(ctx, class, result)
			}
		})
	}
	group.Wait()
	return runner.results
}

func (runner *Runner) total() time.Duration {
	return runner.Plan.Warmup.Duration() + runner.Plan.Duration.Duration()
}

// open sends each request at its scheduled instant.
func (runner *Runner) open(ctx context.Context, class Class, result *Result, random *rand.Rand) {
	var group sync.WaitGroup
	for i, at := range class.schedule(random, runner.total()) {
		due := runner.began.Add(at)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { runner.send(ctx, class, result, i, due) })
	}
	group.Wait()
}

// closed keeps a number of requests under way until the time is over.
func (runner *Runner) closed(ctx context.Context, class Class, result *Result) {
	ctx, cancel := context.WithDeadline(ctx, runner.began.Add(runner.total()))
	defer cancel()
	var group sync.WaitGroup
	for worker := range class.Concurrency {
		group.Go(func() {
			for i := worker; ctx.Err() == nil; i += class.Concurrency {
				runner.send(ctx, class, result, i, time.Now())
			}
		})
	}
	group.Wait()
}

// Body returns the body of request number i of class.
func (class Class) Body(i int) []byte {
	prefix := ""
	if class.Prefixes > 0 {
		prefix = filler(fmt.Sprintf("prefix %d ", i%class.Prefixes), class.PrefixBytes)
	}
	body, err := json.Marshal(map[string]any{
		"model":      class.Model,
		"stream":     class.Stream,
		"max_tokens": class.tokens(i),
		"messages": []map[string]string{
			{"role": "system", "content": prefix},
			{"role": "user", "content": filler(fmt.Sprintf("%s %d ", class.Name, i), class.PromptBytes)},
		},
	})
	if err != nil {
		panic(err) // only strings and numbers are encoded
	}
	return body
}

// tokens returns the tokens that request number i asks for.
func (class Class) tokens(i int) int {
	if !class.Vary {
		return class.MaxTokens
	}
	random := rand.New(rand.NewPCG(uint64(i), 0))
	return class.MaxTokens/2 + random.IntN(class.MaxTokens+1)
}

func filler(text string, size int) string {
	if size <= 0 {
		return ""
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}

func (runner *Runner) send(ctx context.Context, class Class, result *Result, i int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, class.Timeout.Duration())
	defer cancel()
	server := class.Servers[i%len(class.Servers)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server+"/v1/chat/completions", bytes.NewReader(class.Body(i)))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+class.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(caller.TimeoutHeader, class.Timeout.Duration().String())
	if class.RequestID != "" {
		request.Header.Set("X-Request-Id", fmt.Sprintf("%s%d", class.RequestID, i))
	}
	sample := sample{due: due.Sub(runner.began)}
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
		sample.read(response.Body, due)
	case response.StatusCode == http.StatusOK:
		_, err = io.Copy(io.Discard, response.Body)
		sample.whole(err, due)
	case response.Header.Get(caller.DispositionHeader) == "not_run":
		sample.outcome = Refused
	default:
		sample.outcome = Failed
	}
	result.add(sample)
}

// whole takes an answer that came in one piece.
func (sample *sample) whole(err error, due time.Time) {
	sample.outcome = Done
	if err != nil {
		sample.outcome = Failed
	}
	sample.latency = time.Since(due)
	sample.firstToken = sample.latency
}

// read takes a stream, token by token.
func (sample *sample) read(body io.Reader, due time.Time) {
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
			sample.outcome, sample.latency = Done, now.Sub(due)
			return
		}
		if last.IsZero() {
			sample.firstToken = now.Sub(due)
		} else {
			sample.gaps = append(sample.gaps, now.Sub(last))
		}
		last = now
	}
}
