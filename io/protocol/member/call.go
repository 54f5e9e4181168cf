package member

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"cowslipway/core/coordination/memorybudget"
	"cowslipway/core/state/fleet"
	"cowslipway/io/store"
)

const (
	maxConcurrentCalls = 64              // calls from one peer that are served at once
	maxCallBytes       = 4 << 20         // size of a request or response; a record has up to 1 MB before it is encoded
	callTimeout        = 5 * time.Second // for serving a call; longer than any relayed watch takes

	callBytes     = 16 << 10   // that a call takes besides its request
	requestCopies = 4          // of a request: as it is read, decoded, encoded for the service and sent
	readBytes     = 32 << 10   // first size of the buffer of a request
	noRoomCode    = 0x6e6f726d // error code of a stream whose call was not made, since there was no memory for it
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
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == noRoomCode {
		return nil, errors.Annotate(store.ErrNotExecuted, "the member has no memory for the call")
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
		go mesh.serveCall(stream)
	}
}

// serveCall serves one call of a peer, if there is memory for it.
func (mesh *Mesh) serveCall(stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(stream.Context(), callTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { stream.CancelRead(0) })() // a peer may stop within its request
	reservation, ok := mesh.CallMemory.Reserve(callBytes)
	if !ok {
		refuse(stream)
		return
	}
	defer reservation.Release()
	request, err := readRequest(stream, reservation)
	switch {
	case errors.Is(err, errNoRoom):
		refuse(stream)
	case err != nil || mesh.ServeCall == nil:
		stream.CancelWrite(0)
	default:
		// Write errors are ignored: a peer without a response treats the outcome as unknown.
		_, _ = stream.Write(mesh.ServeCall(ctx, request))
		_ = stream.Close()
	}
}

// refuse tells a peer that its call was not made.
func refuse(stream *quic.Stream) {
	stream.CancelRead(noRoomCode)
	stream.CancelWrite(noRoomCode)
}

const errNoRoom = errors.ConstError("no memory for the call")

// readRequest reads the request of a call, up to maxCallBytes, and reserves memory for it as it grows.
func readRequest(stream io.Reader, reservation *memorybudget.Reservation) (request []byte, err error) {
	for len(request) < maxCallBytes {
		if len(request) == cap(request) {
			size := max(readBytes, 2*cap(request))
			if !reservation.Resize(int64(callBytes + requestCopies*size)) {
				return nil, errNoRoom
			}
			request = append(make([]byte, 0, size), request...)
		}
		n, err := stream.Read(request[len(request):cap(request)])
		request = request[:len(request)+n]
		if errors.Is(err, io.EOF) {
			return request, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return request[:maxCallBytes], nil
}
