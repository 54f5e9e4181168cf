package processes

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"
	"github.com/tidwall/gjson"

	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/fakeplatform"
	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/operator"
)

const (
	modelService = "llm"
	plainService = "notices"
	operatorKey  = "operator"
	callerKey    = "caller"
)

// TestScripts runs each script with a fleet of its own.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		runner := &runner{fleet: newFleet(t), streams: map[string]chan string{}, jobs: map[string]*batchJob{}}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			runner.fleet.t = t
			runner.data = data
			return runner.run()
		})
		runner.fleet.t = t
	})
}

// runner carries out the commands of one script.
type runner struct {
	fleet   *fleet
	data    *datadriven.TestData
	streams map[string]chan string
	jobs    map[string]*batchJob
}

type batchJob struct {
	id      string
	prompts []string
	jsonl   []byte
	service string
}

func (runner *runner) word(name, fallback string) string {
	if runner.data.HasArg(name) {
		runner.data.ScanArgs(runner.fleet.t, name, &fallback)
	}
	return fallback
}

func (runner *runner) number(name string, fallback int) int {
	if runner.data.HasArg(name) {
		runner.data.ScanArgs(runner.fleet.t, name, &fallback)
	}
	return fallback
}

func (runner *runner) run() string {
	fleet := runner.fleet
	switch runner.data.Cmd {
	case "fleet":
		runner.startFleet()
	case "chat":
		return runner.chat()
	case "begin":
		runner.begin()
	case "end":
		return <-runner.streams[runner.word("stream", "s")]
	case "notice":
		return runner.notice()
	case "ran":
		return runner.ran()
	case "ran_most":
		return runner.ranMost()
	case "batch":
		return runner.batch()
	case "await":
		return runner.awaitJob()
	case "cancel":
		return runner.cancel()
	case "quiet":
		return runner.quiet()
	case "signal":
		return runner.signal()
	case "restart":
		process := fleet.processes[runner.word("name", "")]
		fleet.start(process)
		if process.role == "fakeengine" {
			fleet.await(process.name, func() bool { return fleet.ok(process.address, "/metrics") })
		}
	case "exited":
		process := fleet.processes[runner.word("name", "")]
		<-process.ended
		return fmt.Sprintf("code %d\n", process.command.ProcessState.ExitCode())
	case "store":
		runner.store()
	case "list":
		runner.list()
	case "apply":
		return runner.apply()
	case "versions":
		return runner.versions()
	case "where":
		return runner.where()
	case "ready":
		runner.ready()
	default:
		fleet.t.Fatalf("unknown command %q", runner.data.Cmd)
	}
	return "ok\n"
}

func (runner *runner) startFleet() {
	fleet := runner.fleet
	fleet.startPlatform("--list-lag", runner.word("list_lag", "0s"))
	places := strings.Split(runner.word("places", "a,a"), ",")
	for i, place := range places {
		engine := fmt.Sprintf("g%d", i+1)
		fleet.startEngine(engine, "--base", runner.word("base", "2ms"), "--per-sequence", "0s", "--per-prefill", "0s",
			"--max-sequences", runner.word("sequences", "32"), "--crash")
		fleet.startTarget(fmt.Sprintf("t%d", i+1), place, engine)
	}
	for i := range runner.number("entries", 1) {
		fleet.startEntry(fmt.Sprintf("n%d", i+1), "a")
	}
	runner.applyConfiguration(runner.word("allowed", "a,b"), 0)
	runner.ready()
}

// ready waits until every entry has every target daemon that runs.
func (runner *runner) ready() {
	want := runner.number("targets", len(runner.fleet.vms))
	for _, address := range runner.fleet.entries() {
		runner.fleet.await("the targets at "+address, func() bool {
			status, ok := runner.status(address)
			connected := 0
			for _, daemon := range status.Daemons {
				if daemon.Role == etcd.TargetRole && daemon.Version > 0 {
					connected++
				}
			}
			return ok && connected == want && runner.fleet.ok(address, "/readyz") && runner.serves(address)
		})
	}
}

