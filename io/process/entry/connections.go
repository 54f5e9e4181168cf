package entry

import (
	"context"
	"sync/atomic"

	"cowslipway/core/state/request"
	"cowslipway/io/protocol/peer"
	"cowslipway/io/transport/quic"
)

const onlineConnections = 2

// connections are the QUIC connections to one target daemon. The streams of a connection share its congestion window and
// pacing, so batch requests use a separate connection and do not delay online requests.
type connections struct {
	online [onlineConnections]*peer.Client
	batch  *peer.Client

	next atomic.Uint32 // counter for the round-robin choice among online
}

// dial opens all connections to the daemon. On an error none stays open.
func (daemon *targetDaemon) dial(ctx context.Context) (conns *connections, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conns = &connections{}
	for i := range conns.online {
		if conns.online[i], err = daemon.dialOne(ctx); err != nil {
			conns.close("")
			return nil, err
		}
	}
	if conns.batch, err = daemon.dialOne(ctx); err != nil {
		conns.close("")
		return nil, err
	}
	return conns, nil
}

func (daemon *targetDaemon) dialOne(ctx context.Context) (client *peer.Client, err error) {
	connection, err := quic.Dial(ctx, daemon.address, daemon.entry.TLS)
	if err != nil {
		return nil, err
	}
	return &peer.Client{Connection: connection}, nil
}

// controlConnection returns the connection that carries the control stream.
func (conns *connections) controlConnection() *quic.Connection { return conns.online[0].Connection }

// clientFor returns the client that sends requests of class.
func (conns *connections) clientFor(class request.Class) *peer.Client {
	if class == request.Batch {
		return conns.batch
	}
	return conns.online[conns.next.Add(1)%onlineConnections]
}

func (conns *connections) all() (clients []*peer.Client) {
	return append(conns.online[:], conns.batch)
}

// close closes all connections that are open and sends reason to the daemon.
func (conns *connections) close(reason string) {
	for _, client := range conns.all() {
		if client != nil {
			_ = client.Connection.CloseWithError(0, reason)
		}
	}
}

// closeOnAnyEnd calls cancel as soon as one connection ends and closes all connections once ctx is done. cancel must
// cancel ctx.
func (conns *connections) closeOnAnyEnd(ctx context.Context, cancel context.CancelFunc) {
	for _, client := range conns.all() {
		stop := context.AfterFunc(client.Connection.Context(), cancel)
		context.AfterFunc(ctx, func() {
			stop()
			conns.close("")
		})
	}
}
