package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an engine began to work on.
type run struct {
	At     time.Time
	Engine string
	Of     string // service of the engine
	ID     string
	Method string
	Path   string
	Host   string
	Status int
}

// output says how engines answer a request.
type output struct {
	status int           // 200 for a stream
	events int           // of a stream
	bytes  int           // of the data of an event
	pause  time.Duration // before each event
}

// fleet is a service of model engines.
type fleet struct {
	mu     sync.Mutex
	runs   []run
	decide func(id string) output // for each request that runs
	onRun  func(r run)            // called after the answer's head was sent
}

const engineSlots, engineQueue = 8, 24

// engine is a model engine as PROTOCOL.md describes it: slots, a queue, an instance that requests may name, streams that can be resumed.
type engine struct {
	fleet   *fleet
	service string
	id      string
	addr    string
	slots   chan struct{}
	waiting chan struct{}
}

func (f *fleet) start(s *store, service, zone string) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &engine{fleet: f, service: service, id: "i-" + randomHex(4), addr: listener.Addr().String(), slots: make(chan struct{}, engineSlots), waiting: make(chan struct{}, engineSlots+engineQueue)}
	go func() { _ = http.Serve(listener, e) }()
	s.put("servers/"+e.id, map[string]any{"service": service, "address": e.addr, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0, "seq": 1})
	return e
}

// ids returns the IDs of all requests that ran.
func (f *fleet) all() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

// data returns the data of an event of a request.
func data(id string, number, size int) string {
	text := fmt.Sprintf("%s-%d-", id, number)
	for len(text) < size {
		text += text
	}
	return text[:max(size, len(id)+8)]
}

// whole returns the text of a request's whole output.
func whole(id string, out output) string {
	lines := make([]string, out.events)
	for i := range lines {
		lines[i] = data(id, i+1, out.bytes)
	}
	return strings.Join(lines, "\n")
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Cowslipway-Request-Id")
	header := w.Header()
	header.Set("Cowslipway-Instance-Id", e.id)
	header.Set("Cowslipway-Server-Load", fmt.Sprintf("%d,%d,%d", len(e.slots), max(0, len(e.waiting)-len(e.slots)), engineSlots))
	if r.Method == http.MethodGet && r.URL.Path == "/api/report" {
		header.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"num_waiting":%d,"num_running":%d,"kv_used":0,"kv_total":147261,"handles":0}`, max(0, len(e.waiting)-len(e.slots)), len(e.slots))
		return
	}
	refuse := func(status int) {
		header.Set("Cowslipway-Not-Run", "1")
		header.Set("Cowslipway-Request-Id", id)
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Cowslipway-Expect-Instance"); expected != "" && expected != e.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	select {
	case e.waiting <- struct{}{}:
		defer func() { <-e.waiting }()
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	out := e.fleet.decide(id)
	this := run{At: time.Now(), Engine: e.id, Of: e.service, ID: id, Method: r.Method, Path: r.URL.RequestURI(), Host: r.Host, Status: out.status}
	e.fleet.mu.Lock()
	e.fleet.runs = append(e.fleet.runs, this)
	onRun := e.fleet.onRun
	e.fleet.mu.Unlock()
	header.Set("Cowslipway-Request-Id", id)
	header.Set("Cowslipway-Server-Stamp", "3e1b."+randomHex(4))
	if out.status != http.StatusOK {
		w.WriteHeader(out.status)
		if onRun != nil {
			go onRun(this)
		}
		return
	}
	header.Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	controller := http.NewResponseController(w)
	for n := first; n <= out.events; n++ {
		select {
		case <-time.After(out.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data(id, n, out.bytes)); err != nil {
			return
		}
		_ = controller.Flush()
	}
	if onRun != nil {
		go onRun(this)
	}
}