// serves reports whether requests to both services are answered: a target takes none before its first load
// report.
func (runner *runner) serves(address string) bool {
	for i := range 3 {
		probe := fmt.Sprintf("probe %s %d %d", address, i, time.Now().UnixNano())
		chat, _, _ := runner.call(address, http.MethodPost, "/v1/chat/completions", callerKey, nil, chatBody(probe, 1, false))
		plain, _, _ := runner.call(address, http.MethodPost, "/services/"+plainService+"/probe", callerKey, nil, []byte(probe))
		if chat != http.StatusOK || plain != http.StatusOK {
			return false
		}
	}
	return true
}

func (runner *runner) status(address string) (status operator.StatusResponse, ok bool) {
	code, body, _ := runner.call(address, http.MethodGet, "/operator/v1/status", operatorKey, nil, nil)
	return status, code == http.StatusOK && json.Unmarshal(body, &status) == nil
}

// call sends one request and returns the whole answer; an answer that breaks off has status 0.
func (runner *runner) call(address, method, path, key string, header http.Header, body []byte) (status int, answer []byte, answered http.Header) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	must(runner.fleet.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := runner.fleet.client.Do(request)
	if err != nil {
		return 0, nil, http.Header{}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, answer, response.Header
	}
	return response.StatusCode, answer, response.Header
}

func (runner *runner) entry() string {
	return runner.fleet.processes[runner.word("entry", "n1")].address
}

func chatBody(prompt string, tokens int, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": modelService, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return body
}

// expected is what the stand-in answers to a prompt that it got as a chat message.
func expected(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(fakeengine.TokenText(prompt+"\n", i))
	}
	return text.String()
}

// chat sends requests side by side and sums up the answers; a whole answer that is not the caller's own
// counts as crossed.
func (runner *runner) chat() string {
	var group sync.WaitGroup
	var mutex sync.Mutex
	counts := map[string]int{}
	address, tokens, prefix := runner.entry(), runner.number("tokens", 4), runner.word("prompt", "chat")
	header := http.Header{}
	if place := runner.word("place", ""); place != "" {
		header.Set(caller.PlaceHeader, place)
	}
	count := runner.number("n", 1)
	for i := range count {
		group.Go(func() {
			prompt := fmt.Sprintf("%s %d", prefix, i)
			status, answer, headers := runner.call(address, http.MethodPost, "/v1/chat/completions", runner.word("key", callerKey), header, chatBody(prompt, tokens, false))
			line := fmt.Sprintf("%d %s", status, headers.Get(caller.DispositionHeader))
			if code := gjson.GetBytes(answer, "error.code").Str; code != "" {
				line += " " + code
			}
			if status == http.StatusOK && gjson.GetBytes(answer, "choices.0.message.content").Str != expected(prompt, tokens) {
				line = "crossed"
			}
			if runner.data.HasArg("or_not_run") && (status == http.StatusOK || headers.Get(caller.DispositionHeader) == "not_run") {
				line = "served or not run"
			}
			if runner.data.HasArg("target") {
				line += " " + headers.Get(caller.TargetHeader)
			}
			mutex.Lock()
			counts[line]++
			mutex.Unlock()
		})
	}
	group.Wait()
	return lines(counts)
}

func lines(counts map[string]int) string {
	var lines []string
	for line, count := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d\n", line, count))
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}

// begin opens streams that go on while the script does.
func (runner *runner) begin() {
	done := make(chan string, 1)
	runner.streams[runner.word("stream", "s")] = done
	count, tokens, address := runner.number("n", 8), runner.number("tokens", 200), runner.entry()
	results, begun := make(chan string, count), make(chan bool, count)
	for i := range count {
		go func() {
			result := runner.stream(address, fmt.Sprintf("stream %d", i), tokens, begun)
			results <- result
		}()
	}
	for range count {
		<-begun
	}
	either := runner.data.HasArg("either")
	go func() {
		counts := map[string]int{}
		for range count {
			result := <-results
			if either && (result == "whole" || result == "visibly broken") {
				result = "whole or visibly broken"
			}
			counts[result]++
		}
		done <- lines(counts)
	}()
}

