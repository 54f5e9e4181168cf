package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun is the panic of a case that could not run.
type cannotRun struct{ error }

func randomHex(n int) string {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func freePort(network string) int {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		must(err)
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().(*net.UDPAddr).Port
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// process is one process of the system.
type process struct {
	system   *system
	name     string
	role     string // the command of the deploy file
	settings string // path
	front    string
	ready    string
	dir      string // of its data; empty for an ingress

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

// system is the system under test on its platform.
type system struct {
	store     *store
	fleet     *fleet
	dir       string
	binary    string
	zones     []string
	processes []*process
}

func newSystem(decide func(id string) output) *system {
	dir, err := os.MkdirTemp("", "review2-")
	must(err)
	binary, err := filepath.Abs("../../target/cowslipway")
	must(err)
	if _, err = os.Stat(binary); err != nil {
		must(err)
	}
	return &system{store: newStore(), fleet: &fleet{decide: decide}, dir: dir, binary: binary, zones: []string{"z1", "z2", "z3"}}
}

// add prepares a process with settings as the template deploy/settings.json renders them for a small deployment.
func (s *system) add(role, zone string, memoryMB int) *process {
	number := len(s.processes) + 1
	p := &process{system: s, role: role, name: fmt.Sprintf("%s-%s-%d", map[string]string{"ingress": "front", "worker": "store"}[role], zone, number)}
	settings := map[string]any{
		"name": p.name, "place": "r1", "failure_domain": zone, "listen": "", "ready_listen": "", "engine": "",
		"peer_listen":    fmt.Sprintf("127.0.0.1:%d", freePort("udp")),
		"metrics_listen": fmt.Sprintf("127.0.0.1:%d", freePort("tcp")),
		"data_directory": "", "store_address": s.store.addr, "max_record_bytes": 1 << 20,
		"memory_mb": memoryMB, "max_descriptors": 4100, "cores": 1, "grace_period": "8s", "quota_overshoot": 0.1, "result_retention": "120s",
	}
	if role == "ingress" {
		p.front = fmt.Sprintf("127.0.0.1:%d", freePort("tcp"))
		p.ready = fmt.Sprintf("127.0.0.1:%d", freePort("tcp"))
		settings["listen"], settings["ready_listen"] = p.front, p.ready
	} else {
		p.dir = filepath.Join(s.dir, p.name)
		must(os.Mkdir(p.dir, 0o700))
		settings["data_directory"] = p.dir
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	p.settings = filepath.Join(s.dir, p.name+".json")
	must(os.WriteFile(p.settings, data, 0o600))
	s.processes = append(s.processes, p)
	return p
}

// start starts the process with the command of its role in the deploy file.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	log, err := os.OpenFile(filepath.Join(p.system.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	command := exec.Command(p.system.binary, p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.system.dir, "COWSLIPWAY_CONFIG=" + p.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	p.command, p.exited = command, make(chan struct{})
	exited := p.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	note("%s started (start %d)", p.name, p.starts)
}

// kill kills the process and waits for its end.
func (p *process) kill(why string) {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
	note("%s killed (%s)", p.name, why)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memory returns the resident memory of the process in MB.
func (p *process) memory() float64 {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds, or fails the case.
func await(what string, limit time.Duration, condition func() bool) {
	if !holds(limit, condition) {
		must(fmt.Errorf("%s: not within %s", what, limit))
	}
}

// holds reports whether a condition comes to hold within a time.
func holds(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// end ends all processes and removes the temporary folder.
func (s *system) end() {
	for _, p := range s.processes {
		if p.running() {
			p.kill("end of the case")
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}

// route returns a batch route, as the site file has them.
func batchRoute(name, prefix string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": "batch.example", "prefix": prefix, "kind": "batch", "service": "llm", "timeout_ms": 15000, "target_latency_ms": 500,
		"completion_target_ms": 18000, "max_queue_s": 60, "max_attempts": attempts, "priority": 2, "sticky": true}
}

// serviceCalled returns a service of the configuration.
func serviceCalled(name string) map[string]any {
	return map[string]any{"name": name, "max_conns": 210, "health_path": "/healthz", "engine": map[string]any{"slots": engineSlots}}
}

// configure writes a configuration, as the operator does.
func (s *system) configure(version int, routes ...map[string]any) {
	s.store.put("op/config", map[string]any{"version": version, "routes": routes,
		"services": []any{serviceCalled("llm"), serviceCalled("chat")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	note("operator writes configuration %d (%d routes); acknowledged", version, len(routes))
}

// jobItem is an item of a batch job.
type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

func newItem(prefix string, bodyBytes, outTokens int) jobItem {
	own := randomHex(4)
	body := make([]byte, bodyBytes)
	_, _ = rand.Read(body)
	return jobItem{ID: randomHex(8), Path: prefix + "3/" + randomHex(2), Body: base64.StdEncoding.EncodeToString(body), Tokens: 350 + outTokens,
		Headers: map[string]string{"Cowslipway-Model": "m", "Cowslipway-Token-Usage": fmt.Sprintf("350,%d", outTokens), "Cowslipway-Prompt-Prefix": "9c2e41:100," + own + ":250"}}
}

// job is a batch job that a client sends.
type job struct {
	ID     string
	Prefix string
	Items  []jobItem
	Host   string // empty: the route's host
}

// call makes one call of a client on a new channel. The status is 0 if there is no complete answer.
func call(ctx context.Context, method, address, path string, header map[string]string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	must(err)
	request.Host = "batch.example"
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host := request.Header.Get("Host"); host != "" {
		request.Host = host
		request.Header.Del("Host")
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit sends a batch job to one daemon, once.
func (j *job) submit(p *process, limit time.Duration) (status int) {
	body, err := json.Marshal(map[string]any{"items": j.Items})
	must(err)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	header := map[string]string{"Cowslipway-Request-Id": j.ID, "Content-Type": "application/json", "Cowslipway-Deadline-Ms": strconv.Itoa(int(limit.Milliseconds()))}
	if j.Host != "" {
		header["Host"] = j.Host
	}
	status, _ = call(ctx, http.MethodPost, p.front, j.Prefix+j.ID[:6], header, body)
	note("job %s (%d items, %d bytes) sent to %s: %d", j.ID, len(j.Items), len(body), p.name, status)
	return status
}

// result is one result of a batch job.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// read reads the results from a position on.
func (j *job) read(p *process, after int, wait time.Duration) (status, total, next int, results []result) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+2500*time.Millisecond)
	defer cancel()
	header := map[string]string{}
	if wait > 0 {
		header["Cowslipway-Wait-Ms"] = strconv.Itoa(int(wait.Milliseconds()))
	}
	status, body := call(ctx, http.MethodGet, p.front, fmt.Sprintf("/api/lots/%s?after=%d", j.ID, after), header, nil)
	if status != http.StatusOK {
		return status, 0, 0, nil
	}
	var page struct {
		Total   int      `json:"total"`
		Next    int      `json:"next"`
		Results []result `json:"results"`
	}
	if json.Unmarshal(body, &page) != nil {
		return -1, 0, 0, nil
	}
	return status, page.Total, page.Next, page.Results
}

// readAll reads all results from the start, until a time.
func (j *job) readAll(p *process, deadline time.Time) (results []result) {
	for len(results) < len(j.Items) && time.Now().Before(deadline) {
		status, _, _, page := j.read(p, len(results), time.Second)
		results = append(results, page...)
		if status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return results
}
