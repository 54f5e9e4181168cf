package store

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	directTimeout = 600 * time.Millisecond // of a call that can still go by a peer; a slow store takes 240 ms
	fallbackBase  = time.Second            // calls go by peers for this long after the first failure
	fallbackLimit = 4 * time.Second        // and for at most this long before the direct way is tried again
	askedPeers    = 4                      // before a call fails: some of them may be turned away too
)

// Call is a call to the service in a form that a peer can make in this process's place.
type Call struct {
	Name     string        `json:"name"`
	Key      string        `json:"key,omitempty"` // key or prefix
	After    string        `json:"after,omitempty"`
	Revision int64         `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"` // nanoseconds
	Txn      Txn           `json:"txn,omitzero"`
	TTL      time.Duration `json:"ttl,omitempty"` // nanoseconds
	Lease    int64         `json:"lease,omitempty"`
}

// Answer is the answer to a Call.
type Answer struct {
	Items    []Item `json:"items,omitempty"`
	More     bool   `json:"more,omitempty"`
	Found    bool   `json:"found,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Cause    string `json:"cause,omitempty"` // of the error; empty where there is none
	Error    string `json:"error,omitempty"`

	// Of news: how old it is, and for how long the question was held; both in nanoseconds.
	Age    time.Duration `json:"age,omitempty"`
	Waited time.Duration `json:"held,omitempty"`
}

// newsCall asks a peer for what it has read itself; the others ask it to call the service.
const newsCall = "news"

// causes are the errors that keep their meaning on the way between peers.
var causes = []errors.ConstError{ErrNotSent, ErrUnknown, ErrConflict, ErrCompacted, ErrNoLease}

// Relay is a Driver that goes by a peer where the service turns this process away and serves others.
type Relay struct {
	Direct           Driver
	CallPeer         func(ctx context.Context, call []byte) (answer []byte, err error) // asks a peer that is connected
	OnRelayingChange func(fallback bool)                                               // called when the way changes; may be nil
	Feed             *ChangeFeed                                                       // what this process has read, for peers; may be nil

	mutex    sync.Mutex
	failures int
	until    time.Time     // calls go by peers until then
	broken   chan struct{} // closed when the direct way fails, for the watches that wait on it
}

var _ Driver = (*Relay)(nil)

// Serve makes a call in a peer's place, directly.
func (relay *Relay) Serve(ctx context.Context, question []byte) (answer []byte) {
	var call Call
	var made Answer
	err := json.Unmarshal(question, &call)
	relay.mutex.Lock()
	fallback := relay.failures > 0
	relay.mutex.Unlock()
	switch {
	case err != nil:
		err = errors.WithType(err, ErrNotSent)
	case call.Name == newsCall && relay.Feed != nil:
		made, err = relay.Feed.read(ctx, call.Revision, call.Wait)
	case fallback:
		err = errors.Annotate(ErrNotSent, "this process goes by peers itself")
	default:
		made, err = perform(ctx, relay.Direct, call)
		relay.record(unreached(err))
	}
	if err != nil {
		made.Error, made.Cause = err.Error(), string(ErrUnknown)
		for _, cause := range causes {
			if errors.Is(err, cause) {
				made.Cause = string(cause)
				break
			}
		}
	}
	answer, err = json.Marshal(made)
	if err != nil {
		return nil // the peer takes it as a lost answer
	}
	return answer
}

// perform makes call with driver.
func perform(ctx context.Context, driver Driver, call Call) (answer Answer, err error) {
	switch call.Name {
	case "get":
		var item Item
		item, answer.Found, err = driver.Get(ctx, call.Key)
		answer.Items = []Item{item}
	case "list":
		answer.Items, answer.More, answer.Revision, err = driver.List(ctx, call.Key, call.After)
	case "watch":
		answer.Items, answer.Revision, err = driver.Watch(ctx, call.Key, call.Revision, call.Wait)
	case "commit":
		answer.Revision, answer.Items, err = driver.Commit(ctx, call.Txn)
	case "grant":
		answer.Lease, err = driver.GrantLease(ctx, call.TTL)
	case "keep":
		err = driver.KeepLease(ctx, call.Lease)
	case "end":
		err = driver.EndLease(ctx, call.Lease)
	default:
		err = errors.WithType(errors.Errorf("unknown call %q", call.Name), ErrNotSent)
	}
	return answer, err
}

// do makes call directly, or by a peer.
func (relay *Relay) do(ctx context.Context, call Call) (answer Answer, err error) {
	if direct, broken := relay.way(call); direct {
		answer, err = relay.perform(ctx, call, broken)
		if !unreached(err) || errors.Is(err, ErrUnknown) && call.Name == "commit" {
			return answer, err // a commit that may take effect is not made a second time without its owner knowing
		}
	}
	for range askedPeers {
		var askErr error
		answer, askErr = relay.ask(ctx, call)
		if askErr == nil || !errors.Is(askErr, ErrNotSent) {
			return answer, askErr
		}
		if err == nil {
			err = askErr // the direct way's error says more
		}
	}
	relay.endFallback()
	return answer, err
}

// endFallback lets the next call try the direct way, where peers are no better off.
func (relay *Relay) endFallback() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.until = time.Time{}
}

// unreached reports whether the service itself said nothing.
func unreached(err error) bool { return errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnknown) }

// way tells whether call may go directly. What waits long is no trial of a way that has failed: only a short call that
// succeeds brings the watches back.
func (relay *Relay) way(call Call) (direct bool, broken <-chan struct{}) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.broken == nil {
		relay.broken = make(chan struct{})
	}
	if call.Wait > 0 {
		return relay.failures == 0, relay.broken
	}
	return !time.Now().Before(relay.until), nil
}

// perform makes call directly. A watch ends when the direct way is found broken meanwhile.
func (relay *Relay) perform(ctx context.Context, call Call, broken <-chan struct{}) (answer Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+directTimeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	if broken != nil {
		go func() {
			select {
			case <-broken:
				cancel()
			case <-done:
			}
		}()
	}
	answer, err = perform(ctx, relay.Direct, call)
	select {
	case <-broken: // known already
	default:
		relay.record(unreached(err))
	}
	return answer, err
}

func (relay *Relay) record(failed bool) {
	relay.mutex.Lock()
	before := relay.failures
	if failed {
		if relay.failures++; relay.broken != nil {
			close(relay.broken)
			relay.broken = nil
		}
		relay.until = time.Now().Add(min(fallbackLimit, fallbackBase<<min(relay.failures-1, 8)))
	} else {
		relay.failures = 0
	}
	relay.mutex.Unlock()
	if relay.OnRelayingChange != nil && (before == 0) == failed {
		relay.OnRelayingChange(failed)
	}
}

func (relay *Relay) ask(ctx context.Context, call Call) (answer Answer, err error) {
	defer func() { err = errors.Annotate(err, "asking a peer") }()
	question, err := json.Marshal(call)
	if err != nil {
		return answer, errors.WithType(err, ErrNotSent)
	}
	data, err := relay.CallPeer(ctx, question)
	if err != nil {
		return answer, err
	}
	return decodeAnswer(data)
}

// decodeAnswer reads a peer's answer; its error is the one that the peer had.
func decodeAnswer(data []byte) (answer Answer, err error) {
	if err = json.Unmarshal(data, &answer); err != nil {
		return answer, errors.WithType(err, ErrUnknown)
	}
	for _, cause := range causes {
		if answer.Cause == string(cause) {
			return answer, errors.Annotate(cause, answer.Error)
		}
	}
	return answer, nil
}

// Get reads a key at the newest revision.
func (relay *Relay) Get(ctx context.Context, key string) (item Item, ok bool, err error) {
	answer, err := relay.do(ctx, Call{Name: "get", Key: key})
	if len(answer.Items) == 1 {
		item = answer.Items[0]
	}
	return item, answer.Found, err
}

// List reads one page of the keys below prefix that sort after the key after.
func (relay *Relay) List(ctx context.Context, prefix, after string) (items []Item, more bool, revision int64, err error) {
	answer, err := relay.do(ctx, Call{Name: "list", Key: prefix, After: after})
	return answer.Items, answer.More, answer.Revision, err
}

// Watch waits for changes below prefix since revision.
func (relay *Relay) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) (items []Item, current int64, err error) {
	answer, err := relay.do(ctx, Call{Name: "watch", Key: prefix, Revision: revision, Wait: wait})
	return answer.Items, answer.Revision, err
}

// Commit carries out txn.
func (relay *Relay) Commit(ctx context.Context, txn Txn) (revision int64, current []Item, err error) {
	answer, err := relay.do(ctx, Call{Name: "commit", Txn: txn})
	return answer.Revision, answer.Items, err
}

// GrantLease returns a new lease.
func (relay *Relay) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	answer, err := relay.do(ctx, Call{Name: "grant", TTL: ttl})
	return answer.Lease, err
}

// KeepLease renews a lease.
func (relay *Relay) KeepLease(ctx context.Context, lease int64) (err error) {
	_, err = relay.do(ctx, Call{Name: "keep", Lease: lease})
	return err
}

// EndLease ends a lease and removes its keys.
func (relay *Relay) EndLease(ctx context.Context, lease int64) (err error) {
	_, err = relay.do(ctx, Call{Name: "end", Lease: lease})
	return err
}
