package entry

import (
	"context"
	"sync/atomic"

	"cowslipway/core/state/request"
	"cowslipway/io/protocol/peer"
	"cowslipway/io/transport/quic"
)

const onlineConnections = 2

// connections are the QUIC connections from this entry to one target daemon. The streams of a connection share its
// congestion window, so batch requests use a separate one and do not delay online requests.
type connections struct {
	online [onlineConnections]*peer.Client
	batch  *peer.Client

	incarnation string // of the daemon, as in its handshake

	next atomic.Uint32 // number of times that clientFor has returned a client of online; these are used in turn
}

// dial opens all connections to the target daemon. If one fails, it closes the others and returns the error.
func (daemon *targetDaemon) dial(ctx context.Context) (opened *connections, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	opened = &connections{}
	for i := range opened.online {
		if opened.online[i], err = daemon.dialOne(ctx); err != nil {
			opened.close("")
			return nil, err
		}
	}
	if opened.batch, err = daemon.dialOne(ctx); err != nil {
		opened.close("")
		return nil, err
	}
	return opened, nil
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

// clientFor returns the client to use for a request of class.
func (conns *connections) clientFor(class request.Class) *peer.Client {
	if class == request.Batch {
		return conns.batch
	}
	return conns.online[conns.next.Add(1)%onlineConnections]
}

func (conns *connections) all() (clients []*peer.Client) {
	return append(conns.online[:], conns.batch)
}

// close closes all open connections, with reason as the message to the target daemon.
func (conns *connections) close(reason string) {
	for _, client := range conns.all() {
		if client != nil {
			_ = client.Connection.CloseWithError(0, reason)
		}
	}
}

// closeOnAnyEnd makes all connections end together: when one ends, it calls cancel, which must cancel ctx, and when ctx is
// done, it closes all of them.
func (conns *connections) closeOnAnyEnd(ctx context.Context, cancel context.CancelFunc) {
	for _, client := range conns.all() {
		stop := context.AfterFunc(client.Connection.Context(), cancel)
		context.AfterFunc(ctx, func() {
			stop()
			conns.close("")
		})
	}
}
