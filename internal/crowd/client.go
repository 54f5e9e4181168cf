package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout  = 5 * time.Second
	stallTimeout = 2 * time.Second  // after which a client whose bytes are not taken stays without sending more
	awaitTimeout = 30 * time.Second // for the response to a whole request
	blockBytes   = 64 << 10
	fieldBytes   = 512 // of the value of a header field
)

// Shape describes what each client of a crowd sends. Sizes are in bytes.
type Shape struct {
	Clients  int
	Body     int  // announced size, or size of a chunked body
	Short    int  // bytes of the framed body that are withheld at its end
	Piece    int  // size of one write; 0 for the whole body
	Chunk    int  // size of a chunk; 0 for a body with a length
	Overflow int  // bytes that are sent in place of the body, without an end
	Head     int  // bytes of a head that does not end, in place of a request
	Ahead    int  // requests that are sent in a row while no response is read
	Await    bool // whether a client waits for its response
}

// Request describes a request of the product.
type Request struct {
	Head   func(id string) string // request line and header fields, without those that frame the body
	Prefix func(id string) string // start of the body; nil if all requests have the same body
	Suffix string                 // end of the body
	NoBody bool
}

// body returns a body of a size, or the shortest one if that is longer.
func (request Request) body(id string, size int) (body []byte) {
	if request.NoBody {
		return nil
	}
	if request.Prefix != nil {
		body = append(body, request.Prefix(id)...)
	}
	fill := max(1, size-len(body)-len(request.Suffix))
	if request.Prefix != nil {
		fill = max(1, fill/4) * 4 // it is base64
	}
	body = append(body, bytes.Repeat([]byte("x"), fill)...)
	return append(body, request.Suffix...)
}

// Crowd is a set of connections to one address.
type Crowd struct {
	Address string
	Request Request
	Shape   Shape

	shared []byte // framed body of all clients; nil if each has its own
	mutex  sync.Mutex
	conns  []net.Conn
}

// Open connects the clients and returns once each has sent its part, has been disconnected or waits for the process to read. The
// connections stay open.
func (crowd *Crowd) Open(ctx context.Context) {
	if crowd.Request.Prefix == nil {
		crowd.shared = crowd.framed("")
	}
	var group sync.WaitGroup
	for number := range crowd.Shape.Clients {
		group.Go(func() { crowd.play(ctx, fmt.Sprintf("crowd-%d-%d", number, time.Now().UnixNano())) })
	}
	group.Wait()
}

// framing returns the header fields that frame the body, and the end of the head.
func (crowd *Crowd) framing(body []byte) string {
	switch {
	case crowd.Request.NoBody:
		return "\r\n"
	case crowd.Shape.Chunk > 0:
		return "Transfer-Encoding: chunked\r\n\r\n"
	case crowd.Shape.Overflow > 0:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n", crowd.Shape.Body)
	}
	return fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+crowd.Shape.Short)
}

// framed returns what a client sends after its head.
func (crowd *Crowd) framed(id string) (framed []byte) {
	shape := crowd.Shape
	if shape.Overflow > 0 {
		block := bytes.Repeat([]byte("x"), blockBytes)
		if shape.Chunk > 0 {
			return fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
		}
		return block
	}
	body := crowd.Request.body(id, shape.Body)
	if shape.Chunk == 0 {
		return body[:len(body)-shape.Short]
	}
	for len(body) > 0 {
		size := min(shape.Chunk, len(body))
		framed = fmt.Appendf(framed, "%x\r\n%s\r\n", size, body[:size])
		body = body[size:]
	}
	framed = append(framed, "0\r\n\r\n"...)
	return framed[:len(framed)-shape.Short]
}

// play connects one client and sends its part.
func (crowd *Crowd) play(ctx context.Context, id string) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", crowd.Address)
	if err != nil {
		return // refused, which is allowed
	}
	crowd.mutex.Lock()
	crowd.conns = append(crowd.conns, conn)
	crowd.mutex.Unlock()
	shape, head := crowd.Shape, crowd.Request.Head(id)
	if shape.Head > 0 {
		for len(head) < shape.Head {
			head += fmt.Sprintf("X-Field-%d: %s\r\n", len(head), strings.Repeat("x", fieldBytes))
		}
		send(conn, []byte(head), shape.Piece)
		return
	}
	framed := crowd.shared
	if framed == nil {
		framed = crowd.framed(id)
	}
	head += crowd.framing(framed)
	if shape.Ahead > 0 {
		whole := append([]byte(head), framed...)
		for sent := 0; sent < shape.Ahead && send(conn, whole, 0); {
			sent++
		}
		return
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	if !send(conn, []byte(head), 0) {
		return
	}
	for sent := 0; send(conn, framed, shape.Piece) && sent < shape.Overflow; {
		sent += len(framed)
	}
	if shape.Await {
		select {
		case <-answered:
		case <-time.After(awaitTimeout):
		}
	}
}

// send writes data in pieces. It reports false if the peer has closed the connection or takes no more.
func send(conn net.Conn, data []byte, piece int) (ok bool) {
	if piece == 0 {
		piece = blockBytes
	}
	for len(data) > 0 {
		_ = conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		n, err := conn.Write(data[:min(piece, len(data))])
		if err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// Close disconnects the clients.
func (crowd *Crowd) Close() {
	crowd.mutex.Lock()
	defer crowd.mutex.Unlock()
	for _, conn := range crowd.conns {
		_ = conn.Close()
	}
}