// stream reads one stream to its end. It is whole with its end mark and all its tokens; otherwise it must
// show that it is broken.
func (runner *runner) stream(address, prompt string, tokens int, begun chan bool) (result string) {
	var once sync.Once
	defer once.Do(func() { begun <- true })
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(chatBody(prompt, tokens, true)))
	if err != nil {
		return "bad request"
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := runner.fleet.client.Do(request)
	if err != nil {
		return "visibly broken"
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d", response.StatusCode)
	}
	var text strings.Builder
	ended, failed := false, false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		event, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		text.WriteString(gjson.Get(event, "choices.0.delta.content").Str)
		once.Do(func() { begun <- true })
		ended = ended || event == "[DONE]"
		failed = failed || gjson.Get(event, "error").Exists()
	}
	whole := text.String() == expected(prompt, tokens)
	switch {
	case ended && whole && !failed && scanner.Err() == nil:
		return "whole"
	case !ended && (failed || scanner.Err() != nil) && strings.HasPrefix(expected(prompt, tokens), text.String()):
		return "visibly broken"
	}
	return fmt.Sprintf("WRONG: ended=%v whole=%v failed=%v", ended, whole, failed)
}

// notice sends a non-idempotent request.
func (runner *runner) notice() string {
	header := http.Header{}
	if key := runner.word("key", ""); key != "" {
		header.Set(caller.IdempotencyKeyHeader, key)
	}
	text := runner.word("text", "notice")
	if runner.data.HasArg("async") {
		go runner.call(runner.entry(), http.MethodPost, "/services/"+plainService+"/send", callerKey, header, []byte(text))
		runner.fleet.await("the notice to begin", func() bool {
			begun := runner.fleet.runs()
			return begun[xxhash.Sum64String(text)] > 0
		})
		return "ok\n"
	}
	status, answer, headers := runner.call(runner.entry(), http.MethodPost, "/services/"+plainService+"/send", callerKey, header, []byte(text))
	if runner.data.HasArg("disposition") {
		return headers.Get(caller.DispositionHeader) + "\n"
	}
	line := fmt.Sprintf("%d %s %s", status, headers.Get(caller.DispositionHeader), gjson.GetBytes(answer, "error.code").Str)
	return strings.TrimSpace(line) + "\n"
}

// ran tells how often the engines began to run a text, by their own records.
func (runner *runner) ran() string {
	begun := runner.fleet.runs()
	return fmt.Sprintf("%d\n", begun[xxhash.Sum64String(runner.word("text", "notice"))])
}

// ranMost tells how often the engines began to run whatever they ran most often.
func (runner *runner) ranMost() string {
	most := 0
	for _, count := range runner.fleet.runs() {
		most = max(most, count)
	}
	return fmt.Sprintf("%d\n", most)
}

// batch sends a job; sent again, it must be the same job.
func (runner *runner) batch() string {
	name := runner.word("job", "j")
	job := runner.jobs[name]
	if job == nil {
		job = &batchJob{service: runner.word("service", modelService)}
		runner.jobs[name] = job
		for i := range runner.number("items", 100) {
			runner.addItem(job, name, i)
		}
	}
	status, answer := runner.upload(job.jsonl)
	if status != http.StatusOK {
		return fmt.Sprintf("%d %s\n", status, gjson.GetBytes(answer, "error.code").Str)
	}
	body, _ := json.Marshal(caller.CreateBatchRequest{InputFileID: gjson.GetBytes(answer, "id").Str, Endpoint: "/v1/chat/completions", CompletionWindow: "24h"})
	status, answer, _ = runner.call(runner.entry(), http.MethodPost, "/v1/batches", callerKey, nil, body)
	if status != http.StatusOK {
		return fmt.Sprintf("%d %s\n", status, gjson.GetBytes(answer, "error.code").Str)
	}
	id := gjson.GetBytes(answer, "id").Str
	again := job.id == id
	job.id = id
	return fmt.Sprintf("accepted, the same job: %v\n", again)
}

func (runner *runner) addItem(job *batchJob, name string, i int) {
	prompt := fmt.Sprintf("%s item %d", name, i)
	if bad := runner.number("bad_every", 0); bad > 0 && i%bad == 0 {
		prompt += " BROKEN"
	}
	if runner.number("poison", -1) == i {
		prompt += " POISON"
	}
	job.prompts = append(job.prompts, prompt)
	url, body := "/v1/chat/completions", chatBody(prompt, runner.number("tokens", 8), false)
	if job.service == plainService {
		url = "/services/" + plainService + "/send"
		body, _ = json.Marshal(map[string]string{"text": prompt})
	}
	line, _ := json.Marshal(map[string]any{"custom_id": fmt.Sprint(i), "method": "POST", "url": url, "body": json.RawMessage(body)})
	job.jsonl = append(append(job.jsonl, line...), '\n')
}

