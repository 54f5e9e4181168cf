package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"cowslipway/core/coordination/memorybudget"
	"cowslipway/core/state/httpsyntax"
	"cowslipway/io/port"
	"cowslipway/io/transport/tcp"
)

// The causes of errors of Pool.Send.
const (
	// ErrNotSent is the cause of an error after which no byte of the request has been sent.
	ErrNotSent = errors.ConstError("engine not reached")
	// ErrOutcomeUnknown is the cause of an error after which the request may have been executed or may still be executed.
	ErrOutcomeUnknown = errors.ConstError("engine's response lost")
	// ErrInvalidRequest is a cause, beside ErrNotSent, of the error of a request that can't be written as one request of HTTP/1.1.
	ErrInvalidRequest = errors.ConstError("no valid request")
)

const (
	readBufferBytes   = 4 << 10
	maxInlineBytes    = 16 << 10        // size of a request that fits a socket's send buffer and is written synchronously
	defaultIdleLimit  = 4 * time.Second // how long an idle connection is reused if the engine sends no limit
	idleMargin        = time.Second     // reuse of an idle connection ends this long before the engine would close it
	maxCarried        = 512             // requests that a connection carries; it is closed then
	maxIdlePerAddress = 32              // an engine runs fewer requests of one process at once
	maxResponseHeads  = 4               // informational responses and the final one
	maxHeadBytes      = 64 << 10        // read while the heads of a response are incomplete
)

// Pool sends requests to engines and reuses idle connections. It is safe for concurrent use.
type Pool struct {
	DialTimeout time.Duration
	Engines     port.Engines // encodes requests and decodes responses
	// Memory is for what is kept of responses while they arrive: events, and the outputs of items. It may be nil: it is not bounded.
	Memory *memorybudget.Pool

	mutex sync.Mutex
	idle  map[string][]*connection // by address, the most recently used last
	// witnessPoints holds the witnesses of engines that have sent responses without framing, by address.
	witnessPoints map[string]*witnessPoint
	lastReceived  sync.Map // address to *atomic.Int64: time of the last byte received, as nanoseconds since clockBase
}

// clockBase is a time with a monotonic reading. Times that are kept as the time since then do not move when the time of day jumps.
var clockBase = time.Now()

// LastReceived returns the time of the last byte received from the engine at address. If none was received, the time is
// zero.
func (pool *Pool) LastReceived(address string) time.Time {
	if last, ok := pool.lastReceived.Load(address); ok {
		if elapsed := last.(*atomic.Int64).Load(); elapsed > 0 {
			return clockBase.Add(time.Duration(elapsed))
		}
	}
	return time.Time{}
}

// receiveTracker records the time when bytes are last received on a connection, and bounds how many are received while a head is
// read.
type receiveTracker struct {
	net.Conn
	lastReceived *atomic.Int64
	received     atomic.Int64 // bytes
	readingHead  bool
	headBytes    int // received while readingHead is set
}

// Read reads from the connection and records the time if it receives bytes.
func (tracker *receiveTracker) Read(data []byte) (n int, err error) {
	if tracker.readingHead && tracker.headBytes >= maxHeadBytes {
		return 0, errors.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)
	}
	n, err = tracker.Conn.Read(data)
	err = tcp.ReadError(tracker.Conn, err)
	if tracker.readingHead {
		tracker.headBytes += n
	}
	if n > 0 {
		tracker.received.Add(int64(n))
		tracker.lastReceived.Store(int64(time.Since(clockBase)))
	}
	return n, err
}

// connection is a connection to an engine.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	tracker     *receiveTracker // source of reader
	address     string
	incarnation int64         // start time that the engine has reported on it; 0 if it has reported none
	idleSince   time.Time     // time at which it last became idle
	idleLimit   time.Duration // it is not reused after being idle for this long
	answered    bool          // the engine has responded to a request on it before it last became idle
	carried     []uint64      // hashes of the IDs of the requests that it carried
}

// hasCarried reports whether the connection carried a request with an ID. A response with this ID that is still to come on it may belong to that
// request.
func (connection *connection) hasCarried(id string) bool {
	return id != "" && slices.Contains(connection.carried, xxhash.Sum64String(id))
}

