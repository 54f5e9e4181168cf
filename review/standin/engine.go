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

// run is one request that an engine began to run.
type run struct {
	id, engine, path string
	after            int // number of the event after which it went on
	from, to         time.Time
	events           int
	finished         bool
}

// fleet holds the stand-ins of the engines of one service, and what they ran.
type fleet struct {
	record  *record
	service string // of engines that are added without another one
	slots   int    // of engines that are added from now on
	// output returns the data of the events of a request, and the pause after each.
	output func(id string) (events []string, pause time.Duration)
	// unframed makes the engines send answers with neither a length nor chunks, which end with their channel.
	unframed bool

	mutex   sync.Mutex
	engines []*engine
	runs    []*run
}

type engine struct {
	fleet   *fleet
	id      string
	address string
	zone    string
	service string
	slots   int
	running int

	listener net.Listener
	exit     chan struct{} // closed when the engine's process exits
	server   *http.Server
}

const pingInterval = 1200 * time.Millisecond // heartbeat_ms of the sheet

// entry returns the engine's entry in the store.
func (engine *engine) entry(state string, seq int) map[string]any {
	return map[string]any{
		"service": engine.service, "address": engine.address, "zone": engine.zone, "version": "1", "slots": engine.slots, "state": state,
		"cold_left_ms": 0, "seq": seq, "stage": "both", "models": []any{},
	}
}

// leave is the planned end of an engine: it reports that it drains, serves on for a time and then exits, which closes its channels.
func (engine *engine) leave(store *store, after time.Duration) {
	engine.fleet.record.log("engine %s: draining, with %d requests running", engine.id, engine.load())
	store.put("servers/"+engine.id, engine.entry("draining", 2))
	time.AfterFunc(after, func() {
		engine.fleet.record.log("engine %s: exits, with %d requests running", engine.id, engine.load())
		_ = engine.listener.Close()
		close(engine.exit)
		store.delete("servers/" + engine.id)
	})
}

// load returns the number of running requests.
func (engine *engine) load() int {
	engine.fleet.mutex.Lock()
	defer engine.fleet.mutex.Unlock()
	return engine.running
}

// crash ends an engine for good: its channels are reset, and its entry is removed after three ping intervals.
func (engine *engine) crash(store *store) {
	engine.fleet.record.log("engine %s of %s: lost for good, with %d requests running", engine.id, engine.service, engine.load())
	_ = engine.listener.Close()
	close(engine.exit)
	_ = engine.server.Close()
	time.AfterFunc(3*pingInterval, func() { store.delete("servers/" + engine.id) })
}

// add starts an engine and lists it in the store.
func (fleet *fleet) add(store *store, ip, id, zone, service string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	added := &engine{fleet: fleet, id: id, address: listener.Addr().String(), zone: zone, service: service, slots: fleet.slots, listener: listener, exit: make(chan struct{})}
	added.server = &http.Server{Handler: added}
	fleet.engines = append(fleet.engines, added)
	go func() { _ = added.server.Serve(listener) }()
	store.put("servers/"+id, added.entry("ready", 1))
	return nil
}

// ServeHTTP implements http.Handler: it runs one request.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	fleet := engine.fleet
	id := request.Header.Get("Cowslipway-Request-Id")
	header := writer.Header()
	header.Set("Cowslipway-Request-Id", id)
	header.Set("Cowslipway-Server-Stamp", "stamp."+engine.id)
	if request.URL.Path == "/healthz" {
		header.Set("Cowslipway-Instance-Id", engine.id)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	fleet.mutex.Lock()
	expected := request.Header.Get("Cowslipway-Expect-Instance")
	if expected != "" && expected != engine.id || id == "" || engine.running >= engine.slots {
		status := http.StatusServiceUnavailable
		switch {
		case id == "":
			status = http.StatusBadRequest
		case expected != "" && expected != engine.id:
			status = http.StatusMisdirectedRequest
		}
		header.Set("Cowslipway-Server-Load", fmt.Sprintf("%d,0,%d", engine.running, engine.slots))
		fleet.mutex.Unlock()
		header.Set("Cowslipway-Not-Run", "1")
		writer.WriteHeader(status)
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	begun := &run{id: id, engine: engine.id, path: request.URL.Path, after: after, from: time.Now()}
	fleet.runs = append(fleet.runs, begun)
	engine.running++
	header.Set("Cowslipway-Server-Load", fmt.Sprintf("%d,0,%d", engine.running, engine.slots))
	fleet.mutex.Unlock()
	defer func() {
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		engine.running--
		begun.to = time.Now()
	}()
	events, pause := fleet.output(id)
	header.Set("Content-Type", "text/event-stream")
	output := newOutput(writer, fleet.unframed)
	defer output.close()
	for number := after + 1; number <= len(events); number++ {
		select {
		case <-engine.exit:
			if !fleet.unframed {
				panic(http.ErrAbortHandler) // the answer is not complete
			}
			return
		case <-request.Context().Done():
			return
		case <-time.After(pause):
		}
		if !output.send(fmt.Sprintf("id: %d\ndata: %s\n\n", number, events[number-1])) {
			return
		}
		fleet.mutex.Lock()
		begun.events++
		fleet.mutex.Unlock()
	}
	fleet.mutex.Lock()
	begun.finished = true
	fleet.mutex.Unlock()
}

// output is the body of an answer: in chunks, or ended by the end of its channel.
type output struct {
	writer http.ResponseWriter
	conn   net.Conn // of an answer without chunks
}

func newOutput(writer http.ResponseWriter, unframed bool) *output {
	created := &output{writer: writer}
	if !unframed {
		writer.WriteHeader(http.StatusOK)
		return created
	}
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	created.conn = conn
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, values := range writer.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n")
	return created
}

// send sends a part of the body, and reports whether that succeeded.
func (output *output) send(text string) bool {
	if output.conn != nil {
		_, err := io.WriteString(output.conn, text)
		return err == nil
	}
	_, err := io.WriteString(output.writer, text)
	return err == nil && http.NewResponseController(output.writer).Flush() == nil
}

// close closes the channel of an answer without chunks, as the end of a process does. It does not reset it.
func (output *output) close() {
	if output.conn != nil {
		_ = output.conn.Close()
	}
}

// snapshot returns copies of all runs. Those that go on have no end.
func (fleet *fleet) snapshot() (runs []run) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, run := range fleet.runs {
		runs = append(runs, *run)
	}
	return runs
}

// text returns the whole output of an item.
func (fleet *fleet) text(id string) string {
	events, _ := fleet.output(id)
	return strings.Join(events, "\n")
}
