package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/load"
	"cowslipway/internal/testcluster"
	"cowslipway/io/protocol/caller"
)

const (
	modelService   = "llm"
	plainService   = "plain"
	batchIDPrefix  = "batch_"               // prefix of the request IDs of batch items
	batchItems     = 12000                  // items of a batch job, enough for the job to outlast a run
	settleTime     = 300 * time.Millisecond // pause between the start of a cluster and its load
	requestTimeout = 20 * time.Second
	warmupTime     = 3 * time.Second
	measuredTime   = 5 * time.Second
)

// Harness holds the settings shared by all experiments and starts their clusters and load.
type Harness struct {
	Repeats int // runs of each variant
	Log     *zap.Logger
}

// Table holds the result of an experiment.
type Table struct {
	Columns []string
	Rows    [][]string
	Bars    []Bar  // bars of the plot; empty for no plot
	YLabel  string // quantity and unit of the bars
}

// Bar describes one bar of a plot.
type Bar struct {
	Label string
	Value float64
}

// samples holds one figure from each repeat of a variant.
type samples struct {
	values []float64
}

func (samples *samples) add(value float64) { samples.values = append(samples.values, value) }

// median returns the upper median of the samples, or 0 if there are none.
func (samples *samples) median() float64 {
	sorted := slices.Sorted(slices.Values(samples.values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// formatRange returns the median and the range of the samples, each in the given format for a float64.
func (samples *samples) formatRange(format string) string {
	if len(samples.values) == 0 {
		return "-"
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", samples.median(), slices.Min(samples.values), slices.Max(samples.values))
}

// variantResult collects the named figures of one variant of an experiment over all repeats.
type variantResult struct {
	label   string
	figures map[string]*samples
}

func newVariantResult(label string) *variantResult {
	return &variantResult{label: label, figures: map[string]*samples{}}
}

// add adds the value of the named figure in one repeat.
func (variant *variantResult) add(name string, value float64) {
	if variant.figures[name] == nil {
		variant.figures[name] = &samples{}
	}
	variant.figures[name].add(value)
}

// figure returns the samples of a figure; they are empty if none were added.
func (variant *variantResult) figure(name string) *samples {
	if existing := variant.figures[name]; existing != nil {
		return existing
	}
	return &samples{}
}

// addLatencies adds the latencies of a load result, in milliseconds, with its rate and its numbers of rejected and failed
// requests.
func (variant *variantResult) addLatencies(result *load.Result) {
	for _, percent := range []float64{50, 99, 99.9} {
		variant.add(fmt.Sprintf("first %v", percent), milliseconds(load.Percentile(result.FirstToken, percent)))
		variant.add(fmt.Sprintf("gap %v", percent), milliseconds(load.Percentile(result.TokenGap, percent)))
	}
	variant.add("per second", result.Summary().DonePerSecond)
	variant.add("refused", float64(result.Rejected))
	variant.add("failed", float64(result.Failed))
}

// milliseconds returns duration as a number of milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// account returns an account whose API key is its name and whose rate limits no experiment reaches.
func account(name string) config.Account {
	return config.Account{
		Name:              name,
		KeysSHA256:        []string{config.KeyDigest(name)},
		Services:          []string{modelService, plainService},
		Weight:            1,
		RequestsPerSecond: 1e6,
		TokensPerSecond:   1e9,
	}
}

// newCluster returns a cluster with the given number of engines in one place. The caller starts it.
func (harness *Harness) newCluster(engines int, engine fakeengine.Performance) *testcluster.Cluster {
	return &testcluster.Cluster{
		Listen:       "127.0.0.1:0",
		Places:       slices.Repeat([]string{"place-a"}, engines),
		ModelService: modelService,
		PlainService: plainService,
		Configuration: config.Configuration{
			Services: []config.Service{
				{Name: modelService, Type: config.ModelService, Places: []string{"place-a"}},
				{Name: plainService, Type: config.PlainService, Places: []string{"place-a"}},
			},
			Accounts: []config.Account{account("online"), account("batch"), account("calm"), account("noisy")},
		},
		EnginePerformance: engine,
		ReportPeriod:      100 * time.Millisecond,
		Log:               harness.Log,
	}
}

// newClusterWithSlots returns a cluster of one engine with a fixed slot limit, which its target daemon does not adapt.
func (harness *Harness) newClusterWithSlots(engine fakeengine.Performance, slots int) *testcluster.Cluster {
	cluster := harness.newCluster(1, engine)
	cluster.Slots = slots
	return cluster
}

// withCluster starts cluster, calls run with the base URL of its entry, and stops the cluster.
func withCluster(ctx context.Context, cluster *testcluster.Cluster, run func(server string) error) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		_ = cluster.Wait()
	}()
	if err = cluster.Start(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return run("http://" + cluster.Listen)
}

// onlineClass returns a class of streamed requests from the account "online". A rate of 0 selects a closed loop.
func onlineClass(rate float64, tokens int, servers ...string) load.Class {
	return load.Class{
		Name:        "online",
		Servers:     servers,
		APIKey:      "online",
		Model:       modelService,
		Rate:        rate,
		Stream:      true,
		PromptBytes: 400,
		MaxTokens:   tokens,
		VaryTokens:  tokens > 1,
		Timeout:     config.Duration(requestTimeout),
	}
}

// runLoad generates the load of classes for warmupTime and measuredTime and returns one result per class.
func (harness *Harness) runLoad(ctx context.Context, seed int, classes ...load.Class) (results []*load.Result) {
	runner := &load.Runner{Plan: load.Plan{
		Seed:     uint64(seed),
		Warmup:   config.Duration(warmupTime),
		Duration: config.Duration(measuredTime),
		Classes:  classes,
	}}
	return runner.Run(ctx)
}

// completedBatchItems returns the number of batch items that the engines have completed according to their own records.
func completedBatchItems(engines []*fakeengine.Server) (count int) {
	for _, engine := range engines {
		count += engine.CountCompleted(batchIDPrefix)
	}
	return count
}

// measureBatchRate starts counting the batch items completed between the warm-up and the end of a run.
// The returned function waits for the end of the run and returns the items per second.
func measureBatchRate(engines []*fakeengine.Server) (perSecond func() float64) {
	rate := make(chan float64, 1)
	go func() {
		time.Sleep(warmupTime)
		countBefore, start := completedBatchItems(engines), time.Now()
		time.Sleep(measuredTime)
		rate <- float64(completedBatchItems(engines)-countBefore) / time.Since(start).Seconds()
	}()
	return func() float64 { return <-rate }
}

// submitBatchJob uploads a file of batchItems requests and creates a batch job for it.
func submitBatchJob(ctx context.Context, server string, tokens int) (err error) {
	defer func() { err = errors.Annotate(err, "submitting a batch job") }()
	class := load.Class{Name: "batch", Model: modelService, PromptBytes: 400, MaxTokens: tokens, VaryTokens: true}
	var lines bytes.Buffer
	for i := range batchItems {
		line, err := json.Marshal(map[string]any{
			"custom_id": fmt.Sprint(i), "method": "POST", "url": "/v1/chat/completions", "body": json.RawMessage(class.RequestBody(i)),
		})
		if err != nil {
			return err
		}
		lines.Write(append(line, '\n'))
	}
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err = form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return err
	}
	if _, err = part.Write(lines.Bytes()); err != nil {
		return err
	}
	if err = form.Close(); err != nil {
		return err
	}
	var file caller.File
	if err = post(ctx, server+"/v1/files", form.FormDataContentType(), &body, &file); err != nil {
		return err
	}
	jobRequest, err := json.Marshal(caller.CreateBatchRequest{InputFileID: file.ID, Endpoint: "/v1/chat/completions", CompletionWindow: "24h"})
	if err != nil {
		return err
	}
	return post(ctx, server+"/v1/batches", "application/json", bytes.NewReader(jobRequest), &caller.Batch{})
}

// post sends a request from the account "batch" and decodes the JSON response into result.
func post(ctx context.Context, url, contentType string, body io.Reader, result any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer batch")
	request.Header.Set("Content-Type", contentType)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	return json.Unmarshal(data, result)
}
