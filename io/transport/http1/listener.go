package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptPause is the time that the goroutine which accepts connections is given before the queue is looked at again.
const acceptPause = time.Millisecond

// AwaitAccepted waits until no connection waits to be accepted by listener, at most for limit. Closing a listener resets the connections
// that wait, although the peer takes them for open and may have sent a whole request. The listener must still be accepted from.
func AwaitAccepted(listener net.Listener, limit time.Duration) {
	for deadline := time.Now().Add(limit); isReadable(listener) && time.Now().Before(deadline); time.Sleep(acceptPause) {
	}
}

// isReadable reports whether a connection has bytes, or its end, to be read, or a listener has connections to be accepted. It reports false for
// what is none of the system.
func isReadable(socket any) (readable bool) {
	control(socket, func(fd int) {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) //nolint:gosec // descriptors are small
		readable = err == nil && ready > 0 || err == unix.EINTR
	})
	return readable
}

// receivedBytes returns how many bytes the system has received on a TCP connection, read or not, and 0 for what is none.
func receivedBytes(conn net.Conn) (count int64) {
	control(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			count = int64(info.Bytes_received) //nolint:gosec // no connection gets so many
		}
	})
	return count
}

// control calls call with the descriptor of a socket of the system, unless it is closed.
func control(socket any, call func(fd int)) {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := source.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { call(int(fd)) }) //nolint:gosec // descriptors are small
	}
}
