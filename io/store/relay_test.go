package store

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// faultyDriver is a Driver that can reject calls or leave them without a response.
type faultyDriver struct {
	Driver // nil, so that a call which the test does not expect panics

	hanging   bool          // calls get no response
	rejecting bool          // calls fail with ErrNotExecuted
	watched   chan struct{} // receives a value when a watch starts; may be nil
	keepCalls int           // calls of KeepLease
}

func (driver *faultyDriver) respond(ctx context.Context) (err error) {
	if driver.rejecting {
		return ErrNotExecuted
	}
	if driver.hanging {
		<-ctx.Done()
		return errors.WithType(ctx.Err(), ErrOutcomeUnknown)
	}
	return nil
}

func (driver *faultyDriver) KeepLease(ctx context.Context, _ int64) (err error) {
	driver.keepCalls++
	return driver.respond(ctx)
}

func (driver *faultyDriver) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (items []Item, current int64, err error) {
	if driver.watched != nil {
		driver.watched <- struct{}{}
	}
	return nil, 7, driver.respond(ctx)
}

func (driver *faultyDriver) Commit(ctx context.Context, _ Txn) (revision int64, current []Item, err error) {
	return 0, nil, driver.respond(ctx)
}

// relayThrough makes relay use a peer that calls the service through healthy. It returns the number of relayed calls.
func relayThrough(relay *Relay, healthy Driver) (relayed *atomic.Int32) {
	relayed = new(atomic.Int32)
	peer := &Relay{Direct: healthy}
	relay.CallPeer = func(ctx context.Context, call []byte) (response []byte, err error) {
		relayed.Add(1)
		return peer.Serve(ctx, call), nil
	}
	return relayed
}

// TestWatchIsRelayedAfterFailure guards against a long watch that keeps waiting for a service which no longer answers this
// VM. The first short call that fails must cancel the watch, since all processes must know within 2 s that an engine is
// draining.
func TestWatchIsRelayedAfterFailure(t *testing.T) {
	direct := &faultyDriver{hanging: true, watched: make(chan struct{})}
	relay := &Relay{Direct: direct}
	relayThrough(relay, &faultyDriver{})
	current := make(chan int64)
	go func() {
		_, revision, err := relay.Watch(t.Context(), "", 1, time.Hour)
		if err != nil {
			t.Errorf("watch failed: %v", err)
		}
		current <- revision
	}()
	<-direct.watched
	if err := relay.KeepLease(t.Context(), 1); err != nil {
		t.Errorf("lease was not renewed: %v", err)
	}
	if revision := <-current; revision != 7 {
		t.Errorf("watch returned revision %d", revision)
	}
	// The next watch must be relayed: a direct one would hang.
	if _, _, err := relay.Watch(t.Context(), "", 1, time.Hour); err != nil {
		t.Error(err)
	}
}

// TestLostCommitIsNotRepeated guards against a commit that takes effect twice: the relay must not repeat a commit whose
// outcome is unknown.
func TestLostCommitIsNotRepeated(t *testing.T) {
	relay := &Relay{Direct: &faultyDriver{hanging: true}}
	relayed := relayThrough(relay, &faultyDriver{})
	if _, _, err := relay.Commit(t.Context(), Txn{}); !errors.Is(err, ErrOutcomeUnknown) || relayed.Load() != 0 {
		t.Errorf("error %v, %d relayed calls", err, relayed.Load())
	}
	if _, _, err := relay.Commit(t.Context(), Txn{}); err != nil || relayed.Load() != 1 {
		t.Errorf("second commit by the caller: error %v, %d relayed calls", err, relayed.Load())
	}
}

// TestRelayedCallsDoNotLoop guards against endless relaying between two processes when the service rejects the calls of both.
func TestRelayedCallsDoNotLoop(t *testing.T) {
	first, second := &Relay{Direct: &faultyDriver{rejecting: true}}, &Relay{Direct: &faultyDriver{rejecting: true}}
	relayed := 0
	relayTo := func(peer *Relay) func(ctx context.Context, call []byte) (response []byte, err error) {
		return func(ctx context.Context, call []byte) (response []byte, err error) {
			relayed++
			return peer.Serve(ctx, call), nil
		}
	}
	first.CallPeer, second.CallPeer = relayTo(second), relayTo(first)
	if err := first.KeepLease(t.Context(), 1); !errors.Is(err, ErrNotExecuted) || relayed != relayAttempts {
		t.Errorf("error %v after %d relayed calls", err, relayed)
	}
	if calls := second.Direct.(*faultyDriver).keepCalls; calls != 1 {
		t.Errorf("peer made %d direct calls, want 1: its first call was rejected", calls)
	}
}

// TestGivenUpCallIsNoFailure guards against a process that takes the service for unreachable, and no longer calls it directly, since a
// peer gave up a call that it relayed for it.
func TestGivenUpCallIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := &Relay{Direct: &faultyDriver{hanging: true}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		time.AfterFunc(100*time.Millisecond, cancel)
		relay.Serve(ctx, []byte(`{"name":"keep"}`))
		if direct, _ := relay.mayCallDirectly(Call{Wait: time.Second}); !direct {
			t.Error("the call counts as a failure of the service")
		}
	})
}

// refusingDriver is a Driver whose service refuses all transactions for what they hold.
type refusingDriver struct {
	Driver

	commits int
}

func (driver *refusingDriver) Commit(context.Context, Txn) (revision int64, current []Item, err error) {
	driver.commits++
	return 0, nil, errors.WithType(errors.WithType(errors.New("status 400"), ErrRefused), ErrNotExecuted)
}

// TestRefusalIsRelayed guards against transactions that are sent again and again through peers, although the service refuses them for what they hold.
func TestRefusalIsRelayed(t *testing.T) {
	refusing := &refusingDriver{}
	peer := &Relay{Direct: refusing}
	relay := &Relay{Direct: &faultyDriver{rejecting: true}, CallPeer: func(ctx context.Context, call []byte) (response []byte, err error) { return peer.Serve(ctx, call), nil }}
	_, _, err := relay.Commit(t.Context(), Txn{Writes: []Write{{Key: "k"}}})
	if !errors.Is(err, ErrRefused) || !errors.Is(err, ErrNotExecuted) || refusing.commits != 1 {
		t.Errorf("the error after %d calls to the service is %v, want ErrRefused after one", refusing.commits, err)
	}
}
