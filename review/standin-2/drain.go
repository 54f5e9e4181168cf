package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamRoute returns a streaming route like those of the site file, whose streams can't be resumed.
func streamRoute(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": "online.example", "prefix": prefix, "kind": "streaming", "service": "llm", "timeout_ms": 5000, "target_latency_ms": 300,
		"itl_target_ms": 400, "max_attempts": 1, "priority": 0, "resumable": false, "sticky": true}
}

// The sizes of the case "drain". A stream has 25 events and pauses of at most 400 ms on the sheet; the route's timeout_ms is 5,000. Clients take at
// most header_timeout_ms (3,000) to send a head, and reuse channels that were idle for up to four fifths of idle_timeout_ms (15,000).
const (
	drainEvents  = 25
	drainPause   = 175 * time.Millisecond
	drainSlowAt  = 1400 * time.Millisecond // after SIGTERM, a client begins to send a head
	drainSlowFor = 2900 * time.Millisecond // it has sent the whole head
	drainAskAt   = 3400 * time.Millisecond // after SIGTERM, a client asks on its kept channel
)

// ask sends a request on a channel that is kept.
func ask(conn net.Conn, id string) {
	_, err := fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: online.example\r\nCowslipway-Request-Id: %s\r\nCowslipway-Model: m\r\nCowslipway-Token-Usage: 350,25\r\n"+
		"Cowslipway-Prompt-Prefix: 9c2e41:100,%s:250\r\nCowslipway-Deadline-Ms: 5000\r\nContent-Length: 8\r\n\r\n12345678", id, id[:8])
	note("client sends request %s on its kept channel: %v", id, err)
}

// take reads the answer to a request and returns the number of events and whether it is complete.
func take(reader *bufio.Reader, id string) (status, events int, complete bool) {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		note("request %s: no answer: %v", id, err)
		return 0, 0, false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	events = strings.Count(string(body), "\nid: ")
	if strings.HasPrefix(string(body), "id: ") {
		events++
	}
	note("request %s: status %d, stamp %q, %d events, body ends with %v", id, response.StatusCode, response.Header.Get("Cowslipway-Server-Stamp"), events, err)
	return response.StatusCode, events, err == nil
}

func init() {
	cases["drain"] = func(trouble bool) (broken bool) {
		out := output{status: 200, events: drainEvents, bytes: 75, pause: drainPause}
		quick := out
		quick.pause = 10 * time.Millisecond
		s := newSystem(func(id string) output {
			if strings.HasPrefix(id, "00") {
				return quick
			}
			return out
		})
		defer s.end()
		for i := range 6 {
			s.fleet.start(s.store, "llm", s.zones[i%3])
		}
		s.configure(1, streamRoute("a", "/lohu930/"))
		front := s.add("ingress", "z1", 134)
		s.add("ingress", "z2", 134)
		for _, zone := range s.zones {
			s.add("worker", zone, 164)
		}
		for _, p := range s.processes {
			p.start()
		}
		await("front ready", 20*time.Second, front.isReady)
		time.Sleep(3500 * time.Millisecond) // contact_ms
		var conns []net.Conn
		var readers []*bufio.Reader
		for range 4 {
			conn, err := net.Dial("tcp", front.front)
			must(err)
			conns, readers = append(conns, conn), append(readers, bufio.NewReader(conn))
		}
		for i, conn := range conns {
			id := "00" + randomHex(7)
			ask(conn, id)
			if status, events, complete := take(readers[i], id); status != 200 || events != drainEvents || !complete {
				panic("a client is not served before the disruption")
			}
		}
		time.Sleep(time.Second)
		stopped := time.Now()
		if trouble {
			go front.terminate()
		}
		// A client that sends its head slowly, but within header_timeout_ms.
		go func() {
			time.Sleep(time.Until(stopped.Add(drainSlowAt)))
			conn, err := net.Dial("tcp", front.front)
			if err != nil {
				note("slow client: %v", err)
				return
			}
			id := "00" + randomHex(7)
			head := "POST /lohu930/2f HTTP/1.1\r\nHost: online.example\r\nCowslipway-Request-Id: " + id + "\r\nCowslipway-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
			note("a client begins to send the head of request %s", id)
			const pieces = 12
			for i := range pieces {
				_, _ = io.WriteString(conn, head[len(head)*i/pieces:len(head)*(i+1)/pieces])
				if i < pieces-1 {
					time.Sleep(drainSlowFor / pieces)
				}
			}
			note("it has sent the whole head")
			take(bufio.NewReader(conn), id)
		}()
		time.Sleep(time.Until(stopped.Add(drainAskAt)))
		done := make(chan bool)
		for i, conn := range conns {
			go func() {
				id := "ff" + randomHex(7)
				sent := time.Now()
				ask(conn, id)
				status, events, complete := take(readers[i], id)
				lost := !complete && (status != 0 || len(s.fleet.runsOf(id)) > 0)
				if lost {
					note("LOST: request %s, sent %s ms after SIGTERM on a kept channel, was passed on to a sound engine and ends without a complete answer after %d of %d events, %s ms after it was sent",
						id, strconv.FormatInt(sent.Sub(stopped).Milliseconds(), 10), events, drainEvents, strconv.FormatInt(time.Since(sent).Milliseconds(), 10))
				}
				done <- lost
			}()
		}
		for range conns {
			broken = <-done || broken
		}
		time.Sleep(time.Second)
		return broken
	}
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) (found []run) {
	for _, r := range f.all() {
		if r.ID == id {
			found = append(found, r)
		}
	}
	return found
}
