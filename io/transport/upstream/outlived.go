package upstream

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// settleDelay is the time from the end of a response until its engine is asked: a process that ends closes its connections one
	// after the other, and some of them answer until then.
	settleDelay = 10 * time.Millisecond
	// quietBytes is less than what a peer sends at once as soon as it may, and more than a stream has in the time of a question.
	quietBytes = 4 << 10
)

// The causes of errors of Exchange.Outlived, the second one also of Pool.Send.
const (
	// ErrNoEvidence is the cause if nothing tells whether the process that sent the response has outlived it.
	ErrNoEvidence = errors.ConstError("no connection to the engine outlived the response")
	// ErrRestarted is the cause if another process answers at the engine's address.
	ErrRestarted = errors.ConstError("another process answers at the engine's address")
)

// Evidence is what shows that the process that sent a response has outlived it.
type Evidence string

// The kinds of Evidence.
const (
	NoEvidence         Evidence = "none"
	ConnectionEvidence Evidence = "connection" // it has answered on a connection that it had accepted before the end of the response
	StartEvidence      Evidence = "start time" // it has named the start time with which it was listed when the request was sent
)

// progress is how far a connection has been received.
type progress struct {
	atLeast, atMost int64 // bounds of the number of bytes that have arrived, read or not; the reader may go on meanwhile
	unread          int   // of these, bytes that have not been read
	open            bool  // the peer has neither closed nor reset the connection, as far as is known here
}

// progress returns how far the connection has been received. Unlike reusable, it notices an end that follows bytes which have not been
// read.
func (connection *connection) progress() (now progress) {
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return now
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return now
	}
	err = control.Control(func(fd uintptr) {
		now.atLeast = connection.tracker.received.Load()
		unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err != nil {
			return
		}
		now.unread = unread
		now.atLeast += int64(unread)
		now.atMost = connection.tracker.received.Load() + int64(unread)
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // file descriptors fit
		for {
			ready, err := unix.Poll(polled, 0)
			if !errors.Is(err, syscall.EINTR) {
				now.open = err == nil && ready == 0
				return
			}
		}
	})
	now.open = now.open && err == nil
	return now
}

// openSince reports whether the peer's process has kept the connection open from an earlier progress on until now. An end may wait behind
// bytes for which the peer found no room here: then many are unread, or arrive once there is room, before a later question is answered.
func (now progress) openSince(earlier progress) bool {
	return earlier.open && now.open && earlier.unread <= quietBytes && now.unread <= quietBytes && now.atMost-earlier.atLeast <= quietBytes
}

// watch keeps a witness for an exchange until the exchange is dismissed.
type watch struct {
	point *witnessPoint
	ended chan struct{} // closed once the exchange is dismissed

	mutex     sync.Mutex
	dismissed bool
	witness   *witness // had been accepted before the response ended; nil if there is none yet
}

// startWatch begins to keep a witness for an exchange, unless that has begun.
func (exchange *Exchange) startWatch() {
	if exchange.watch != nil {
		return
	}
	exchange.watch = &watch{point: exchange.pool.useWitnessPoint(exchange.connection.address), ended: make(chan struct{})}
	go exchange.runWatch(exchange.watch)
}

