package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
)

// service is a Driver that may be silent, or refuse.
type service struct {
	Driver // panics where a test does not expect a call

	silent  bool
	refuses bool
	watched chan struct{} // a watch has begun
	keeps   int
}

func (service *service) answer(ctx context.Context) (err error) {
	if service.refuses {
		return ErrNotSent
	}
	if service.silent {
		<-ctx.Done()
		return errors.WithType(ctx.Err(), ErrUnknown)
	}
	return nil
}

func (service *service) KeepLease(ctx context.Context, _ int64) (err error) {
	service.keeps++
	return service.answer(ctx)
}

func (service *service) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (items []Item, current int64, err error) {
	if service.watched != nil {
		service.watched <- struct{}{}
	}
	return nil, 7, service.answer(ctx)
}

func (service *service) Commit(ctx context.Context, _ Txn) (revision int64, current []Item, err error) {
	return 0, nil, service.answer(ctx)
}

// byPeer connects relay to a peer whose way to the service is healthy.
func byPeer(relay *Relay, healthy Driver) (asked *atomic.Int32) {
	asked = new(atomic.Int32)
	peer := &Relay{Direct: healthy}
	relay.CallPeer = func(ctx context.Context, call []byte) (answer []byte, err error) {
		asked.Add(1)
		return peer.Serve(ctx, call), nil
	}
	return asked
}

// TestWatchLeavesASilentWay plays a service that stops answering this machine while a long watch waits: the short call
// that fails takes the watch with it, since an engine that leaves must be known within 2 s.
func TestWatchLeavesASilentWay(t *testing.T) {
	direct := &service{silent: true, watched: make(chan struct{})}
	relay := &Relay{Direct: direct}
	byPeer(relay, &service{})
	current := make(chan int64)
	go func() {
		_, revision, err := relay.Watch(t.Context(), "", 1, time.Hour)
		if err != nil {
			t.Errorf("the watch fails: %v", err)
		}
		current <- revision
	}()
	<-direct.watched
	if err := relay.KeepLease(t.Context(), 1); err != nil {
		t.Errorf("the lease is not kept: %v", err)
	}
	if revision := <-current; revision != 7 {
		t.Errorf("revision %d", revision)
	}
	// The next watch does not try the silent way.
	if _, _, err := relay.Watch(t.Context(), "", 1, time.Hour); err != nil {
		t.Error(err)
	}
}

func TestLostCommitStaysUnknown(t *testing.T) {
	relay := &Relay{Direct: &service{silent: true}}
	asked := byPeer(relay, &service{})
	if _, _, err := relay.Commit(t.Context(), Txn{}); !errors.Is(err, ErrUnknown) || asked.Load() != 0 {
		t.Errorf("%v, %d peers asked", err, asked.Load())
	}
	if _, _, err := relay.Commit(t.Context(), Txn{}); err != nil || asked.Load() != 1 {
		t.Errorf("sent again by its owner: %v, %d peers asked", err, asked.Load())
	}
}

// TestPeersDoNotGoInCircles plays two processes that the service both turns away.
func TestPeersDoNotGoInCircles(t *testing.T) {
	one, other := &Relay{Direct: &service{refuses: true}}, &Relay{Direct: &service{refuses: true}}
	asked := 0
	ask := func(peer *Relay) func(ctx context.Context, call []byte) (answer []byte, err error) {
		return func(ctx context.Context, call []byte) (answer []byte, err error) {
			asked++
			return peer.Serve(ctx, call), nil
		}
	}
	one.CallPeer, other.CallPeer = ask(other), ask(one)
	if err := one.KeepLease(t.Context(), 1); !errors.Is(err, ErrNotSent) || asked != askedPeers {
		t.Errorf("%v after %d questions", err, asked)
	}
	if keeps := other.Direct.(*service).keeps; keeps != 1 {
		t.Errorf("the peer tried %d times; it knew after the first that it is turned away", keeps)
	}
}
