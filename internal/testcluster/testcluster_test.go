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
	modelService = "llm"
	plainService = "echo"
)

// startCluster starts a cluster with two places and two accounts, of which "limited" may send one request per second.
// stop stops the cluster and waits until it has stopped.
func startCluster(t *testing.T) (cluster *Cluster, stop func()) {
	t.Helper()
	return startClusterWith(t, nil)
}

// startClusterWith is startCluster with engines whose HTTP interface is wrapped, unless wrapEngine is nil.
func startClusterWith(t *testing.T, wrapEngine func(engine http.Handler) http.Handler) (cluster *Cluster, stop func()) {
	t.Helper()
	account := func(name string, requests float64) config.Account {
		return config.Account{Name: name, KeysSHA256: []string{config.KeyDigest(name)}, Services: []string{modelService, plainService}, Weight: 1, RequestsPerSecond: requests, TokensPerSecond: 1e9}
	}
	cluster = &Cluster{
		Listen:       "127.0.0.1:0",
		Places:       []string{"a", "b"},
		ModelService: modelService,
		PlainService: plainService,
		Configuration: config.Configuration{
			Services: []config.Service{
				{Name: modelService, Type: config.ModelService, Places: []string{"a", "b"}},
				{Name: plainService, Type: config.PlainService, Places: []string{"a"}},
			},
			Accounts: []config.Account{account("caller", 1e5), account("limited", 1)},
		},
		EnginePerformance: fakeengine.Performance{Base: time.Millisecond, MaxSequences: 32, CacheBlocks: 100},
		WrapEngine:        wrapEngine,
		Log:               zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	if err := cluster.Start(ctx); err != nil {
		cancel()
		t.Fatal(err)
	}
	return cluster, func() {
		cancel()
		if err := cluster.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// TestOpenAIClient checks that OpenAI's Go client works with the system: chat completions with and without streaming,
// the list of models, and a batch job.
func TestOpenAIClient(t *testing.T) {
	cluster, stop := startCluster(t)
	defer stop()
	client := openai.NewClient(option.WithBaseURL("http://"+cluster.Listen+"/v1/"), option.WithAPIKey("caller"))
	ctx := t.Context()
	chatParams := openai.ChatCompletionNewParams{Model: modelService, MaxTokens: openai.Int(5), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
	response, err := client.Chat.Completions.New(ctx, chatParams)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams)
	text, finish := "", ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
		finish = stream.Current().Choices[0].FinishReason
	}
	if finish != response.Choices[0].FinishReason || finish == "" {
		t.Errorf("finish reason of the stream is %q, of the whole response %q", finish, response.Choices[0].FinishReason)
	}
	if err = stream.Err(); err != nil || text != response.Choices[0].Message.Content || text == "" {
		t.Errorf("stream has text %q, whole response %q; error: %v", text, response.Choices[0].Message.Content, err)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != modelService {
		t.Errorf("got models %+v, error: %v", models, err)
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
		t.Errorf("output file has %d lines, error: %v", bytes.Count(output, []byte("\n")), err)
	}
}

// TestEntryResponses checks the responses to valid and invalid requests. At the end it checks that the stopped cluster
// has left no goroutines, also after a caller disconnected in the middle of a stream.
func TestEntryResponses(t *testing.T) {
	before := goleak.IgnoreCurrent()
	cluster, stop := startCluster(t)
	client := &http.Client{Transport: &http.Transport{}}
	datadriven.RunTest(t, "testdata/input", func(t *testing.T, data *datadriven.TestData) string {
		method, path, _ := strings.Cut(data.CmdArgs[0].Key, ":")
		body := data.Input
		if data.HasArg("megabytes") {
			var size int
			data.ScanArgs(t, "megabytes", &size)
			body = strings.Repeat("x", size<<20)
		}
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+cluster.Listen+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		key := "caller"
		for _, arg := range data.CmdArgs[1:] {
			switch arg.Key {
			case "key":
				key = arg.Vals[0]
			case "timeout":
				request.Header.Set("Cowslipway-Timeout", arg.Vals[0])
			case "place":
				request.Header.Set("Cowslipway-Place", arg.Vals[0])
			}
		}
		request.Header.Set("Authorization", "Bearer "+key)
		if data.Cmd == "disconnect" {
			return disconnectMidStream(t, client, request)
		}
		response, err := client.Do(request)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		responseBody, _ := io.ReadAll(response.Body)
		output := string(responseBody)
		if response.StatusCode == http.StatusOK {
			output = fmt.Sprintf("%d bytes", len(responseBody))
		}
		return fmt.Sprintf("%d %s retry_after=%s\n%s\n", response.StatusCode, response.Header.Get("Cowslipway-Disposition"), response.Header.Get("Retry-After"), output)
	})
	client.CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
	stop()
	goleak.VerifyNone(t, before)
}

// disconnectMidStream sends request, reads the first bytes of the streamed response and closes the connection.
func disconnectMidStream(t *testing.T, client *http.Client, request *http.Request) string {
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