// Request is a request that is sent to an engine once.
type Request struct {
	Address string
	Method  string
	URI     string // as the caller sent it
	Host    string
	Header  http.Header // end-to-end fields only
	Body    []byte
	Attempt port.Attempt
	// StartUnixMilli is the start time of the addressed engine; 0 means unknown.
	StartUnixMilli int64
	// GoesOn is set if the response continues what an engine has sent before, so that another incarnation of the engine than the one
	// that started at StartUnixMilli must not receive the request.
	GoesOn bool
}

// Exchange is a request with its response, of which the head has been read. The caller ends it with Abort, Release or Discard.
type Exchange struct {
	Response *http.Response
	Head     port.ResponseHead // decoded head of Response
	Verified Verification

	pool            *Pool
	connection      *connection
	writeResult     chan error  // receives the result of writing the request and is then closed
	stopCloseOnDone func() bool // stops closing the connection when the context ends
	ended           bool        // Abort or Release was called

	engine string    // ID of the addressed engine
	start  int64     // its start time in Unix milliseconds; 0 means unknown
	sentAt time.Time // when sending the request began
	watch  *watch    // nil unless the response has no framing or none is expected
}

// hopByHopFields are the header fields that apply to a single connection or message and are not forwarded.
var hopByHopFields = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// EndToEnd returns a copy of header without the hop-by-hop fields and those that its Connection field names.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		endToEnd.Del(name)
	}
	return endToEnd
}

// Send sends request and reads the head of the response. The cause of an error is ErrNotSent or ErrOutcomeUnknown. If ctx ends
// before the exchange does, the connection is closed.
func (pool *Pool) Send(ctx context.Context, request Request) (exchange *Exchange, err error) {
	defer func() { err = errors.Annotatef(err, "sending to engine %s", request.Address) }()
	message, err := request.encode(pool.Engines)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	connection, verified, err := pool.connectVerified(ctx, request)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	exchange = &Exchange{
		Verified: verified, pool: pool, connection: connection, writeResult: make(chan error, 1), engine: request.Attempt.Engine, start: request.StartUnixMilli,
		sentAt: time.Now(),
	}
	if pool.needsWitness(request.Address, request.StartUnixMilli) {
		exchange.startWatch()
	}
	exchange.stopCloseOnDone = context.AfterFunc(ctx, connection.reset)
	connection.carried = append(connection.carried, xxhash.Sum64String(request.Attempt.RequestID))
	if len(message)+len(request.Body) <= maxInlineBytes {
		_, err = connection.Write(append(message, request.Body...))
		exchange.writeResult <- err
		close(exchange.writeResult)
	} else {
		go func() {
			_, err := connection.Write(message)
			if err == nil {
				_, err = connection.Write(request.Body) // which is not copied: the memory for it is held once
			}
			exchange.writeResult <- err
			close(exchange.writeResult)
		}()
	}
	// An engine may respond and close the connection before it has read the whole request, so a failed write alone does not
	// show that the request failed.
	if err = exchange.readHead(request); err != nil {
		exchange.Abort()
		if cause := ctx.Err(); cause != nil {
			err = errors.Wrap(err, cause)
		}
		return nil, errors.WithType(err, ErrOutcomeUnknown)
	}
	if pool.recordFraming(request.Address, request.StartUnixMilli, exchange.Framed()) {
		exchange.startWatch()
	}
	return exchange, nil
}

// Validate returns an error unless the request can be written as one request of HTTP/1.1. Its cause is ErrInvalidRequest.
func (request Request) Validate() (err error) {
	checks := []error{httpsyntax.CheckMethod(request.Method), httpsyntax.CheckWord(request.URI), httpsyntax.CheckHost(request.Host), httpsyntax.CheckHeader(request.Header)}
	if id := request.Attempt.RequestID; id != "" { // engines refuse a request without one
		checks = append(checks, httpsyntax.CheckID(id))
	}
	for _, err = range checks {
		if err != nil {
			return errors.WithType(err, ErrInvalidRequest)
		}
	}
	return nil
}

