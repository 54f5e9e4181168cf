package member

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"cowslipway/core/state/fleet"
	"cowslipway/io/store"
)

const (
	maxConcurrentCalls = 64              // calls from one peer that are served at once
	maxCallBytes       = 4 << 20         // size of a request or response; a record has up to 1 MB before it is encoded
	callTimeout        = 5 * time.Second // for serving a call; longer than any relayed watch takes
)

// CallAny makes a relayed call through a random connected member. The cause of its error is store.ErrNotExecuted if the call
// was certainly not executed, and store.ErrOutcomeUnknown otherwise.
func (mesh *Mesh) CallAny(ctx context.Context, request []byte) (response []byte, err error) {
	conn := mesh.randomPeer()
	if conn == nil {
		return nil, errors.Annotate(store.ErrNotExecuted, "no member is connected")
	}
	return call(ctx, conn, request)
}

// CallMember makes a relayed call through the given member. It returns the same errors as CallAny.
func (mesh *Mesh) CallMember(ctx context.Context, memberID string, request []byte) (response []byte, err error) {
	mesh.mutex.Lock()
	conn := mesh.conns[memberID]
	mesh.mutex.Unlock()
	if conn == nil {
		return nil, errors.Annotatef(store.ErrNotExecuted, "member %s is not connected", memberID)
	}
	return call(ctx, conn, request)
}

// call sends request on a new stream of conn and returns the response.
func call(ctx context.Context, conn *quic.Conn, request []byte) (response []byte, err error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.WithType(err, store.ErrNotExecuted)
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err = stream.Write(request); err == nil {
		err = stream.Close()
	}
	if err == nil {
		response, err = io.ReadAll(io.LimitReader(store.TrackProgress(ctx, stream), maxCallBytes))
	}
	if err != nil || len(response) == 0 {
		return nil, errors.Annotatef(store.ErrOutcomeUnknown, "the member's answer is lost: %v", err)
	}
	return response, nil
}

// randomPeer returns the connection to a random member that is neither a reporter nor shutting down, or nil if there is
// none.
func (mesh *Mesh) randomPeer() *quic.Conn {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var chosen *quic.Conn
	count := 0
	for memberID, conn := range mesh.conns {
		member := mesh.members[memberID]
		if member.Role == fleet.ReporterRole || member.Leaving {
			continue
		}
		if count++; rand.IntN(count) == 0 {
			chosen = conn
		}
	}
	return chosen
}

// serveCalls serves the calls that a peer makes on conn until the connection is closed.
func (mesh *Mesh) serveCalls(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(mesh.ctx)
		if err != nil {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(stream.Context(), callTimeout)
			defer cancel()
			request, err := io.ReadAll(io.LimitReader(stream, maxCallBytes))
			if err != nil || mesh.ServeCall == nil {
				stream.CancelWrite(0)
				return
			}
			// Write errors are ignored: a peer without a response treats the outcome as unknown.
			_, _ = stream.Write(mesh.ServeCall(ctx, request))
			_ = stream.Close()
		}()
	}
}