func (runner *runner) upload(jsonl []byte) (status int, answer []byte) {
	var body bytes.Buffer
	writer := multipart.NewWriter(&body)
	_ = writer.WriteField("purpose", "batch")
	part, err := writer.CreateFormFile("file", "input.jsonl")
	must(runner.fleet.t, err)
	_, _ = part.Write(jsonl)
	_ = writer.Close()
	header := http.Header{"Content-Type": {writer.FormDataContentType()}}
	status, answer, _ = runner.call(runner.entry(), http.MethodPost, "/v1/files", callerKey, header, body.Bytes())
	return status, answer
}

func (runner *runner) jobState(id string) gjson.Result {
	for _, address := range runner.fleet.entries() {
		if runner.fleet.paused[address] {
			continue
		}
		if status, answer, _ := runner.call(address, http.MethodGet, "/v1/batches/"+id, callerKey, nil, nil); status == http.StatusOK {
			return gjson.ParseBytes(answer)
		}
	}
	return gjson.Result{}
}

// awaitJob waits until a job has ended, or some of its items have, and checks every outcome.
func (runner *runner) awaitJob() string {
	job := runner.jobs[runner.word("job", "j")]
	some := runner.number("some", 0)
	runner.fleet.await("job "+job.id, func() bool {
		state := runner.jobState(job.id)
		if some > 0 {
			return state.Get("request_counts.completed").Int() >= int64(some)
		}
		return state.Get("status").Str == "completed" || state.Get("status").Str == "cancelled"
	})
	if some > 0 {
		return "ok\n"
	}
	state := runner.jobState(job.id)
	outcomes := map[string]int{}
	wrong := 0
	for _, id := range []string{state.Get("output_file_id").Str, state.Get("error_file_id").Str} {
		if id == "" {
			continue
		}
		var status int
		var answer []byte
		runner.fleet.await("the results", func() bool {
			status, answer, _ = runner.call(runner.entry(), http.MethodGet, "/v1/files/"+id+"/content", callerKey, nil, nil)
			return status == http.StatusOK
		})
		gjson.ForEachLine(string(answer), func(line gjson.Result) bool {
			outcomes[line.Get("custom_id").Str]++
			wrong += runner.wrong(job, line)
			return true
		})
	}
	missing, doubled := 0, 0
	for i := range job.prompts {
		switch outcomes[fmt.Sprint(i)] {
		case 0:
			missing++
		case 1:
		default:
			doubled++
		}
	}
	counts := state.Get("request_counts")
	if runner.data.HasArg("sums") {
		return fmt.Sprintf("%s: ended=%d missing=%d doubled=%d wrong=%d\n", state.Get("status").Str, counts.Get("completed").Int()+counts.Get("failed").Int(), missing, doubled, wrong)
	}
	return fmt.Sprintf("%s: completed=%d failed=%d missing=%d doubled=%d wrong=%d\n",
		state.Get("status").Str, counts.Get("completed").Int(), counts.Get("failed").Int(), missing, doubled, wrong)
}

// wrong returns 1 for a successful line whose answer is not that to its own prompt.
func (runner *runner) wrong(job *batchJob, line gjson.Result) int {
	if line.Get("response.status_code").Int() != http.StatusOK {
		return 0
	}
	prompt := job.prompts[line.Get("custom_id").Int()]
	if job.service == plainService {
		if strings.Contains(line.Get("response.body").String(), prompt) {
			return 0
		}
		return 1
	}
	if strings.HasPrefix(line.Get("response.body.choices.0.message.content").Str, fakeengine.TokenText(prompt+"\n", 0)) {
		return 0
	}
	return 1
}

func (runner *runner) cancel() string {
	job := runner.jobs[runner.word("job", "j")]
	status, answer, _ := runner.call(runner.entry(), http.MethodPost, "/v1/batches/"+job.id+"/cancel", callerKey, nil, nil)
	return fmt.Sprintf("%d %s\n", status, gjson.GetBytes(answer, "status").Str)
}

