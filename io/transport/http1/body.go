package http1

import (
	"io"
	"net/http"
)

// DrainBody returns a handler that reads what handler has left of a request's body, up to limit bytes, before the end of the response
// is sent. [http.Server] does so only on connections that it keeps. It closes others with the body unread, which resets them: the peer,
// or a load balancer in between, may then drop the response.
func DrainBody(handler http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(writer, request)
		if request.Header.Get("Expect") == "" { // otherwise the peer sends no body after a final response
			_, _ = io.CopyN(io.Discard, request.Body, limit) // the response does not depend on it
		}
	})
}
