package fakeengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultMaxTokens = 16
	maxBodyBytes     = 16 << 20
	crashMarker      = "POISON" // cuts the connection of a request that contains it; if a prompt contains it, CrashHandler is called first
	rejectMarker     = "BROKEN" // makes the engine respond with status 422 when a prompt contains it
	slowMarker       = "SLOW"   // delays a plain request by slowDelay when its body contains it
	slowDelay        = 30 * time.Second
)

// Run is the engine's record of one request that it received. Tests compare these records with what the system reports.
type Run struct {
	RequestID  string `json:"request_id"`
	Path       string `json:"path"`
	PromptHash uint64 `json:"prompt"`    // xxHash64 of the prompt, or of the body of a plain request
	Completed  bool   `json:"completed"` // the engine wrote the response to its end before the caller disconnected
}

// Server simulates one engine. Set its exported fields before calling Start.
type Server struct {
	Name              string // model name in the metrics
	Performance       Performance
	ReportLag         time.Duration // the metrics show the load as it was at least this long ago
	CheckFencingToken bool          // reject an order to load or unload a LoRA adapter if its fencing token is lower than one seen before
	CrashHandler      func()        // called for a prompt that contains POISON, before the connection is cut; may be nil

	batcher *batcher

	endlessBytes atomic.Int64 // written by endless responses

	mutex        sync.Mutex
	runs         []Run
	faults       []Fault  // of the next requests
	fencingToken int64    // highest token seen
	orders       []string // path and fencing token of each accepted order
	loads        []loadReport
}

// loadReport is the engine's load at one time.
type loadReport struct {
	at               time.Time
	running, waiting int
}

// Start starts the engine in the background. Call Stop to end it.
func (server *Server) Start() {
	server.batcher = newBatcher(server.Performance)
	go server.batcher.run()
}

// Stop ends the engine and all of its sequences.
func (server *Server) Stop() { server.batcher.stop() }

// Handler returns the HTTP interface of the engine.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", server.withFaults(server.handleCompletion))
	mux.HandleFunc("POST /v1/completions", server.withFaults(server.handleCompletion))
	mux.HandleFunc("GET /metrics", server.handleMetrics)
	mux.HandleFunc("GET /runs", server.handleRuns)
	mux.HandleFunc("POST /v1/load_lora_adapter", server.handleOrder)
	mux.HandleFunc("POST /v1/unload_lora_adapter", server.handleOrder)
	mux.HandleFunc("PUT /faults", server.handleFaults)
	mux.HandleFunc("GET /endless_bytes", server.handleEndlessBytes)
	mux.HandleFunc("/", server.withFaults(server.handlePlain))
	return mux
}

// Runs returns a copy of the engine's records, in the order in which the requests arrived.
func (server *Server) Runs() []Run {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]Run(nil), server.runs...)
}

// CountCompleted returns the number of completed requests whose ID begins with prefix.
func (server *Server) CountCompleted(prefix string) (count int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, run := range server.runs {
		if run.Completed && strings.HasPrefix(run.RequestID, prefix) {
			count++
		}
	}
	return count
}

// CacheHits returns the number of prompt blocks found in the prefix cache and the number of blocks looked up.
func (server *Server) CacheHits() (hits, blocks int64) {
	server.batcher.mutex.Lock()
	defer server.batcher.mutex.Unlock()
	return server.batcher.cachedBlocks, server.batcher.promptBlocks
}

type chatMessage struct {
	Content any `json:"content"`
}

