package http1

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/memorybudget"
)

const (
	// drainTimeout bounds how long a response waits for the rest of a body that nobody reads.
	drainTimeout = time.Second
	// firstBodyBytes is the size up to which the buffer of a body has the announced size at once.
	firstBodyBytes = 64 << 10
	// unknownBodyBytes is the first size of the buffer of a body whose size is not announced.
	unknownBodyBytes = 4 << 10
	endedRetryAfter  = "1" // seconds
)

// ErrTooLarge is the cause of an error of a body that exceeds its limit.
const ErrTooLarge = errors.ConstError("the body is too large")

// ReadBody reads the body of a request, up to limit bytes, and holds memory for it until the response is complete. The cause of an error is
// ErrTooLarge, ErrNoRoom, [os.ErrDeadlineExceeded] at the deadline, unless that is zero, or that of the connection.
func ReadBody(writer http.ResponseWriter, request *http.Request, limit int64, deadline time.Time) (body []byte, err error) {
	conn, announced := connOf(request), request.ContentLength
	if announced > limit {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes, at most %d", announced, limit)
	}
	if announced == 0 {
		return []byte{}, nil
	}
	if announced > firstBodyBytes && !conn.fits(announced) {
		return nil, errors.Annotatef(ErrNoRoom, "%d bytes", announced)
	}
	if !deadline.IsZero() {
		controller := http.NewResponseController(writer)
		if err = controller.SetReadDeadline(deadline); err == nil {
			defer func() {
				if err == nil { // otherwise the server may still wait for the rest of the body
					_ = controller.SetReadDeadline(time.Time{})
				}
			}()
		}
	}
	conn.await(memorybudget.Receiving)
	defer conn.await(memorybudget.Serving)
	size := int64(unknownBodyBytes)
	if announced > 0 {
		size = min(announced, firstBodyBytes)
	}
	for int64(len(body)) <= limit {
		if len(body) == cap(body) {
			if body, err = grow(conn, body, size); err != nil {
				return nil, err
			}
			if size *= 2; announced > 0 && 2*size > announced {
				size = announced
			}
			size = min(size, limit+1)
		}
		n, err := request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && int64(len(body)) <= limit {
			return body, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.Annotate(err, "reading a body")
		}
	}
	return nil, errors.Annotatef(ErrTooLarge, "more than %d bytes", limit)
}

// grow returns a copy of body with a larger capacity. It holds memory for both until the copy is made.
func grow(conn *Conn, body []byte, size int64) (grown []byte, err error) {
	if err = conn.hold(int64(cap(body)) + size); err != nil {
		return nil, err
	}
	grown = make([]byte, len(body), size)
	if copy(grown, body) > 0 {
		err = conn.hold(size) // less is always granted
	}
	return grown, err
}

// TrackBody makes the body of a request, which is read in parts, wait for its caller only while a part is read.
func TrackBody(request *http.Request) {
	if conn := connOf(request); conn != nil {
		request.Body = &trackedBody{ReadCloser: request.Body, conn: conn}
	}
}

// trackedBody is the body of a request on an admitted connection.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read reads a part of the body.
func (body *trackedBody) Read(data []byte) (n int, err error) {
	body.conn.resume()
	defer body.conn.pause()
	return body.ReadCloser.Read(data)
}

// DrainBody returns a handler that reads what handler has left of a request's body, up to limit bytes and for at most a second, before the
// end of the response is sent. [http.Server] does so only on connections that it keeps. It closes others with the body unread, which
// resets them: the peer, or a load balancer in between, may then drop the response.
func DrainBody(handler http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn := connOf(request)
		if !conn.await(memorybudget.Serving) {
			writer.Header().Set("Connection", "close")
			writer.Header().Set("Retry-After", endedRetryAfter)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(writer, request)
		defer conn.release(memorybudget.Idle)
		if request.ContentLength == 0 || request.Header.Get("Expect") != "" { // in the latter case the peer sends no body after a final response
			return
		}
		conn.release(memorybudget.Receiving)
		controller := http.NewResponseController(writer)
		if err := controller.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
			return // the connection is closed
		}
		if _, err := io.CopyN(io.Discard, request.Body, limit); err == nil || errors.Is(err, io.EOF) {
			_ = controller.SetReadDeadline(time.Time{}) // otherwise the server closes the connection
		}
	})
}
