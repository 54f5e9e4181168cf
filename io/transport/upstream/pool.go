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

	"github.com/juju/errors"

	"cowslipway/io/port"
)

// The causes of errors.
const (
	// ErrNotSent says that no byte of the request reached the engine.
	ErrNotSent = errors.ConstError("engine not reached")
	// ErrOutcomeUnknown says that the request may have run, or may yet.
	ErrOutcomeUnknown = errors.ConstError("engine's answer lost")
)

const (
	readBufferBytes  = 4 << 10
	inlineBodyBytes  = 16 << 10        // a body that fits a socket's buffer is sent before the answer is read
	defaultIdle      = 4 * time.Second // connections are kept idle this long where the engine names no limit
	idleMargin       = time.Second     // a kept connection is left alone this long before the engine would close it
	keptPerAddress   = 32              // idle connections; an engine runs fewer requests at once from one process
	maxHeadResponses = 4               // informational heads before the final one
)

// Pool keeps connections to engines.
type Pool struct {
	DialTimeout time.Duration
	Engines     port.Engines

	mutex sync.Mutex
	idle  map[string][]*connection
	heard sync.Map // address to *atomic.Int64: Unix nanoseconds of the last byte from there
}

// LastReceived returns when a byte came last from the engine at address.
func (pool *Pool) LastReceived(address string) time.Time {
	if last, ok := pool.heard.Load(address); ok {
		return time.Unix(0, last.(*atomic.Int64).Load())
	}
	return time.Time{}
}

// listening records when bytes come on a connection.
type listening struct {
	net.Conn
	last *atomic.Int64
}

// Read reads from the connection.
func (listening listening) Read(data []byte) (n int, err error) {
	n, err = listening.Conn.Read(data)
	if n > 0 {
		listening.last.Store(time.Now().UnixNano())
	}
	return n, err
}

type connection struct {
	net.Conn
	reader  *bufio.Reader
	address string
	kept    time.Time     // when it became idle
	limit   time.Duration // the engine closes it when idle for longer
}

// Request is one attempt at an engine.
type Request struct {
	Address string
	Method  string
	URI     string // as the caller sent it
	Host    string
	Header  http.Header // end-to-end fields
	Body    []byte
	Attempt port.Attempt
}

// Exchange is an answer whose head has been read.
type Exchange struct {
	Response *http.Response
	Answer   port.Answer

	pool       *Pool
	connection *connection
	sent       chan error // closed once the whole request has been written
	stop       func() bool
	ended      bool
}

// hopFields concern one connection only.
var hopFields = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// EndToEnd returns a copy of header without the fields that concern one connection only.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopFields {
		kept.Del(name)
	}
	return kept
}

// Send sends request and reads the head of its answer. The connection is closed as soon as ctx ends.
func (pool *Pool) Send(ctx context.Context, request Request) (exchange *Exchange, err error) {
	defer func() { err = errors.Annotatef(err, "sending to engine %s", request.Address) }()
	connection, err := pool.connect(ctx, request.Address)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	exchange = &Exchange{pool: pool, connection: connection, sent: make(chan error, 1)}
	exchange.stop = context.AfterFunc(ctx, func() { _ = connection.Close() })
	message := request.encode(pool.Engines)
	if len(message) <= inlineBodyBytes {
		_, err = connection.Write(message)
		exchange.sent <- err
		close(exchange.sent)
	} else {
		go func() {
			_, err := connection.Write(message)
			exchange.sent <- err
			close(exchange.sent)
		}()
	}
	// An engine may answer and close before it has read all, so a failed write alone decides nothing.
	if err = exchange.readHead(request); err != nil {
		exchange.Abort()
		if cause := ctx.Err(); cause != nil {
			err = errors.Wrap(err, cause)
		}
		return nil, errors.WithType(err, ErrOutcomeUnknown)
	}
	return exchange, nil
}

func (request Request) encode(engines port.Engines) (message []byte) {
	header := request.Header.Clone()
	engines.Apply(header, request.Attempt)
	header.Del("Host")
	if request.Body != nil || request.Method == http.MethodPost || request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}
	var buffer bytes.Buffer
	buffer.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = header.Write(&buffer) // a buffer takes all
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	return buffer.Bytes()
}

