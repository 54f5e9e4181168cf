package fakeengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultMaxTokens = 16
	maxBodyBytes     = 16 << 20
	poisonMark       = "POISON" // a prompt with it crashes the engine
	brokenMark       = "BROKEN" // a prompt with it is refused by the engine
	slowMark         = "SLOW"   // a plain request with it takes slowTime
	slowTime         = 30 * time.Second
)

// Run is the engine's own record of one request, for observers apart from the system.
type Run struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Prompt    uint64 `json:"prompt"` // digest
	Completed bool   `json:"completed"`
}

// Server is the stand-in for an engine.
type Server struct {
	Name              string
	Performance       Performance
	ReportLag         time.Duration // by which the load report trails the truth
	CheckFencingToken bool          // refuses an order with an older fencing token
	CrashHandler      func()        // called when a prompt crashes the engine; nil breaks the connection only

	batcher *batcher

	mutex   sync.Mutex
	runs    []Run
	fence   int64
	orders  []string
	reports []report
}

type report struct {
	at               time.Time
	running, waiting int
}

// Start begins to run steps; Stop ends them.
func (server *Server) Start() {
	server.batcher = newBatcher(server.Performance)
	go server.batcher.run()
}

// Stop ends the engine's steps.
func (server *Server) Stop() { server.batcher.stop() }

// Handler returns the HTTP interface of the engine.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", server.complete)
	mux.HandleFunc("POST /v1/completions", server.complete)
	mux.HandleFunc("GET /metrics", server.metrics)
	mux.HandleFunc("GET /runs", server.listRuns)
	mux.HandleFunc("POST /v1/load_lora_adapter", server.order)
	mux.HandleFunc("POST /v1/unload_lora_adapter", server.order)
	mux.HandleFunc("/", server.plain)
	return mux
}

// Runs returns the engine's record.
func (server *Server) Runs() []Run {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]Run(nil), server.runs...)
}

// Completed returns the number of requests run to their end whose identifier begins with prefix.
func (server *Server) Completed(prefix string) (count int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, run := range server.runs {
		if run.Completed && strings.HasPrefix(run.RequestID, prefix) {
			count++
		}
	}
	return count
}

// CacheHits returns the blocks of prompts found in the prefix cache, and all blocks.
func (server *Server) CacheHits() (hits, blocks int64) {
	server.batcher.mutex.Lock()
	defer server.batcher.mutex.Unlock()
	return server.batcher.hits, server.batcher.blocks
}

type message struct {
	Content any `json:"content"`
}

type question struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    any       `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Limit     int       `json:"max_completion_tokens"`
	Stream    bool      `json:"stream"`
}

func (question question) prompt() string {
	var text strings.Builder
	for _, message := range question.Messages {
		fmt.Fprintf(&text, "%v\n", message.Content)
	}
	if question.Prompt != nil {
		fmt.Fprintf(&text, "%v", question.Prompt)
	}
	return text.String()
}

func (question question) wanted() int {
	if limit := max(question.MaxTokens, question.Limit); limit > 0 {
		return limit
	}
	return defaultMaxTokens
}

func (server *Server) begin(call *http.Request, prompt string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	id := call.Header.Get("X-Request-Id")
	server.runs = append(server.runs, Run{RequestID: id, Path: call.URL.Path, Prompt: xxhash.Sum64String(prompt)})
	return len(server.runs) - 1
}

func (server *Server) finish(run int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.runs[run].Completed = true
}

func (server *Server) complete(writer http.ResponseWriter, call *http.Request) {
	var question question
	if err := json.NewDecoder(io.LimitReader(call.Body, maxBodyBytes)).Decode(&question); err != nil {
		fail(writer, http.StatusBadRequest, err.Error())
		return
	}
	prompt := question.prompt()
	run := server.begin(call, prompt)
	if strings.Contains(prompt, poisonMark) {
		if server.CrashHandler != nil {
			server.CrashHandler()
		}
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(prompt, brokenMark) {
		fail(writer, http.StatusUnprocessableEntity, "the prompt cannot be answered")
		server.finish(run)
		return
	}
	first := 0
	if after, err := strconv.Atoi(call.Header.Get("Last-Event-ID")); err == nil {
		first = after
	}
	sequence := server.batcher.submit(call.Context(), prompt, first, question.wanted())
	chat := strings.HasSuffix(call.URL.Path, "/chat/completions")
	if question.Stream {
		server.stream(writer, question, prompt, chat, sequence)
	} else {
		server.answer(writer, question, prompt, chat, sequence)
	}
	if call.Context().Err() == nil {
		server.finish(run)
	}
}

// TokenText returns token number i of the answer to prompt, so that a caller can check that an answer is its own.
func TokenText(prompt string, i int) string {
	return fmt.Sprintf("%04x-%d ", uint16(xxhash.Sum64String(prompt)), i)
}

func (server *Server) stream(writer http.ResponseWriter, question question, prompt string, chat bool, sequence *sequence) {
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	count := 0
	for i := range sequence.tokens {
		count = i + 1
		text, _ := json.Marshal(TokenText(prompt, i))
		writeChunk(writer, question.Model, chat, count, string(text), "null")
		_ = flusher.Flush()
	}
	// The last chunk says why the answer ends; it has no text.
	writeChunk(writer, question.Model, chat, count+1, `""`, `"length"`)
	_, _ = io.WriteString(writer, "data: [DONE]\n\n")
}

// writeChunk writes one event of a stream; text and finish are JSON.
func writeChunk(writer io.Writer, model string, chat bool, number int, text, finish string) {
	choice, object := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":%s}`, text, finish), "text_completion"
	if chat {
		choice = fmt.Sprintf(`{"index":0,"delta":{"role":"assistant","content":%s},"finish_reason":%s}`, text, finish)
		object = "chat.completion.chunk"
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"id\":\"cmpl\",\"object\":%q,\"created\":0,\"model\":%q,\"choices\":[%s]}\n\n", number, object, model, choice)
}

