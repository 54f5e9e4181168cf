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

// engine is a small stand-in for a model engine (PROTOCOL, "Engines"). It keeps its ID and address over its starts.
type engine struct {
	id, service, address, zone string
	store                      *store
	record                     *record
	slots, events              int
	pace                       time.Duration
	handle                     func(e *engine, w http.ResponseWriter, r *http.Request, body []byte) bool // takes the place of a run if it returns true

	mutex      sync.Mutex
	version    string
	born       int64
	state      string
	listener   net.Listener
	conns      map[net.Conn]bool
	running    int
	seq        int64
	stopped    chan struct{}
	lastBeat   time.Time
	limit      string
	leaving    bool
	arrivals   int
	quiet      bool          // runs are not recorded
	eventBytes int           // of the text of an event
	ahead      time.Duration // of the clock of the machine
}

const heartbeat = 1200 * time.Millisecond

func newEngine(s *store, rec *record, id, service, zone, version string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, address: listener.Addr().String(), zone: zone, store: s, record: rec, slots: 8, events: 22, eventBytes: 40, pace: 35 * time.Millisecond, version: version}
	e.serve(listener)
	go e.watchEntry()
	return e, nil
}

// start starts the engine again, with a software version, under its ID and address.
func (e *engine) start(version string) error {
	var listener net.Listener
	var err error
	for range 200 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.mutex.Lock()
	e.version = version
	e.mutex.Unlock()
	e.serve(listener)
	return nil
}

func (e *engine) serve(listener net.Listener) {
	e.mutex.Lock()
	e.born, e.state, e.seq, e.running, e.listener, e.conns, e.stopped, e.leaving = time.Now().Add(e.ahead).UnixMilli(), "ready", 0, 0, listener, map[net.Conn]bool{}, make(chan struct{}), false
	stopped := e.stopped
	e.mutex.Unlock()
	e.beat() // it is listed before it serves, if the store takes the entry
	server := &http.Server{Handler: e, ConnState: func(conn net.Conn, state http.ConnState) {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		switch state {
		case http.StateNew:
			e.conns[conn] = true
		case http.StateClosed:
			delete(e.conns, conn)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				e.beat()
			}
		}
	}()
	e.record.line("engine %s starts, version %s, born %d", e.id, e.version, e.born)
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mutex.Lock()
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state, "cold_left_ms": 0, "seq": e.seq, "born": e.born, "stage": "both", "models": []any{}}
	e.mutex.Unlock()
	if e.store.write("servers/"+e.id, entry) {
		e.mutex.Lock()
		e.lastBeat = time.Now()
		e.mutex.Unlock()
	}
}

// watchEntry removes the entry after three heartbeats of silence.
func (e *engine) watchEntry() {
	for range time.Tick(100 * time.Millisecond) {
		e.mutex.Lock()
		silent := time.Since(e.lastBeat) > 3*heartbeat
		e.mutex.Unlock()
		e.store.mutex.Lock()
		down := e.store.down != ""
		e.store.mutex.Unlock()
		if silent && !down {
			e.store.erase("servers/" + e.id)
		}
	}
}

// crash ends the engine at once: its channels are reset.
func (e *engine) crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	close(e.stopped)
	_ = e.listener.Close()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.record.line("engine %s crashes, %d requests at work", e.id, e.running)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	born, version, stopped := e.born, e.version, e.stopped
	header := w.Header()
	header.Set("Cowslipway-Server-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	if e.limit != "" {
		header.Set("Server-Limit", e.limit)
	}
	if e.leaving {
		header.Set("Server-Leaving", "1")
	}
	e.mutex.Unlock()
	if r.URL.Path == "/api/report" {
		header.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"seq":0,"num_waiting":0,"num_running":%d,"kv_used":0,"kv_total":147261,"handles":0,"born":%d}`, e.running, born)
		return
	}
	id := r.Header.Get("Cowslipway-Request-Id")
	header.Set("Cowslipway-Request-Id", id)
	header.Set("Cowslipway-Server-Stamp", "stamp."+e.id+"."+strconv.FormatInt(born, 10))
	if expected := r.Header.Get("Cowslipway-Expect-Instance"); expected != "" && expected != e.id {
		header.Set("Cowslipway-Instance-Id", e.id)
		header.Set("Cowslipway-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mutex.Lock()
	if e.running >= e.slots {
		e.mutex.Unlock()
		header.Set("Cowslipway-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.arrivals++
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.running--
		e.mutex.Unlock()
	}()
	if e.handle != nil && e.handle(e, w, r, body) {
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !e.quiet {
		e.record.line("engine %s (%s) runs %s from event %d", e.id, version, id, from+1)
	}
	header.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for number := from + 1; number <= e.events; number++ {
		select {
		case <-time.After(e.pace):
		case <-r.Context().Done():
			if !e.quiet {
				e.record.line("engine %s (%s) drops %s", e.id, version, id)
			}
			return
		case <-stopped:
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s.%s.%d %s\n\n", number, version, e.id, number, strings.Repeat("x", e.eventBytes))
		w.(http.Flusher).Flush()
	}
}