// runWatch looks after the witness of an exchange until the exchange is dismissed.
func (exchange *Exchange) runWatch(watch *watch) {
	defer exchange.pool.leaveWitnessPoint(watch.point)
	for {
		var spent chan struct{}
		delay := witnessInterval
		if !watch.holdsPrivate() {
			found, inTime, err := exchange.seekWitness(watch.point)
			if err != nil || !inTime {
				delay = witnessRetryDelay
			}
			if err == nil {
				spent = found.spent
				watch.adopt(found, inTime)
			}
		}
		timer := time.NewTimer(delay)
		select {
		case <-watch.ended:
			timer.Stop()
			return
		case <-spent:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// seekWitness returns a witness for the exchange. inTime reports whether the engine's process had accepted it before the response ended.
func (exchange *Exchange) seekWitness(point *witnessPoint) (found *witness, inTime bool, err error) {
	earlier, started := exchange.connection.progress(), time.Now()
	found, err = point.witness(exchange.pool, exchange.connection.address, exchange.engine)
	if err != nil || found.accepted.Before(exchange.sentAt) {
		return found, err == nil, err
	}
	if found.shared { // it may have been asked earlier, for another exchange
		answer, err := found.confirm(exchange.pool, exchange.engine, started)
		if err != nil || answer.closing {
			return found, false, err
		}
	}
	return found, exchange.connection.progress().openSince(earlier), nil
}

// current returns the witness, or nil if there is none yet.
func (watch *watch) current() (found *witness) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.witness
}

// holdsPrivate reports whether the witness is one of this exchange alone that can still be asked.
func (watch *watch) holdsPrivate() bool {
	found := watch.current()
	return found != nil && !found.shared && found.usable()
}

// adopt replaces the witness by found if found was accepted in time, before the response ended.
func (watch *watch) adopt(found *witness, inTime bool) {
	unneeded := found
	watch.mutex.Lock()
	if inTime && !watch.dismissed {
		unneeded, watch.witness = watch.witness, found
	}
	watch.mutex.Unlock()
	if unneeded != nil && !unneeded.shared {
		unneeded.close()
	}
}

// dismiss ends the watch of an exchange. It has no effect after the first call.
func (exchange *Exchange) dismiss() {
	watch := exchange.watch
	if watch == nil {
		return
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if watch.dismissed {
		return
	}
	watch.dismissed = true
	close(watch.ended)
	if watch.witness != nil && !watch.witness.shared {
		go watch.witness.close() // it may be waiting for an answer
	}
}

// Outlived returns an error unless there is evidence that the process that sent a response without framing has outlived it, so that the end of
// the connection is the end of the response. The caller has read the body to its end and has not called Abort.
func (exchange *Exchange) Outlived(ctx context.Context) (evidence Evidence, err error) {
	type result struct {
		evidence Evidence
		err      error
	}
	ended, results := time.Now(), make(chan result, 1)
	timer := time.AfterFunc(settleDelay, func() {
		evidence, err := exchange.seekEvidence(ended)
		results <- result{evidence: evidence, err: err}
	})
	defer timer.Stop()
	select {
	case result := <-results:
		return result.evidence, result.err
	case <-ctx.Done():
		return NoEvidence, ctx.Err()
	}
}

// seekEvidence asks the engine for evidence that its process was running after a response had ended.
func (exchange *Exchange) seekEvidence(ended time.Time) (evidence Evidence, err error) {
	answer, err := exchange.askWitness(ended)
	if err == nil && (answer.report.StartUnixMilli == 0 || exchange.start == 0 || answer.report.StartUnixMilli == exchange.start) {
		return ConnectionEvidence, nil
	}
	if exchange.start == 0 {
		return NoEvidence, err
	}
	if err != nil {
		if answer, err = exchange.askAnew(ended); err != nil {
			return NoEvidence, err
		}
	}
	switch answer.report.StartUnixMilli {
	case exchange.start:
		return StartEvidence, nil
	case 0:
		exchange.pool.recordNameless(exchange.connection.address)
		return NoEvidence, ErrNoEvidence
	}
	return NoEvidence, ErrRestarted
}

// askWitness returns an answer of the engine on a connection that is older than the end of the response.
func (exchange *Exchange) askWitness(ended time.Time) (answer answer, err error) {
	var found *witness
	if exchange.watch != nil {
		found = exchange.watch.current()
	}
	if found != nil {
		if answer, err = found.confirm(exchange.pool, exchange.engine, ended); err == nil {
			return answer, nil
		}
	}
	idle := exchange.pool.takeAnswered(exchange.connection.address, exchange.sentAt)
	if idle == nil {
		if err == nil {
			err = ErrNoEvidence
		}
		return answer, err
	}
	answer, err = exchange.pool.ask(idle, exchange.engine, askTimeout)
	if err != nil || answer.closing {
		_ = idle.Close()
		return answer, err
	}
	exchange.pool.putIdle(idle)
	return answer, nil
}

// askAnew returns an answer of the engine on any connection.
func (exchange *Exchange) askAnew(ended time.Time) (answer answer, err error) {
	opened, err := exchange.pool.dialWitness(exchange.connection.address, exchange.engine)
	if err != nil {
		return answer, err
	}
	answer, err = opened.confirm(exchange.pool, exchange.engine, ended)
	if err != nil || answer.closing {
		return answer, err
	}
	exchange.pool.putIdle(opened.connection)
	return answer, nil
}

// takeAnswered removes from the pool an open idle connection to address on which the engine has answered before a time, and returns it. It
// returns nil if there is none.
func (pool *Pool) takeAnswered(address string, before time.Time) (found *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	for index, connection := range idle {
		if connection.answered && connection.idleSince.Before(before) && time.Since(connection.idleSince) < connection.idleLimit && connection.reusable() {
			pool.idle[address] = append(idle[:index:index], idle[index+1:]...)
			return connection
		}
	}
	return nil
}
