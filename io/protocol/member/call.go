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
	maxCalls     = 64              // that a peer may have under way here
	maxCallBytes = 4 << 20         // a record has up to 1 MB, which its encoding makes larger
	callLimit    = 5 * time.Second // of a call made in a peer's place; a watch takes 2 s
)

// CallAny makes a store call by a random member that is connected. The cause of its error is store.ErrNotSent where the
// question has certainly not been carried out, and store.ErrUnknown otherwise.
func (mesh *Mesh) CallAny(ctx context.Context, question []byte) (answer []byte, err error) {
	link := mesh.randomPeer()
	if link == nil {
		return nil, errors.Annotate(store.ErrNotSent, "no member is connected")
	}
	return ask(ctx, link, question)
}

// CallMember makes a call to one member; its errors are those of Ask.
func (mesh *Mesh) CallMember(ctx context.Context, owner string, question []byte) (answer []byte, err error) {
	mesh.mutex.Lock()
	link := mesh.links[owner]
	mesh.mutex.Unlock()
	if link == nil {
		return nil, errors.Annotatef(store.ErrNotSent, "member %s is not connected", owner)
	}
	return ask(ctx, link, question)
}

func ask(ctx context.Context, link *quic.Conn, question []byte) (answer []byte, err error) {
	stream, err := link.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.WithType(err, store.ErrNotSent)
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err = stream.Write(question); err == nil {
		err = stream.Close()
	}
	if err == nil {
		answer, err = io.ReadAll(io.LimitReader(stream, maxCallBytes))
	}
	if err != nil || len(answer) == 0 {
		return nil, errors.Annotatef(store.ErrUnknown, "the member's answer is lost: %v", err)
	}
	return answer, nil
}

func (mesh *Mesh) randomPeer() *quic.Conn {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var chosen *quic.Conn
	count := 0
	for owner, link := range mesh.links {
		member := mesh.members[owner]
		if member.Role == fleet.ReporterRole || member.Leaving {
			continue
		}
		if count++; rand.IntN(count) == 0 {
			chosen = link
		}
	}
	return chosen
}

// answerCalls carries out the calls that a peer sends, until its connection ends.
func (mesh *Mesh) answerCalls(link *quic.Conn) {
	for {
		stream, err := link.AcceptStream(mesh.ctx)
		if err != nil {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(stream.Context(), callLimit)
			defer cancel()
			question, err := io.ReadAll(io.LimitReader(stream, maxCallBytes))
			if err != nil || mesh.ServeCall == nil {
				stream.CancelWrite(0)
				return
			}
			// A peer that is gone takes the answer as lost.
			_, _ = stream.Write(mesh.ServeCall(ctx, question))
			_ = stream.Close()
		}()
	}
}