func (server *Server) answer(writer http.ResponseWriter, question question, prompt string, chat bool, sequence *sequence) {
	var words strings.Builder
	generated := 0
	for i := range sequence.tokens {
		words.WriteString(TokenText(prompt, i))
		generated++
	}
	text, _ := json.Marshal(words.String())
	choice := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":"length"}`, text)
	object := "text_completion"
	if chat {
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"length"}`, text)
		object = "chat.completion"
	}
	tokens := len(prompt) / bytesPerToken
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"id":"cmpl","object":%q,"created":0,"model":%q,"choices":[%s],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		object, question.Model, choice, tokens, generated, tokens+generated)
}

func fail(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	quoted, _ := json.Marshal(text)
	_, _ = fmt.Fprintf(writer, `{"error":{"message":%s,"type":"invalid_request_error"}}`, quoted)
}

// plain answers as a plain service: it echoes what it got.
func (server *Server) plain(writer http.ResponseWriter, call *http.Request) {
	body, err := io.ReadAll(io.LimitReader(call.Body, maxBodyBytes))
	if err != nil {
		return
	}
	run := server.begin(call, string(body))
	if strings.Contains(string(body), poisonMark) {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(string(body), slowMark) {
		select {
		case <-call.Context().Done():
			return
		case <-time.After(slowTime):
		}
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = fmt.Fprintf(writer, "%s %s %d bytes\n", call.Method, call.URL.Path, len(body))
	_, _ = writer.Write(body)
	server.finish(run)
}

func (server *Server) order(writer http.ResponseWriter, call *http.Request) {
	token, _ := strconv.ParseInt(call.Header.Get("X-Fencing-Token"), 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.CheckFencingToken && token < server.fence {
		http.Error(writer, "fencing token is too old", http.StatusPreconditionFailed)
		return
	}
	server.fence = max(server.fence, token)
	server.orders = append(server.orders, fmt.Sprintf("%s %d", call.URL.Path, token))
}

func (server *Server) listRuns(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(server.Runs())
}

func (server *Server) metrics(writer http.ResponseWriter, _ *http.Request) {
	running, waiting := server.batcher.load()
	seen := server.lagged(report{at: time.Now(), running: running, waiting: waiting})
	_, _ = fmt.Fprintf(writer, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{model_name=%q} %d\n", server.Name, seen.running)
	_, _ = fmt.Fprintf(writer, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting{model_name=%q} %d\n", server.Name, seen.waiting)
}

// lagged remembers what is true now and returns the newest state that is old enough.
func (server *Server) lagged(now report) (seen report) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.reports = append(server.reports, now)
	for len(server.reports) > 1 && now.at.Sub(server.reports[1].at) >= server.ReportLag {
		server.reports = server.reports[1:]
	}
	return server.reports[0]
}
