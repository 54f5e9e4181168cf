package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// stopPause is the interval at which Stop checks whether requests have been read.
const stopPause = time.Millisecond

// Stopper stops an [http.Server]. The server's own Shutdown drops each request that it reads from then on, also on connections that it
// has just accepted, and closing the listener resets the connections that wait to be accepted. Attach is called before the server
// serves.
type Stopper struct {
	ReadLimit time.Duration // for each of the two: connections to be accepted, and requests to be read

	mutex    sync.Mutex
	reading  map[net.Conn]bool  // connections whose request has not reached the handler
	idle     map[net.Conn]int64 // connections between two requests, and the bytes that had been read from them when they became idle
	closed   map[net.Conn]bool  // idle connections that Stop has closed; a request may be read from them nevertheless
	stopping bool
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Attach makes the stopper follow the connections of server.
func (stopper *Stopper) Attach(server *http.Server) {
	stopper.reading, stopper.idle, stopper.closed = map[net.Conn]bool{}, map[net.Conn]int64{}, map[net.Conn]bool{}
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = stopper.track
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn, ok := request.Context().Value(connKey{}).(net.Conn); ok && !stopper.begin(conn) {
			panic(http.ErrAbortHandler) // the request crossed the close of the connection, and nobody would get its response
		}
		handler.ServeHTTP(writer, request)
	})
}

// track follows the state of a connection.
func (stopper *Stopper) track(conn net.Conn, state http.ConnState) {
	stopper.mutex.Lock()
	defer stopper.mutex.Unlock()
	delete(stopper.reading, conn)
	delete(stopper.idle, conn)
	switch state {
	case http.StateNew, http.StateActive:
		stopper.reading[conn] = true
	case http.StateIdle:
		stopper.idle[conn] = bytesRead(conn)
		if stopper.stopping {
			stopper.closeUnused(conn)
		}
	case http.StateHijacked, http.StateClosed:
		delete(stopper.closed, conn)
	}
}

// begin records that a request from a connection has reached the handler. It reports false if the connection has been closed as idle.
func (stopper *Stopper) begin(conn net.Conn) (ok bool) {
	stopper.mutex.Lock()
	defer stopper.mutex.Unlock()
	delete(stopper.reading, conn)
	return !stopper.closed[conn]
}

// closeIdle closes an idle connection. The mutex must be held: a request is either in the handler by then, or never served.
func (stopper *Stopper) closeIdle(conn net.Conn) {
	stopper.closed[conn] = true
	_ = conn.Close()
}

// closeUnused closes an idle connection unless a request has been sent on it, which is to be read. The server may have read bytes of it and not
// reported that yet. The mutex must be held.
func (stopper *Stopper) closeUnused(conn net.Conn) {
	if system := systemConn(conn); isReadable(system) || receivedBytes(system) > stopper.idle[conn] {
		stopper.reading[conn] = true
		return
	}
	stopper.closeIdle(conn)
}

// closeIdleConns calls closeConn for the idle connections.
func (stopper *Stopper) closeIdleConns(closeConn func(conn net.Conn)) {
	stopper.mutex.Lock()
	defer stopper.mutex.Unlock()
	stopper.stopping = true
	for conn := range stopper.idle {
		closeConn(conn)
	}
}

// Serve is like server.Serve, but returns nil once Stop has closed the listener.
func Serve(server *http.Server, listener net.Listener) (err error) {
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop closes the idle connections, accepts the connections that wait, closes listener, reads the requests that have been sent and shuts server
// down. It returns the error of ctx if requests are still being served when ctx ends.
func (stopper *Stopper) Stop(ctx context.Context, server *http.Server, listener net.Listener) (err error) {
	stopper.closeIdleConns(stopper.closeUnused)
	AwaitAccepted(listener, stopper.ReadLimit)
	_ = listener.Close() // it is closed already if the server has failed
	for deadline := time.Now().Add(stopper.ReadLimit); stopper.busy() && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(stopPause)
	}
	stopper.closeIdleConns(stopper.closeIdle) // those with a part of a request
	if err = server.Shutdown(ctx); errors.Is(err, net.ErrClosed) {
		return nil // it closes the listener too, unless Serve has noticed that it is closed
	}
	return err
}

// busy reports whether a request is being read.
func (stopper *Stopper) busy() bool {
	stopper.mutex.Lock()
	defer stopper.mutex.Unlock()
	return len(stopper.reading) > 0
}
