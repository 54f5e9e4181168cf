package http1

import (
	"math"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/memorybudget"
)

// writePieceBytes is the size of the pieces in which a response is written, so that its progress can be seen.
const writePieceBytes = 8 << 10

// ErrNoRoom is the cause of an error after which a request can be sent again later: the memory for callers is in use, or the connection was
// ended to make room for others.
const ErrNoRoom = errors.ConstError("no memory for the request")

// endedError is the error of a connection that is being ended. [http.Server] answers nothing after a timeout.
type endedError struct{}

func (endedError) Error() string   { return "the connection is ended: its caller makes no progress" }
func (endedError) Timeout() bool   { return true }
func (endedError) Temporary() bool { return false }
func (endedError) Unwrap() error   { return ErrNoRoom }

// Conn is an admitted connection. A nil Conn is one without a budget.
type Conn struct {
	net.Conn
	admission *Admission

	// What the caller has sent and taken is recorded without the mutex, which the connections share.
	received     atomic.Int64 // bytes
	lastReceived atomic.Int64 // time by the clock of admission
	sendingSince atomic.Int64 // time by the clock of admission since when a part of a response waits to be taken; 0 if none does
	ended        atomic.Bool

	// The mutex of admission guards the fields below.
	holding memorybudget.Holding
	synced  int64 // bytes received up to the last call of sync
}

// connOf returns the admitted connection of a request, or nil.
func connOf(request *http.Request) (conn *Conn) {
	conn, _ = request.Context().Value(connKey{}).(*Conn)
	return conn
}

// NetConn returns the connection of the system.
func (conn *Conn) NetConn() net.Conn { return conn.Conn }

// bytesRead returns how many bytes have been read from a connection. They are not counted for one that is not admitted.
func bytesRead(conn net.Conn) (count int64) {
	if admitted, ok := conn.(*Conn); ok {
		return admitted.received.Load()
	}
	return math.MaxInt64
}

// end makes reading fail, and writing too if the caller takes nothing. It is called with the mutex held.
func (conn *Conn) end(cause memorybudget.Cause) {
	conn.ended.Store(true)
	_ = conn.Conn.SetReadDeadline(time.Unix(1, 0))
	if conn.sendingSince.Load() != 0 {
		_ = conn.SetWriteDeadline(time.Unix(1, 0))
	}
	conn.admission.report(cause.String(), conn.holding.Bytes())
}

// sync records in the budget what the caller has sent and taken. It is called with the mutex held.
func (conn *Conn) sync() {
	budget := &conn.admission.Budget
	if received := conn.received.Load(); received > conn.synced {
		budget.Progress(&conn.holding, received-conn.synced, clockTime(conn.lastReceived.Load()))
		conn.synced = received
	}
	sending := time.Time{}
	if since := conn.sendingSince.Load(); since != 0 {
		sending = clockTime(since)
	}
	budget.SetSending(&conn.holding, sending)
}

// Read reads and records the caller's progress.
func (conn *Conn) Read(data []byte) (n int, err error) {
	n, err = conn.Conn.Read(data)
	if n > 0 {
		conn.lastReceived.Store(conn.admission.clock())
		conn.received.Add(int64(n))
	}
	if err != nil && conn.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = endedError{}
	}
	return n, err
}

// Write writes in pieces and records the caller's progress.
func (conn *Conn) Write(data []byte) (n int, err error) {
	defer conn.sendingSince.Store(0)
	for len(data) > 0 && err == nil {
		conn.sendingSince.Store(conn.admission.clock())
		var written int
		written, err = conn.Conn.Write(data[:min(len(data), writePieceBytes)])
		n, data = n+written, data[written:]
	}
	return n, err
}

// SetReadDeadline sets the deadline of Read, unless the connection is being ended.
func (conn *Conn) SetReadDeadline(deadline time.Time) (err error) {
	if err = conn.Conn.SetReadDeadline(deadline); conn.ended.Load() { // also if it was ended meanwhile
		return conn.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// CloseWrite ends the sending direction. [http.Server] does so before it closes a connection on which bytes may still arrive.
func (conn *Conn) CloseWrite() (err error) {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases its memory.
func (conn *Conn) Close() (err error) {
	err = conn.Conn.Close()
	conn.admission.update(func(time.Time) {
		conn.admission.Budget.Release(&conn.holding)
		conn.admission.wake()
	})
	return err
}

// await records that the connection waits for something else. It reports false if it is being ended.
func (conn *Conn) await(state memorybudget.State) (ok bool) {
	if conn == nil {
		return true
	}
	conn.admission.update(func(now time.Time) {
		conn.sync()
		conn.admission.Budget.SetState(&conn.holding, state, now)
	})
	return !conn.ended.Load()
}

// release ends the request: the connection holds no memory for it any more and waits for something else.
func (conn *Conn) release(state memorybudget.State) {
	if conn == nil {
		return
	}
	conn.admission.update(func(now time.Time) {
		conn.sync()
		if conn.holding.Bytes() > connectionBytes {
			conn.admission.Budget.Resize(&conn.holding, connectionBytes, now)
			conn.admission.wake()
		}
		conn.admission.Budget.SetState(&conn.holding, state, now)
	})
}

// resume records that the connection waits for its caller again.
func (conn *Conn) resume() {
	conn.admission.update(func(now time.Time) {
		conn.sync()
		conn.admission.Budget.Resume(&conn.holding, now)
	})
}

// pause records that the connection does not wait for its caller until resume is called.
func (conn *Conn) pause() {
	conn.admission.update(func(now time.Time) {
		conn.sync()
		conn.admission.Budget.Pause(&conn.holding, now)
	})
}

// hold sets the memory that is held for the request, besides what the connection itself takes.
func (conn *Conn) hold(bytes int64) (err error) {
	if conn == nil {
		return nil
	}
	ok := conn.admission.await(reserveWait, func(now time.Time) memorybudget.Verdict {
		verdict := conn.admission.Budget.Resize(&conn.holding, connectionBytes+bytes, now)
		if verdict == memorybudget.Granted {
			conn.admission.wake()
		}
		return verdict
	})
	if !ok {
		return errors.Annotatef(ErrNoRoom, "%d bytes", bytes)
	}
	return nil
}

// fits reports whether there may be room for so many bytes of a request.
func (conn *Conn) fits(bytes int64) (ok bool) {
	if conn == nil {
		return true
	}
	conn.admission.update(func(time.Time) { ok = conn.admission.Budget.Fits(&conn.holding, connectionBytes+bytes) })
	return ok
}

// Hold sets the memory that is held for a request until its response is complete, besides what its connection takes. ReadBody holds the body.
// The cause of the error is ErrNoRoom; less is always granted.
func Hold(request *http.Request, bytes int64) (err error) { return connOf(request).hold(bytes) }
