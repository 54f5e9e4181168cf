package entry

import (
	"context"
	"sync/atomic"

	"cowslipway/core/state/request"
	"cowslipway/io/protocol/peer"
	"cowslipway/io/transport/quic"
)

const onlineConnections = 2

// connections are the connections to one daemon. Streams of one connection share its congestion window and its
// pacing, so batch work has a connection of its own and never holds up online work.
type connections struct {
	online [onlineConnections]*peer.Client
	batch  *peer.Client

	next atomic.Uint32
}

// dial opens all the connections to the daemon.
func (link *targetDaemon) dial(ctx context.Context) (opened *connections, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	opened = &connections{}
	for i := range opened.online {
		if opened.online[i], err = link.dialOne(ctx); err != nil {
			opened.close("")
			return nil, err
		}
	}
	if opened.batch, err = link.dialOne(ctx); err != nil {
		opened.close("")
		return nil, err
	}
	return opened, nil
}

func (link *targetDaemon) dialOne(ctx context.Context) (client *peer.Client, err error) {
	connection, err := quic.Dial(ctx, link.address, link.entry.TLS)
	if err != nil {
		return nil, err
	}
	return &peer.Client{Connection: connection}, nil
}

// controlConnection returns the connection that carries the controlConnection stream.
func (lanes *connections) controlConnection() *quic.Connection { return lanes.online[0].Connection }

// clientFor returns the client for a request clientFor class.
func (lanes *connections) clientFor(class request.Class) *peer.Client {
	if class == request.Batch {
		return lanes.batch
	}
	return lanes.online[lanes.next.Add(1)%onlineConnections]
}

func (lanes *connections) all() (clients []*peer.Client) {
	return append(lanes.online[:], lanes.batch)
}

func (lanes *connections) close(reason string) {
	for _, client := range lanes.all() {
		if client != nil {
			_ = client.Connection.CloseWithError(0, reason)
		}
	}
}

// closeOnAnyEnd ends the link when one of its connections has ended.
func (lanes *connections) closeOnAnyEnd(ctx context.Context, cancel context.CancelFunc) {
	for _, client := range lanes.all() {
		stop := context.AfterFunc(client.Connection.Context(), cancel)
		context.AfterFunc(ctx, func() {
			stop()
			lanes.close("")
		})
	}
}