// connect returns an idle connection, or opens one.
func (pool *Pool) connect(ctx context.Context, address string) (found *connection, err error) {
	for {
		found = pool.take(address)
		if found == nil {
			break
		}
		if found.silent() {
			return found, nil
		}
		_ = found.Close()
	}
	dialer := net.Dialer{Timeout: pool.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	last, _ := pool.heard.LoadOrStore(address, &atomic.Int64{})
	reader := bufio.NewReaderSize(listening{Conn: conn, last: last.(*atomic.Int64)}, readBufferBytes)
	return &connection{Conn: conn, reader: reader, address: address}, nil
}

func (pool *Pool) take(address string) (found *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	kept := pool.idle[address]
	for len(kept) > 0 {
		found = kept[len(kept)-1] // the one used last is the least likely to be closed
		kept = kept[:len(kept)-1]
		pool.idle[address] = kept
		if time.Since(found.kept) < found.limit {
			return found
		}
		_ = found.Close()
	}
	return nil
}

// silent reports whether an idle connection is open and nothing came on it that nobody asked for.
func (connection *connection) silent() bool {
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
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		silent = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// Retain closes idle connections to all addresses but those given.
func (pool *Pool) Retain(keep func(address string) bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, kept := range pool.idle {
		if keep(address) {
			continue
		}
		for _, connection := range kept {
			_ = connection.Close()
		}
		delete(pool.idle, address)
	}
}

func (exchange *Exchange) readHead(request Request) (err error) {
	question := &http.Request{Method: request.Method}
	for range maxHeadResponses {
		exchange.Response, err = http.ReadResponse(exchange.connection.reader, question) //nolint:bodyclose // Abort and Release end the exchange
		if err != nil {
			return err
		}
		if exchange.Response.StatusCode >= http.StatusOK {
			break
		}
	}
	exchange.Answer = exchange.pool.Engines.Answer(exchange.Response)
	if exchange.Answer.RequestID != request.Attempt.RequestID {
		return errors.Errorf("the answer belongs to request %q", exchange.Answer.RequestID)
	}
	if exchange.Response.Header.Get("Content-Encoding") != "" {
		return errors.New("the answer has an encoding that nobody asked for")
	}
	return nil
}

// Abort closes the connection: the engine is to stop.
func (exchange *Exchange) Abort() {
	if exchange.ended {
		return
	}
	exchange.ended = true
	exchange.stop()
	_ = exchange.connection.Close()
}

// Release gives the connection back once the body was read to its end.
func (exchange *Exchange) Release() {
	if exchange.ended {
		return
	}
	var sent bool
	select {
	case err := <-exchange.sent:
		sent = err == nil
	default:
	}
	closing := exchange.Response.Close || exchange.Response.ContentLength < 0 && !slices.Contains(exchange.Response.TransferEncoding, "chunked")
	if !sent || closing || exchange.connection.reader.Buffered() > 0 || !exchange.stop() {
		exchange.Abort()
		return
	}
	exchange.ended = true
	exchange.connection.limit = idleLimit(exchange.Response.Header.Get("Keep-Alive"))
	exchange.pool.keep(exchange.connection)
}

// idleLimit reads how long an engine keeps an idle connection.
func idleLimit(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return defaultIdle
}

func (pool *Pool) keep(link *connection) {
	link.kept = time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.idle == nil {
		pool.idle = map[string][]*connection{}
	}
	if len(pool.idle[link.address]) >= keptPerAddress {
		_ = link.Close()
		return
	}
	pool.idle[link.address] = append(pool.idle[link.address], link)
}

// Drain reads a body that is not wanted, so that the connection can be used again, up to a small size.
func (exchange *Exchange) Drain() {
	if _, err := io.CopyN(io.Discard, exchange.Response.Body, inlineBodyBytes); errors.Is(err, io.EOF) {
		exchange.Release()
		return
	}
	exchange.Abort()
}
