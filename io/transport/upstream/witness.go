package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"cowslipway/io/port"
)

// A response with neither a length nor chunks ends with its connection, and so it does if the engine's process ends. What tells the two apart is
// that the process answers afterwards. Where its reports name its start time, any connection will do. Elsewhere the answer has to come on a
// connection that the process had accepted before the response ended: a kernel closes the connections of a process with it, so that its
// successor can't answer there. Such a connection is a witness. An exchange watches for one while its response lasts (watch), and the
// exchanges with an engine share it (witnessPoint). It is assumed that one process serves the address.

const (
	// witnessInterval is less than the time after which engines close idle connections.
	witnessInterval = 1500 * time.Millisecond
	// witnessRetryDelay is the time until a witness is sought again after an engine did not answer.
	witnessRetryDelay = 300 * time.Millisecond
	// askTimeout is longer than sound engines are silent at times.
	askTimeout     = 1500 * time.Millisecond
	maxReportBytes = 64 << 10
)

// answer is an engine's answer to a request for its load report.
type answer struct {
	report  port.Report // zero if the answer is no report
	closing bool        // the engine closes the connection after it
}

// witness is a connection to an engine on which the engine is asked for its load report only. Since the connections of a process
// end with it, an answer on a connection that is older than the end of a response shows that the process has outlived the response.
type witness struct {
	connection *connection
	accepted   time.Time     // the engine's process had accepted the connection by then
	shared     bool          // it is kept for all exchanges with the engine
	spent      chan struct{} // closed once the connection is

	mutex  sync.Mutex
	asked  time.Time // when the last question that the engine answered was sent; zero if none was
	answer answer    // to that question
}

// witnessPoint holds the witness that the exchanges with the engine at an address share. Its first fields are guarded by the pool's mutex.
type witnessPoint struct {
	users    int  // exchanges that may need the witness
	unlisted bool // the engine is no longer listed, so that the last user closes the witness
	expected bool // the last response of the engine had no framing
	nameless bool // the engine's reports do not name its start time

	mutex   sync.Mutex
	current *witness // nil if there is none
	closing bool     // the engine closes connections on which it has answered
}

// ask requests the load report of an engine on a connection. Any answer of the engine will do, since some serve no report; a server in
// front of it says that the engine is gone with a status from 500 on.
func (pool *Pool) ask(connection *connection, engine string, timeout time.Duration) (answer answer, err error) {
	defer func() { err = errors.Annotatef(err, "asking engine %s for its report", connection.address) }()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, pool.Engines.ReportURL(connection.address), nil)
	if err != nil {
		return answer, err
	}
	pool.Engines.Expect(request.Header, engine)
	if err = connection.SetDeadline(time.Now().Add(timeout)); err != nil {
		return answer, err
	}
	if err = request.Write(connection); err != nil {
		return answer, err
	}
	response, err := connection.readFinal(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return answer, err
	case len(body) > maxReportBytes:
		return answer, errors.Errorf("the report exceeds %d bytes", maxReportBytes)
	case pool.Engines.ResponseHead(response).WrongEngine:
		return answer, ErrRestarted
	case response.StatusCode >= http.StatusInternalServerError:
		return answer, errors.Errorf("status %d", response.StatusCode)
	}
	answer.closing = response.Close || connection.reader.Buffered() > 0
	if response.StatusCode == http.StatusOK {
		answer.report, _ = pool.Engines.Report(body) // that the engine answered is enough
	}
	connection.answered, connection.idleSince, connection.idleLimit = true, time.Now(), parseIdleLimit(response.Header.Get("Keep-Alive"))
	return answer, connection.SetDeadline(time.Time{})
}

// close closes the connection of a witness. It reports whether the engine has done so after its last answer.
func (witness *witness) close() (closing bool) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	witness.end()
	return witness.answer.closing
}

// end is close for a caller that holds the mutex.
func (witness *witness) end() {
	_ = witness.connection.Close()
	select {
	case <-witness.spent:
	default:
		close(witness.spent)
	}
}

// confirm returns an answer of the engine to a question that was sent after a time.
func (witness *witness) confirm(pool *Pool, engine string, after time.Time) (answer answer, err error) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	if witness.asked.After(after) {
		return witness.answer, nil
	}
	select {
	case <-witness.spent:
		return answer, ErrNoEvidence
	default:
	}
	asked := time.Now()
	answer, err = pool.ask(witness.connection, engine, askTimeout)
	if err != nil || answer.closing {
		witness.end()
	}
	if err == nil {
		witness.asked, witness.answer = asked, answer
	}
	return answer, err
}