// quiet waits until the engines begin no more items, and tells whether that was before the job's end.
func (runner *runner) quiet() string {
	job := runner.jobs[runner.word("job", "j")]
	begun := func() int {
		runs := runner.fleet.runs()
		total := 0
		for _, count := range runs {
			total += count
		}
		return total
	}
	last := begun()
	runner.fleet.await("the engines to fall quiet", func() bool {
		time.Sleep(3 * time.Second)
		now := begun()
		quiet := now == last
		last = now
		return quiet
	})
	return fmt.Sprintf("stopped before the end: %v\n", last < len(job.prompts))
}

var signals = map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT}

func (runner *runner) signal() string {
	for _, name := range words(runner.data.Input) {
		sig := runner.word("sig", "kill")
		runner.fleet.paused[runner.fleet.processes[name].address] = sig == "stop"
		runner.fleet.signal(name, signals[sig])
	}
	return "ok\n"
}

func (runner *runner) store() {
	fault := fakeplatform.Fault{Down: runner.data.HasArg("down"), DropResponses: runner.data.HasArg("lose_answers")}
	if runner.data.HasArg("slow") {
		fault.Delay = 500 * time.Millisecond
	}
	data, err := json.Marshal(fault)
	must(runner.fleet.t, err)
	runner.fleet.put("/fault", data)
}

// list changes what the platform's list says of VMs.
func (runner *runner) list() {
	for i := range runner.fleet.vms {
		if runner.fleet.vms[i].Name == runner.word("leaving", "") {
			runner.fleet.vms[i].State = etcd.LeavingState
		}
	}
	runner.fleet.publishVMs()
}

func configuration(places string) config.Configuration {
	account := func(name, key string) config.Account {
		return config.Account{
			Name: name, KeysSHA256: []string{config.KeyDigest(key)}, Services: []string{modelService, plainService},
			Weight: 1, RequestsPerSecond: 1e5, TokensPerSecond: 1e8,
		}
	}
	allowed := strings.Split(places, ",")
	return config.Configuration{
		Services: []config.Service{
			{Name: modelService, Type: config.ModelService, Places: allowed},
			{Name: plainService, Type: config.PlainService, Places: allowed, Routes: []config.Route{{Prefix: "/send"}}},
		},
		Accounts: []config.Account{account("caller", callerKey), account("other", "other")},
	}
}

func (runner *runner) applyConfiguration(places string, base int64) (answer operator.ApplyResponse, status int) {
	request := operator.ApplyRequest{Base: base, Operation: etcd.NewOperation(), Configuration: configuration(places)}
	body, err := json.Marshal(request)
	must(runner.fleet.t, err)
	var data []byte
	for range 10 {
		status, data, _ = runner.call(runner.entry(), http.MethodPost, "/operator/v1/configuration", operatorKey, nil, body)
		if status == http.StatusOK || status == http.StatusConflict {
			break
		}
		time.Sleep(time.Second)
		if runner.data.HasArg("once") {
			break
		}
	}
	_ = json.Unmarshal(data, &answer)
	return answer, status
}

func (runner *runner) apply() string {
	answer, status := runner.applyConfiguration(runner.word("allowed", "a,b"), int64(runner.number("base", 0)))
	text := fmt.Sprintf("%d version=%d conflict=%v\n", status, answer.Version, answer.Conflict)
	if answer.Diff != "" {
		text += strings.TrimSpace(answer.Diff) + "\n"
	}
	return text
}

// versions waits until all daemons that an entry sees are on the version wanted.
func (runner *runner) versions() string {
	want := int64(runner.number("want", 1))
	runner.fleet.await(fmt.Sprintf("version %d everywhere", want), func() bool {
		status, ok := runner.status(runner.entry())
		for _, daemon := range status.Daemons {
			ok = ok && (daemon.Role == etcd.EntryRole || daemon.Version == want)
		}
		return ok && status.Version == want && len(status.Daemons) > 0
	})
	return fmt.Sprintf("all on %d\n", want)
}

// where asks for the last notice or an item.
func (runner *runner) where() string {
	id := runner.jobs[runner.word("job", "j")].id + "." + runner.word("item", "0")
	status, answer, _ := runner.call(runner.entry(), http.MethodGet, "/operator/v1/where/"+id, operatorKey, nil, nil)
	return fmt.Sprintf("%d %s %s\n", status, gjson.GetBytes(answer, "job.status").Str, gjson.GetBytes(answer, "job.outcome").Str)
}
