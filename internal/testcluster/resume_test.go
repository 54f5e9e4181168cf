package testcluster

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// cutStream is the writer of a stream that breaks off after some events.
type cutStream struct {
	http.ResponseWriter

	events int // left until the stream breaks off
}

// Unwrap returns the writer of the stream, for [http.ResponseController].
func (stream *cutStream) Unwrap() http.ResponseWriter { return stream.ResponseWriter }

// Write writes one event.
func (stream *cutStream) Write(data []byte) (n int, err error) {
	if stream.events--; stream.events < 0 {
		panic(http.ErrAbortHandler)
	}
	return stream.ResponseWriter.Write(data)
}

// TestStreamNotResumed guards against an engine's error response that is forwarded as the rest of a stream, which then looks complete.
func TestStreamNotResumed(t *testing.T) {
	var resumptions atomic.Int64
	cluster, stop := startClusterWith(t, func(engine http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			switch {
			case !strings.HasPrefix(request.URL.Path, "/v1/chat/"):
				engine.ServeHTTP(writer, request)
			case request.Header.Get("Last-Event-Id") == "":
				engine.ServeHTTP(&cutStream{ResponseWriter: writer, events: 3}, request)
			default:
				resumptions.Add(1)
				http.Error(writer, "the engine is full", http.StatusServiceUnavailable)
			}
		})
	})
	defer stop()
	body := `{"model":"llm","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+cluster.Listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer caller")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err == nil {
		t.Error("the response that broke off looks complete")
	}
	if bytes.Contains(received, []byte("the engine is full")) {
		t.Errorf("the caller received the engine's error response within the stream: %q", received)
	}
	if events := bytes.Count(received, []byte("id: ")); response.StatusCode != http.StatusOK || events != 3 || resumptions.Load() == 0 {
		t.Errorf("got status %d, %d events, %d resumptions", response.StatusCode, events, resumptions.Load())
	}
}