// dialWitness opens a connection to the engine at address and has the engine answer on it.
func (pool *Pool) dialWitness(address, engine string) (opened *witness, err error) {
	connection, err := pool.dial(context.Background(), address)
	if err != nil {
		return nil, err
	}
	opened = &witness{connection: connection, spent: make(chan struct{})}
	if _, err = opened.confirm(pool, engine, time.Time{}); err != nil {
		return nil, err
	}
	opened.accepted = time.Now()
	return opened, nil
}

// openSpare returns a new witness for the engine at address that the engine has not answered on yet, or else one on which it has answered
// without closing the connection. Connections are accepted in their order: one that the engine answers on shows that it has accepted
// the one before.
func (pool *Pool) openSpare(address, engine string) (opened *witness, err error) {
	connection, err := pool.dial(context.Background(), address)
	if err != nil {
		return nil, err
	}
	next, err := pool.dialWitness(address, engine)
	if err != nil || !next.answer.closing {
		_ = connection.Close()
		return next, err
	}
	return &witness{connection: connection, spent: make(chan struct{}), accepted: next.accepted}, nil
}

// usable reports whether the engine can be expected to answer on the connection of a witness.
func (witness *witness) usable() bool {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	return witness.connection.reusable()
}

// witness returns a witness for the engine at address that has been found open lately: the shared one, or one for the caller alone if the
// engine closes each connection on which it has answered, so that a witness can be asked only once.
func (point *witnessPoint) witness(pool *Pool, address, engine string) (found *witness, err error) {
	found, err = point.sharedWitness(pool, address, engine)
	if found != nil || err != nil {
		return found, err
	}
	found, err = pool.openSpare(address, engine)
	if err == nil && !found.asked.IsZero() {
		point.mutex.Lock()
		defer point.mutex.Unlock()
		point.closing = false
	}
	return found, err
}

// sharedWitness returns the shared witness for the engine at address, or nil if the engine closes connections on which it has answered.
func (point *witnessPoint) sharedWitness(pool *Pool, address, engine string) (found *witness, err error) {
	point.mutex.Lock()
	defer point.mutex.Unlock()
	if current := point.current; current != nil {
		if current.usable() {
			answer, err := current.confirm(pool, engine, time.Now().Add(-witnessInterval/2))
			if err == nil && !answer.closing {
				return current, nil
			}
		}
		point.closing = current.close() || point.closing
		point.current = nil
	}
	if point.closing {
		return nil, nil
	}
	found, err = pool.dialWitness(address, engine)
	if err != nil {
		return nil, err
	}
	if found.answer.closing {
		point.closing = true
		return nil, nil
	}
	found.shared, point.current = true, found
	return found, nil
}

// needsWitness reports whether an exchange that is about to begin needs a witness: the last response from address had no framing, and
// the engine's start time, of which start is what is listed, does not tell its processes apart.
func (pool *Pool) needsWitness(address string, start int64) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	point := pool.witnessPoints[address]
	return point != nil && point.expected && (start == 0 || point.nameless)
}

// recordFraming records whether a response from address has a framing. It reports whether the exchange needs a witness.
func (pool *Pool) recordFraming(address string, start int64, framed bool) (needed bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	point := pool.witnessPoints[address]
	if point == nil && !framed {
		point = pool.addWitnessPoint(address)
	}
	if point == nil {
		return false
	}
	point.expected = !framed
	return !framed && (start == 0 || point.nameless)
}

// recordNameless records that the reports from address do not name the engine's start time.
func (pool *Pool) recordNameless(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.addWitnessPoint(address).nameless = true
}

// addWitnessPoint returns the witness point of address, which it adds if there is none. The mutex must be held.
func (pool *Pool) addWitnessPoint(address string) (point *witnessPoint) {
	if pool.witnessPoints == nil {
		pool.witnessPoints = map[string]*witnessPoint{}
	}
	if point = pool.witnessPoints[address]; point == nil {
		point = &witnessPoint{}
		pool.witnessPoints[address] = point
	}
	return point
}

// useWitnessPoint returns the witness point of address to a new user.
func (pool *Pool) useWitnessPoint(address string) (point *witnessPoint) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	point = pool.addWitnessPoint(address)
	point.users++
	return point
}

// leaveWitnessPoint ends the use of a witness point.
func (pool *Pool) leaveWitnessPoint(point *witnessPoint) {
	pool.mutex.Lock()
	point.users--
	unused := point.users == 0 && point.unlisted
	pool.mutex.Unlock()
	if unused {
		point.close()
	}
}

// close closes the witness of a point that is no longer used.
func (point *witnessPoint) close() {
	point.mutex.Lock()
	defer point.mutex.Unlock()
	if point.current != nil {
		point.current.close()
		point.current = nil
	}
}
