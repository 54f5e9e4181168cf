package quic

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

const (
	handshakeTimeout = 3 * time.Second
	keepAlivePeriod  = time.Second
	idleTimeout      = 4 * time.Second

	maxStreams = 1 << 16

	// A reader that stops reading holds at most one stream window, so the window of the connection
	// stays open for about a thousand others.
	streamWindowBytes     = 256 << 10
	connectionWindowBytes = 256 << 20
)

// Connection is an authenticated connection to a peer.
type Connection = quic.Conn

// Stream is one bidirectional stream of a connection.
type Stream = quic.Stream

// Listener accepts connections from peers.
type Listener = quic.Listener

func transportConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: connectionWindowBytes,
		MaxConnectionReceiveWindow:     connectionWindowBytes,
	}
}

// Listen accepts connections on a UDP address.
func Listen(address string, config *tls.Config) (listener *Listener, err error) {
	listener, err = quic.ListenAddr(address, config, transportConfig())
	return listener, errors.Annotatef(err, "listening on %s", address)
}

// ListenOn accepts connections on a socket that is open already.
func ListenOn(socket net.PacketConn, config *tls.Config) (listener *Listener, err error) {
	listener, err = quic.Listen(socket, config, transportConfig())
	return listener, errors.Annotatef(err, "listening on %s", socket.LocalAddr())
}

// Dial connects to a peer's UDP address and returns once the handshake has ended.
func Dial(ctx context.Context, address string, config *tls.Config) (connection *Connection, err error) {
	connection, err = quic.DialAddr(ctx, address, config, transportConfig())
	return connection, errors.Annotatef(err, "dialling %s", address)
}

// Abort ends both directions of stream at once; what was sent so far may be lost.
func Abort(stream *Stream) {
	stream.CancelRead(0)
	stream.CancelWrite(0)
}
