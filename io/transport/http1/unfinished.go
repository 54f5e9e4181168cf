package http1

import (
	"net"
	"net/http"
)

// lingerDefault makes the system close a connection in the usual way.
const lingerDefault = -1

// ResetUnfinished returns a handler whose responses to callers of HTTP/1.0 end with a reset unless handler has returned. Such a response
// may end with its connection, and the system closes the connections of a process that is killed like those of whole responses.
// The handler must serve below [Stopper.Attach].
func ResetUnfinished(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(connKey{}).(net.Conn)
		if request.ProtoAtLeast(1, 1) || !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		setLinger(conn, 0)
		handler.ServeHTTP(writer, request)
		if http.NewResponseController(writer).Flush() == nil { // what the server keeps in a buffer would be lost with the process
			setLinger(conn, lingerDefault)
		}
	})
}

// setLinger sets for how many seconds the system goes on sending after a connection is closed; with 0 it resets the connection.
func setLinger(conn net.Conn, seconds int) {
	if tcp, ok := systemConn(conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails only if the connection is closed already
	}
}

// systemConn returns the connection of the system that conn, such as a *tls.Conn or *Conn, is based on.
func systemConn(conn net.Conn) net.Conn {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = outer.NetConn()
	}
}