// encode returns the head of the HTTP request. It writes the fields that say where the request ends itself.
func (request Request) encode(engines port.Engines) (head []byte, err error) {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	engines.Apply(header, request.Attempt)
	request.Header = header
	if err = request.Validate(); err != nil {
		return nil, err
	}
	for _, name := range hopByHopFields {
		header.Del(name)
	}
	header.Del("Host")
	if request.Body != nil || request.Method == http.MethodPost || request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}
	var buffer bytes.Buffer
	buffer.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = header.Write(&buffer) // writes to a buffer do not fail
	buffer.WriteString("\r\n")
	return buffer.Bytes(), nil
}

// connect returns an idle connection to address that has not carried a request with the given ID, or opens a new one if there is none.
func (pool *Pool) connect(ctx context.Context, address, requestID string) (found *connection, err error) {
	for {
		found = pool.takeIdle(address, requestID)
		if found == nil {
			break
		}
		if found.reusable() {
			return found, nil
		}
		_ = found.Close()
	}
	return pool.dial(ctx, address)
}

// dial opens a new connection to address.
func (pool *Pool) dial(ctx context.Context, address string) (opened *connection, err error) {
	dialer := net.Dialer{Timeout: pool.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	last, _ := pool.lastReceived.LoadOrStore(address, &atomic.Int64{})
	tracker := &receiveTracker{Conn: conn, lastReceived: last.(*atomic.Int64)}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(tracker, readBufferBytes), tracker: tracker, address: address}, nil
}

// Dial opens a new connection to the engine at address and keeps it for reuse. It fails if the engine does not accept one.
func (pool *Pool) Dial(ctx context.Context, address string) (err error) {
	defer func() { err = errors.Annotatef(err, "connecting to engine %s", address) }()
	opened, err := pool.dial(ctx, address)
	if err != nil {
		return err
	}
	opened.idleLimit = defaultIdleLimit
	pool.putIdle(opened)
	return nil
}

// Probe opens a new connection to the engine at address and closes it. It fails if the engine does not accept one.
func (pool *Pool) Probe(ctx context.Context, address string) (err error) {
	defer func() { err = errors.Annotatef(err, "connecting to engine %s", address) }()
	opened, err := pool.dial(ctx, address)
	if err != nil {
		return err
	}
	return opened.Close()
}

// reset closes a connection so that what the peer has not received yet is discarded, and not delivered later, as once a cut link is whole
// again.
func (connection *connection) reset() {
	if tcp, ok := connection.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = connection.Close()
}

// takeIdle removes an idle connection that has not carried a request with the given ID from the pool and returns it, or nil if there is none. It
// closes expired connections.
func (pool *Pool) takeIdle(address, requestID string) (found *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	for index, candidate := range slices.Backward(idle) { // the most recently used is the least likely to have been closed by the engine
		switch {
		case time.Since(candidate.idleSince) >= candidate.idleLimit:
			_ = candidate.Close()
		case candidate.hasCarried(requestID):
			continue
		default:
			found = candidate
		}
		idle = slices.Delete(idle, index, index+1)
		if found != nil {
			break
		}
	}
	if len(idle) < len(pool.idle[address]) {
		pool.idle[address] = idle
	}
	return found
}

// reusable reports whether an idle connection is open and the engine has sent no unrequested bytes on it.
func (connection *connection) reusable() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// Retain closes the idle connections to all addresses for which keep returns false.
func (pool *Pool) Retain(keep func(address string) bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, point := range pool.witnessPoints {
		if keep(address) {
			continue
		}
		if point.unlisted = true; point.users == 0 {
			go point.close()
		}
		delete(pool.witnessPoints, address)
	}
	for address, idle := range pool.idle {
		if keep(address) {
			continue
		}
		for _, connection := range idle {
			_ = connection.Close()
		}
		delete(pool.idle, address)
	}
}

