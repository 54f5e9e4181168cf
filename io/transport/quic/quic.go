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
	handshakeTimeout  = 3 * time.Second
	keepAliveInterval = time.Second
	idleTimeout       = 4 * time.Second

	maxIncomingStreams = 1 << 16

	// A peer that stops reading a stream uses up at most one stream window. The connection window is 1024 times as large, so
	// about a thousand streams may be blocked this way before they block all others.
	streamWindowBytes     = 256 << 10
	connectionWindowBytes = 256 << 20
)

// Connection is an authenticated connection to a peer.
type Connection = quic.Conn

// Stream is a bidirectional stream of a connection.
type Stream = quic.Stream

// Listener accepts connections from peers.
type Listener = quic.Listener

// quicConfig returns the configuration of both ends of a connection.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAliveInterval,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: connectionWindowBytes,
		MaxConnectionReceiveWindow:     connectionWindowBytes,
	}
}

// Listen returns a listener for connections on a UDP address.
func Listen(address string, config *tls.Config) (listener *Listener, err error) {
	listener, err = quic.ListenAddr(address, config, quicConfig())
	return listener, errors.Annotatef(err, "listening on %s", address)
}

// ListenOn returns a listener for connections on an open UDP socket.
func ListenOn(socket net.PacketConn, config *tls.Config) (listener *Listener, err error) {
	listener, err = quic.Listen(socket, config, quicConfig())
	return listener, errors.Annotatef(err, "listening on %s", socket.LocalAddr())
}

// Dial connects to a peer at a UDP address and returns after the handshake.
func Dial(ctx context.Context, address string, config *tls.Config) (connection *Connection, err error) {
	connection, err = quic.DialAddr(ctx, address, config, quicConfig())
	return connection, errors.Annotatef(err, "dialing %s", address)
}

// Abort ends both directions of stream immediately. Data that was written but not received may be lost.
func Abort(stream *Stream) {
	stream.CancelRead(0)
	stream.CancelWrite(0)
}