// completionRequest holds the fields that the engine uses of a chat or text completion request.
type completionRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              any           `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

// promptText returns the contents of all messages, one per line, followed by the prompt.
func (completion completionRequest) promptText() string {
	var text strings.Builder
	for _, message := range completion.Messages {
		fmt.Fprintf(&text, "%v\n", message.Content)
	}
	if completion.Prompt != nil {
		fmt.Fprintf(&text, "%v", completion.Prompt)
	}
	return text.String()
}

// tokenLimit returns the number of tokens to generate.
func (completion completionRequest) tokenLimit() int {
	if limit := max(completion.MaxTokens, completion.MaxCompletionTokens); limit > 0 {
		return limit
	}
	return defaultMaxTokens
}

// recordStart adds a record of a request and returns its index.
func (server *Server) recordStart(request *http.Request, prompt string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	id := request.Header.Get("X-Request-Id")
	server.runs = append(server.runs, Run{RequestID: id, Path: request.URL.Path, PromptHash: xxhash.Sum64String(prompt)})
	return len(server.runs) - 1
}

// recordCompletion marks the record with the given index as completed.
func (server *Server) recordCompletion(run int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.runs[run].Completed = true
}

// handleCompletion generates a response. The header Last-Event-ID holds the number of tokens that the caller has received
// already; generation continues after them.
func (server *Server) handleCompletion(writer http.ResponseWriter, request *http.Request) {
	var completion completionRequest
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(&completion); err != nil {
		writeError(writer, http.StatusBadRequest, err.Error())
		return
	}
	prompt := completion.promptText()
	run := server.recordStart(request, prompt)
	if strings.Contains(prompt, crashMarker) {
		if server.CrashHandler != nil {
			server.CrashHandler()
		}
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(prompt, rejectMarker) {
		writeError(writer, http.StatusUnprocessableEntity, "the prompt cannot be answered")
		server.recordCompletion(run)
		return
	}
	firstToken := 0
	if received, err := strconv.Atoi(request.Header.Get("Last-Event-ID")); err == nil {
		firstToken = received
	}
	sequence := server.batcher.submit(request.Context(), prompt, firstToken, completion.tokenLimit())
	chat := strings.HasSuffix(request.URL.Path, "/chat/completions")
	if completion.Stream {
		server.writeStream(writer, completion, prompt, chat, sequence)
	} else {
		server.writeResponse(writer, completion, prompt, chat, sequence)
	}
	if request.Context().Err() == nil {
		server.recordCompletion(run)
	}
}

// TokenText returns the text of token i of the response to prompt. It begins with a hash of the prompt, so that a test
// notices a response to another prompt.
func TokenText(prompt string, i int) string {
	return fmt.Sprintf("%04x-%d ", uint16(xxhash.Sum64String(prompt)), i)
}

// writeStream writes the tokens of sequence as server-sent events. The ID of an event is the number of tokens up to
// and including its own.
func (server *Server) writeStream(writer http.ResponseWriter, completion completionRequest, prompt string, chat bool, sequence *sequence) {
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	count := 0
	for i := range sequence.tokens {
		count = i + 1
		text, _ := json.Marshal(TokenText(prompt, i))
		writeChunk(writer, completion.Model, chat, count, string(text), "null")
		_ = controller.Flush()
	}
	// The last chunk has the finish reason and no text.
	writeChunk(writer, completion.Model, chat, count+1, `""`, `"length"`)
	_, _ = io.WriteString(writer, "data: [DONE]\n\n")
}

// writeChunk writes one event of a stream; text and finishReason are JSON values.
func writeChunk(writer io.Writer, model string, chat bool, id int, text, finishReason string) {
	choice, object := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":%s}`, text, finishReason), "text_completion"
	if chat {
		choice = fmt.Sprintf(`{"index":0,"delta":{"role":"assistant","content":%s},"finish_reason":%s}`, text, finishReason)
		object = "chat.completion.chunk"
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"id\":\"cmpl\",\"object\":%q,\"created\":0,\"model\":%q,\"choices\":[%s]}\n\n", id, object, model, choice)
}

// writeResponse writes the tokens of sequence as one JSON response.
func (server *Server) writeResponse(writer http.ResponseWriter, completion completionRequest, prompt string, chat bool, sequence *sequence) {
	var generatedText strings.Builder
	generated := 0
	for i := range sequence.tokens {
		generatedText.WriteString(TokenText(prompt, i))
		generated++
	}
	text, _ := json.Marshal(generatedText.String())
	choice := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":"length"}`, text)
	object := "text_completion"
	if chat {
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"length"}`, text)
		object = "chat.completion"
	}
	promptTokens := len(prompt) / bytesPerToken
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"id":"cmpl","object":%q,"created":0,"model":%q,"choices":[%s],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		object, completion.Model, choice, promptTokens, generated, promptTokens+generated)
}

// writeError writes an error response in the form of the OpenAI interface.
func writeError(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	quoted, _ := json.Marshal(text)
	_, _ = fmt.Fprintf(writer, `{"error":{"message":%s,"type":"invalid_request_error"}}`, quoted)
}

// handlePlain acts as a plain service: the response holds the request's method, path, body length and body.
func (server *Server) handlePlain(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return
	}
	run := server.recordStart(request, string(body))
	if strings.Contains(string(body), crashMarker) {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(string(body), slowMarker) {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(slowDelay):
		}
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = fmt.Fprintf(writer, "%s %s %d bytes\n", request.Method, request.URL.Path, len(body))
	_, _ = writer.Write(body)
	server.recordCompletion(run)
}

// handleOrder accepts an order to load or unload a LoRA adapter. With CheckFencingToken, it rejects an order whose fencing
// token is lower than one seen before.
func (server *Server) handleOrder(writer http.ResponseWriter, request *http.Request) {
	token, _ := strconv.ParseInt(request.Header.Get("X-Fencing-Token"), 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.CheckFencingToken && token < server.fencingToken {
		http.Error(writer, "fencing token is too old", http.StatusPreconditionFailed)
		return
	}
	server.fencingToken = max(server.fencingToken, token)
	server.orders = append(server.orders, fmt.Sprintf("%s %d", request.URL.Path, token))
}

func (server *Server) handleRuns(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(server.Runs())
}

// handleMetrics writes the engine's load in the Prometheus text format, under the names that vLLM uses.
func (server *Server) handleMetrics(writer http.ResponseWriter, _ *http.Request) {
	running, waiting := server.batcher.load()
	reported := server.laggedLoad(loadReport{at: time.Now(), running: running, waiting: waiting})
	_, _ = fmt.Fprintf(writer, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{model_name=%q} %d\n", server.Name, reported.running)
	_, _ = fmt.Fprintf(writer, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting{model_name=%q} %d\n", server.Name, reported.waiting)
}

// laggedLoad stores the current load and returns the newest load that is at least ReportLag old, or the oldest one
// if none is old enough.
func (server *Server) laggedLoad(current loadReport) (reported loadReport) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.loads = append(server.loads, current)
	for len(server.loads) > 1 && current.at.Sub(server.loads[1].at) >= server.ReportLag {
		server.loads = server.loads[1:]
	}
	return server.loads[0]
}