// readFinal reads the head of the final response to a request, and skips informational ones.
func (connection *connection) readFinal(request *http.Request) (response *http.Response, err error) {
	tracker := connection.tracker
	tracker.readingHead, tracker.headBytes = true, 0
	defer func() { tracker.readingHead = false }()
	for range maxResponseHeads {
		response, err = http.ReadResponse(connection.reader, request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode >= http.StatusOK: // those from 600 on are failures of unknown kinds
			return response, nil
		case response.StatusCode < http.StatusContinue:
			return nil, errors.Errorf("%03d is no status of a response", response.StatusCode)
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the engine switches protocols without being asked to")
		case response.Header.Get("Content-Length") != "" || len(response.TransferEncoding) > 0:
			return nil, errors.Errorf("a response with the informational status %d has a body", response.StatusCode) // its end is not known
		}
	}
	return nil, errors.Errorf("no final response after %d informational ones", maxResponseHeads)
}

// readHead reads the head of the response, skips informational ones, and checks that the response belongs to request and has
// no content encoding.
func (exchange *Exchange) readHead(request Request) (err error) {
	if exchange.Response, err = exchange.connection.readFinal(&http.Request{Method: request.Method}); err != nil { //nolint:bodyclose // Abort and Release end the exchange
		return err
	}
	exchange.Head = exchange.pool.Engines.ResponseHead(exchange.Response)
	if exchange.Head.RequestID != request.Attempt.RequestID {
		return errors.Errorf("the response belongs to request %q", exchange.Head.RequestID)
	}
	if exchange.Response.Header.Get("Content-Encoding") != "" {
		return errors.New("the response has a content encoding that was not requested")
	}
	return nil
}

// Abort resets the connection, which makes the engine stop the request, or never receive it. It has no effect after Release.
func (exchange *Exchange) Abort() {
	exchange.dismiss()
	if exchange.ended {
		return
	}
	exchange.ended = true
	exchange.stopCloseOnDone()
	exchange.connection.reset()
}

// Framed reports whether the response says where its body ends, by a length or by chunks, or has no body, as to HEAD. Otherwise the body ends with the connection,
// also if the engine ends meanwhile.
func (exchange *Exchange) Framed() bool {
	return exchange.Response.Body == http.NoBody || exchange.Response.ContentLength >= 0 || slices.Contains(exchange.Response.TransferEncoding, "chunked")
}

// Release returns the connection to the pool for reuse. The caller must have read the body to its end. If the connection cannot
// be reused, Release aborts the exchange.
func (exchange *Exchange) Release() {
	if exchange.ended {
		return
	}
	var sent bool
	select {
	case err := <-exchange.writeResult:
		sent = err == nil
	default:
	}
	closing := exchange.Response.Close || !exchange.Framed()
	if !sent || !exchange.stopCloseOnDone() {
		exchange.Abort()
		return
	}
	exchange.ended = true
	if closing || exchange.connection.reader.Buffered() > 0 || len(exchange.connection.carried) >= maxCarried {
		_ = exchange.connection.Close()
		return
	}
	exchange.connection.answered, exchange.connection.idleLimit = true, parseIdleLimit(exchange.Response.Header.Get("Keep-Alive"))
	exchange.pool.putIdle(exchange.connection)
}

// parseIdleLimit returns how long an idle connection may be reused, from the Keep-Alive field of a response.
func parseIdleLimit(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return defaultIdleLimit
}

// putIdle returns a connection to the pool. It closes the connection if the pool already has enough to its address.
func (pool *Pool) putIdle(released *connection) {
	released.idleSince = time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.idle == nil {
		pool.idle = map[string][]*connection{}
	}
	if len(pool.idle[released.address]) >= maxIdlePerAddress {
		_ = released.Close()
		return
	}
	pool.idle[released.address] = append(pool.idle[released.address], released)
}

// Discard reads and discards the body of the response. It releases the connection if the body is shorter than maxInlineBytes
// and aborts the exchange otherwise.
func (exchange *Exchange) Discard() {
	if _, err := io.CopyN(io.Discard, exchange.Response.Body, maxInlineBytes); errors.Is(err, io.EOF) {
		exchange.Release()
		return
	}
	exchange.Abort()
}
