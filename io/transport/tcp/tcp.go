package tcp

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// stateClosed is the state of a connection that was reset, TCP_CLOSE. After an orderly end it is TCP_CLOSE_WAIT until this side closes it too.
const stateClosed = 7

// EndedInOrder reports whether the peer has ended a connection that can't be read any further in order, and neither reset it nor found it
// closed here. The system reports a reset once, to the call that asks first: after a write that waits for the peer has got it, a read returns
// io.EOF.
func EndedInOrder(conn net.Conn) (inOrder bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true // it is no connection of the system, whose errors get lost
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) //nolint:gosec // descriptors are small
		inOrder = infoErr == nil && info.State != stateClosed
	})
	return inOrder && err == nil
}

// ReadError returns the error of a read from conn: io.EOF only if the peer has ended the connection in order.
func ReadError(conn net.Conn, err error) error {
	if errors.Is(err, io.EOF) && !EndedInOrder(conn) {
		return &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return err
}

// Dialer opens connections whose reads return io.EOF only if the peer has ended the connection in order.
type Dialer struct{ net.Dialer }

// DialContext is like that of [net.Dialer].
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (conn net.Conn, err error) {
	if conn, err = dialer.Dialer.DialContext(ctx, network, address); err != nil {
		return nil, err
	}
	return readErrorConn{conn}, nil
}

// readErrorConn is a connection whose reads return the errors of ReadError.
type readErrorConn struct{ net.Conn }

// Read reads from the connection.
func (conn readErrorConn) Read(data []byte) (n int, err error) {
	n, err = conn.Conn.Read(data)
	return n, ReadError(conn.Conn, err)
}
