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
	modelService  = "llm"
	plainService  = "plain"
	batchPrefix   = "batch_" // of the identifiers of batch items
	batchItems    = 12000
	settleTime    = 300 * time.Millisecond
	requestLimit  = 20 * time.Second
	defaultWarmup = 3 * time.Second
	defaultLength = 5 * time.Second
)

// Bench is what experiments share.
type Bench struct {
	Repeats int
	Log     *zap.Logger
}

// Table is the result of an experiment.
type Table struct {
	Columns []string
	Rows    [][]string
	Bars    []Bar // of the plot; none for no plot
	Unit    string
}

// Bar is one bar of a plot.
type Bar struct {
	Label string
	Value float64
}

// spread is the median of the repeats with their range.
type spread struct {
	values []float64
}

func (spread *spread) add(value float64) { spread.values = append(spread.values, value) }

func (spread *spread) median() float64 {
	sorted := slices.Sorted(slices.Values(spread.values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

func (spread *spread) text(format string) string {
	if len(spread.values) == 0 {
		return "-"
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", spread.median(), slices.Min(spread.values), slices.Max(spread.values))
}

// measured gathers the figures of one variant over the repeats, by name.
type measured struct {
	label   string
	figures map[string]*spread
}

func newMeasured(label string) *measured {
	return &measured{label: label, figures: map[string]*spread{}}
}

func (measured *measured) add(name string, value float64) {
	if measured.figures[name] == nil {
		measured.figures[name] = &spread{}
	}
	measured.figures[name].add(value)
}

func (measured *measured) of(name string) *spread {
	if found := measured.figures[name]; found != nil {
		return found
	}
	return &spread{}
}

// latencies adds the usual figures of a result, in milliseconds.
func (measured *measured) latencies(result *load.Result) {
	for _, percent := range []float64{50, 99, 99.9} {
		measured.add(fmt.Sprintf("first %v", percent), milliseconds(load.Quantile(result.FirstToken, percent)))
		measured.add(fmt.Sprintf("gap %v", percent), milliseconds(load.Quantile(result.TokenGap, percent)))
	}
	measured.add("per second", result.Summary().PerSecond)
	measured.add("refused", float64(result.Refused))
	measured.add("failed", float64(result.Failed))
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

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

// system returns a system of engines in one place that is yet to be started.
func (bench *Bench) system(engines int, model fakeengine.Performance) *testcluster.Cluster {
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
		EnginePerformance: model,
		ReportPeriod:      100 * time.Millisecond,
		Log:               bench.Log,
	}
}

// systemWithSlots returns a system of one engine whose limit of slots is not learned.
func (bench *Bench) systemWithSlots(model fakeengine.Performance, slots int) *testcluster.Cluster {
	system := bench.system(1, model)
	system.Slots = slots
	return system
}

// with starts system, lets work run on it and stops it.
func with(ctx context.Context, system *testcluster.Cluster, work func(server string) error) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		_ = system.Wait()
	}()
	if err = system.Start(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return work("http://" + system.Listen)
}

// online returns a class of streams.
func online(rate float64, tokens int, servers ...string) load.Class {
	return load.Class{
		Name:        "online",
		Servers:     servers,
		Key:         "online",
		Model:       modelService,
		Rate:        rate,
		Stream:      true,
		PromptBytes: 400,
		MaxTokens:   tokens,
		Vary:        tokens > 1,
		Timeout:     config.Duration(requestLimit),
	}
}

func (bench *Bench) run(ctx context.Context, seed int, classes ...load.Class) (results []*load.Result) {
	runner := &load.Runner{Plan: load.Plan{
		Seed:     uint64(seed),
		Warmup:   config.Duration(defaultWarmup),
		Duration: config.Duration(defaultLength),
		Classes:  classes,
	}}
	return runner.Run(ctx)
}

// completed returns the batch items that the engines have run to their end, by their own records.
func completed(engines []*fakeengine.Server) (count int) {
	for _, engine := range engines {
		count += engine.Completed(batchPrefix)
	}
	return count
}

// countBatch counts the batch items that end between the warm-up and the end of a run.
func countBatch(engines []*fakeengine.Server) (perSecond func() float64) {
	counted := make(chan float64, 1)
	go func() {
		time.Sleep(defaultWarmup)
		first, began := completed(engines), time.Now()
		time.Sleep(defaultLength)
		counted <- float64(completed(engines)-first) / time.Since(began).Seconds()
	}()
	return func() float64 { return <-counted }
}

// submit sends a job that lasts for longer than a run.
func submit(ctx context.Context, server string, tokens int) (err error) {
	defer func() { err = errors.Annotate(err, "sending a batch job") }()
	class := load.Class{Name: "batch", Model: modelService, PromptBytes: 400, MaxTokens: tokens, Vary: true}
	var lines bytes.Buffer
	for i := range batchItems {
		line, err := json.Marshal(map[string]any{
			"custom_id": fmt.Sprint(i), "method": "POST", "url": "/v1/chat/completions", "body": json.RawMessage(class.Body(i)),
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
	wanted, err := json.Marshal(caller.CreateBatchRequest{InputFileID: file.ID, Endpoint: "/v1/chat/completions", CompletionWindow: "24h"})
	if err != nil {
		return err
	}
	return post(ctx, server+"/v1/batches", "application/json", bytes.NewReader(wanted), &caller.Batch{})
}

func post(ctx context.Context, url, contentType string, body io.Reader, answer any) (err error) {
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
	return json.Unmarshal(data, answer)
}
