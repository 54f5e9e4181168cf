package fakeengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Fault is a way in which an engine breaks its protocol in response to one request.
type Fault string

// The faults of an engine. In the early ones it responds before it has read the body, without a length.
const (
	EarlyReset        Fault = "early_reset"        // resets the connection after a part of the response
	EarlyEnd          Fault = "early_end"          // ends the response in order, and reads on
	StatusZero        Fault = "status_000"         // the body is a complete response
	InformationalBody Fault = "informational_body" // an informational response, with such a body
	EndlessHead       Fault = "endless_head"       // a header field that goes on until the caller closes
	EndlessLine       Fault = "endless_line"       // a line of the body that goes on until the caller closes
	EndlessEvents     Fault = "endless_events"     // events that go on until the caller closes
)

// earlyText is the body of a response without a length; EarlyReset sends its first half.
const earlyText = `{"half": 1, "whole": 2}`

// Sizes of an event and of a write in an endless response.
const (
	endlessEventBytes = 1000
	endlessBlockBytes = 16 << 10
)

// earlyResetDelay is the time from a part of a response to the reset, in which the caller fills the buffers.
const earlyResetDelay = 30 * time.Millisecond

// handleFaults replaces the faults of the next requests, one fault for each.
func (server *Server) handleFaults(writer http.ResponseWriter, request *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		writeError(writer, http.StatusBadRequest, err.Error())
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
}

// withFaults returns a handler that responds with the next fault, or calls handle if there is none.
func (server *Server) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		fault, ok := server.takeFault()
		if !ok {
			handle(writer, request)
			return
		}
		if fault != EarlyReset && fault != EarlyEnd {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		server.recordStart(request, string(fault))
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Time{})
		server.respondWith(fault, conn, io.MultiReader(buffered, conn))
	}
}

// takeFault takes the fault of the next request.
func (server *Server) takeFault() (fault Fault, ok bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.faults) == 0 {
		return "", false
	}
	fault, server.faults = server.faults[0], server.faults[1:]
	return fault, true
}

// respondWith writes the response of a fault; rest returns what the caller sends after the head of its request.
func (server *Server) respondWith(fault Fault, conn net.Conn, rest io.Reader) {
	const unframed = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	const unframedEvents = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	within := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(earlyText), earlyText)
	switch fault {
	case EarlyReset:
		_, _ = io.WriteString(conn, unframed+earlyText[:len(earlyText)/2])
		time.Sleep(earlyResetDelay)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case EarlyEnd:
		_, _ = io.WriteString(conn, unframed+earlyText)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, rest)
	case StatusZero:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 Unknown\r\nContent-Length: %d\r\n\r\n%s", len(within), within)
		_, _ = io.Copy(io.Discard, rest)
	case InformationalBody:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 150 Unknown\r\nContent-Length: %d\r\n\r\n%s", len(within), within)
		_, _ = io.Copy(io.Discard, rest)
	case EndlessHead:
		server.writeEndlessly(conn, "HTTP/1.1 200 OK\r\nX-Long: ", "x")
	case EndlessLine:
		server.writeEndlessly(conn, unframedEvents+"data: ", "x")
	case EndlessEvents:
		server.writeEndlessly(conn, unframedEvents, "data: "+strings.Repeat("x", endlessEventBytes)+"\n\n")
	}
}

// writeEndlessly writes a text, and another one again and again until the caller closes the connection, and counts the bytes.
func (server *Server) writeEndlessly(conn net.Conn, first, repeated string) {
	_, err := io.WriteString(conn, first)
	block := strings.Repeat(repeated, endlessBlockBytes/len(repeated)+1)
	for err == nil {
		var written int
		written, err = io.WriteString(conn, block)
		server.endlessBytes.Add(int64(written))
	}
}

// handleEndlessBytes writes how many bytes endless responses have had.
func (server *Server) handleEndlessBytes(writer http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprint(writer, server.endlessBytes.Load())
}
