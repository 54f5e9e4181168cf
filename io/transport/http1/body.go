package http1

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// drainTimeout bounds how long a response waits for the rest of a body that nobody reads.
const drainTimeout = time.Second

// DrainBody returns a handler that reads what handler has left of a request's body, up to limit bytes and for at most a second, before the
// end of the response is sent. [http.Server] does so only on connections that it keeps. It closes others with the body unread, which
// resets them: the peer, or a load balancer in between, may then drop the response.
func DrainBody(handler http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(writer, request)
		if request.ContentLength == 0 || request.Header.Get("Expect") != "" { // in the latter case the peer sends no body after a final response
			return
		}
		controller := http.NewResponseController(writer)
		if err := controller.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
			return // the connection is closed
		}
		if _, err := io.CopyN(io.Discard, request.Body, limit); err == nil || errors.Is(err, io.EOF) {
			_ = controller.SetReadDeadline(time.Time{}) // otherwise the server closes the connection
		}
	})
}
