package testcluster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
)

const (
	model = "llm"
	plain = "echo"
)

func start(t *testing.T) (system *Cluster, stop func()) {
	t.Helper()
	account := func(name string, requests float64) config.Account {
		return config.Account{Name: name, KeysSHA256: []string{config.KeyDigest(name)}, Services: []string{model, plain}, Weight: 1, RequestsPerSecond: requests, TokensPerSecond: 1e9}
	}
	system = &Cluster{
		Listen:       "127.0.0.1:0",
		Places:       []string{"a", "b"},
		ModelService: model,
		PlainService: plain,
		Configuration: config.Configuration{
			Services: []config.Service{
				{Name: model, Type: config.ModelService, Places: []string{"a", "b"}},
				{Name: plain, Type: config.PlainService, Places: []string{"a"}},
			},
			Accounts: []config.Account{account("caller", 1e5), account("limited", 1)},
		},
		EnginePerformance: fakeengine.Performance{Base: time.Millisecond, MaxSequences: 32, CacheBlocks: 100},
		Log:               zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	if err := system.Start(ctx); err != nil {
		cancel()
		t.Fatal(err)
	}
	return system, func() {
		cancel()
		if err := system.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// TestStockClient lets the OpenAI project's own Go client talk to the system unchanged.
func TestStockClient(t *testing.T) {
	system, stop := start(t)
	defer stop()
	client := openai.NewClient(option.WithBaseURL("http://"+system.Listen+"/v1/"), option.WithAPIKey("caller"))
	ctx := t.Context()
	wanted := openai.ChatCompletionNewParams{Model: model, MaxTokens: openai.Int(5), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
	whole, err := client.Chat.Completions.New(ctx, wanted)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(ctx, wanted)
	text, finish := "", ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
		finish = stream.Current().Choices[0].FinishReason
	}
	if finish != whole.Choices[0].FinishReason || finish == "" {
		t.Errorf("the stream's last chunk ends for the reason %q, the whole answer for %q", finish, whole.Choices[0].FinishReason)
	}
	if err = stream.Err(); err != nil || text != whole.Choices[0].Message.Content || text == "" {
		t.Errorf("stream %q, whole %q: %v", text, whole.Choices[0].Message.Content, err)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != model {
		t.Errorf("models %+v: %v", models, err)
	}
	lines := ""
	for i := range 20 {
		lines += fmt.Sprintf(`{"custom_id":"%d","method":"POST","url":"/v1/chat/completions","body":{"model":"llm","max_tokens":3,"messages":[{"role":"user","content":"%d"}]}}`+"\n", i, i)
	}
	file, err := client.Files.New(ctx, openai.FileNewParams{File: openai.File(strings.NewReader(lines), "in.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch})
	if err != nil {
		t.Fatal(err)
	}
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{InputFileID: file.ID, Endpoint: "/v1/chat/completions", CompletionWindow: "24h"})
	if err != nil {
		t.Fatal(err)
	}
	for batch.Status != openai.BatchStatusCompleted {
		time.Sleep(10 * time.Millisecond)
		if batch, err = client.Batches.Get(ctx, batch.ID); err != nil {
			t.Fatal(err)
		}
	}
	content, err := client.Files.Content(ctx, batch.OutputFileID)
	if err != nil {
		t.Fatal(err)
	}
	output, err := io.ReadAll(content.Body)
	_ = content.Body.Close()
	if err != nil || bytes.Count(output, []byte("\n")) != 20 {
		t.Errorf("%d lines: %v", bytes.Count(output, []byte("\n")), err)
	}
}

// TestInput sends what is wrong with it, and checks at the end that nothing is left running.
func TestInput(t *testing.T) {
	before := goleak.IgnoreCurrent()
	system, stop := start(t)
	client := &http.Client{Transport: &http.Transport{}}
	datadriven.RunTest(t, "testdata/input", func(t *testing.T, data *datadriven.TestData) string {
		method, path, _ := strings.Cut(data.CmdArgs[0].Key, ":")
		body := data.Input
		if data.HasArg("megabytes") {
			var size int
			data.ScanArgs(t, "megabytes", &size)
			body = strings.Repeat("x", size<<20)
		}
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+system.Listen+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		key := "caller"
		for _, argument := range data.CmdArgs[1:] {
			switch argument.Key {
			case "key":
				key = argument.Vals[0]
			case "timeout":
				request.Header.Set("Cowslipway-Timeout", argument.Vals[0])
			case "place":
				request.Header.Set("Cowslipway-Place", argument.Vals[0])
			}
		}
		request.Header.Set("Authorization", "Bearer "+key)
		if data.Cmd == "vanish" {
			return vanish(t, client, request)
		}
		response, err := client.Do(request)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		answer, _ := io.ReadAll(response.Body)
		shown := string(answer)
		if response.StatusCode == http.StatusOK {
			shown = fmt.Sprintf("%d bytes", len(answer))
		}
		return fmt.Sprintf("%d %s retry_after=%s\n%s\n", response.StatusCode, response.Header.Get("Cowslipway-Disposition"), response.Header.Get("Retry-After"), shown)
	})
	client.CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
	stop()
	goleak.VerifyNone(t, before)
}

// vanish reads the beginning of a stream and is gone.
func vanish(t *testing.T, client *http.Client, request *http.Request) string {
	ctx, cancel := context.WithCancel(t.Context())
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.ReadFull(response.Body, make([]byte, 10))
	cancel()
	_ = response.Body.Close()
	return fmt.Sprintf("%d %v\n", response.StatusCode, err)
}
