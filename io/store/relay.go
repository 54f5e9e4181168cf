package store

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// directTimeout limits the time without progress of a direct call, beyond its Wait, so that time is left to relay it. A
	// slow store takes 240 ms.
	directTimeout = 600 * time.Millisecond
	baseRelayTime = time.Second     // calls are relayed for this long after the first failure of a direct call
	maxRelayTime  = 4 * time.Second // longest time for which calls are relayed before a direct call is tried again
	relayAttempts = 4               // calls to random peers before a call fails; the service may reject some of the peers too
)

// Call is a call to the service, encoded so that a peer can make it for this process.
type Call struct {
	Name     string        `json:"name"`
	Key      string        `json:"key,omitempty"` // key or prefix
	After    string        `json:"after,omitempty"`
	Revision int64         `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"` // nanoseconds
	Txn      Txn           `json:"txn,omitzero"`
	TTL      time.Duration `json:"ttl,omitempty"` // nanoseconds
	Lease    int64         `json:"lease,omitempty"`
	Dating   int64         `json:"dating,omitempty"` // of a feed call: CallResponse.Dating of the last response of the same peer, if it had one
}

// CallResponse is the result of a Call.
type CallResponse struct {
	Items    []Item `json:"items,omitempty"`
	More     bool   `json:"more,omitempty"`
	Found    bool   `json:"found,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Cause    string `json:"cause,omitempty"` // cause of the error, one of causes; empty if the call succeeded
	Error    string `json:"error,omitempty"`
	Refused  bool   `json:"refused,omitempty"` // the error has the cause ErrRefused too

	// Set for a feed call: the age of the change feed and the time spent waiting for changes, both in nanoseconds.
	Age    time.Duration `json:"age,omitempty"`
	Waited time.Duration `json:"held,omitempty"`
	// Dating changes when the change feed becomes more current.
	Dating int64 `json:"dating,omitempty"`
}

// feedCall is the Name of a call that reads the peer's change feed. A call with any other name makes the peer call
// the service.
const feedCall = "news"

// causes lists the errors that are recognized by errors.Is also after a CallResponse has passed them to a peer.
var causes = []errors.ConstError{ErrNotExecuted, ErrOutcomeUnknown, ErrConflict, ErrCompacted, ErrNoLease}

// Relay is a Driver that calls the service directly, and through peers while the service is unreachable from this
// process or rejects its calls.
type Relay struct {
	Direct Driver
	// CallPeer makes an encoded Call to any connected peer.
	CallPeer func(ctx context.Context, call []byte) (response []byte, err error)
	// OnRelayingChange is called when direct calls start to fail, and when one succeeds again. It may be nil.
	OnRelayingChange func(relaying bool)
	// Feed is the change feed that peers read. It may be nil.
	Feed *ChangeFeed

	mutex         sync.Mutex
	failures      int           // consecutive failures of direct calls
	relayingUntil time.Time     // calls other than watches are relayed until then
	directFailed  chan struct{} // closed when a direct call fails, to cancel the direct watches under way
}

var _ Driver = (*Relay)(nil)

// Serve carries out a peer's encoded Call and returns the encoded CallResponse. It calls the service only directly, so that
// calls are not passed from peer to peer.
func (relay *Relay) Serve(ctx context.Context, request []byte) (encoded []byte) {
	var call Call
	var response CallResponse
	err := json.Unmarshal(request, &call)
	relay.mutex.Lock()
	relaying := relay.failures > 0
	relay.mutex.Unlock()
	switch {
	case err != nil:
		err = errors.WithType(err, ErrNotExecuted)
	case call.Name == feedCall && relay.Feed != nil:
		response, err = relay.Feed.read(ctx, call.Revision, call.Dating, call.Wait)
	case relaying:
		err = errors.Annotate(ErrNotExecuted, "this process goes by peers itself")
	default:
		response, err = relay.callDirectly(ctx, call, nil)
	}
	if err != nil {
		response.Error, response.Cause, response.Refused = err.Error(), string(ErrOutcomeUnknown), errors.Is(err, ErrRefused)
		for _, cause := range causes {
			if errors.Is(err, cause) {
				response.Cause = string(cause)
				break
			}
		}
	}
	encoded, err = json.Marshal(response)
	if err != nil {
		return nil // the peer treats an empty response as ErrOutcomeUnknown
	}
	return encoded
}

// perform makes call through driver.
func perform(ctx context.Context, driver Driver, call Call) (response CallResponse, err error) {
	switch call.Name {
	case "get":
		var item Item
		item, response.Found, err = driver.Get(ctx, call.Key)
		response.Items = []Item{item}
	case "list":
		response.Items, response.More, response.Revision, err = driver.List(ctx, call.Key, call.After)
	case "watch":
		response.Items, response.Revision, err = driver.Watch(ctx, call.Key, call.Revision, call.Wait)
	case "commit":
		response.Revision, response.Items, err = driver.Commit(ctx, call.Txn)
	case "grant":
		response.Lease, err = driver.GrantLease(ctx, call.TTL)
	case "keep":
		err = driver.KeepLease(ctx, call.Lease)
	case "end":
		err = driver.RevokeLease(ctx, call.Lease)
	default:
		err = errors.WithType(errors.Errorf("unknown call %q", call.Name), ErrNotExecuted)
	}
	return response, err
}

// do makes call directly, or through a peer.
func (relay *Relay) do(ctx context.Context, call Call) (response CallResponse, err error) {
	if direct, directFailed := relay.mayCallDirectly(call); direct {
		response, err = relay.callDirectly(ctx, call, directFailed)
		if !isUnavailable(err) || errors.Is(err, ErrOutcomeUnknown) && call.Name == "commit" {
			return response, err // a commit that may have taken effect is not repeated; only its caller can decide to repeat it
		}
	}
	for range relayAttempts {
		var relayErr error
		response, relayErr = relay.relayCall(ctx, call)
		if relayErr == nil || !isUnavailable(relayErr) || !errors.Is(relayErr, ErrNotExecuted) {
			return response, relayErr
		}
		if err == nil {
			err = relayErr // the error of a direct call is preferred, as it is more specific
		}
	}
	relay.stopRelaying()
	return response, err
}

// stopRelaying makes the next call other than a watch a direct one. It is called when the service is unreachable from the
// peers too.
func (relay *Relay) stopRelaying() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.relayingUntil = time.Time{}
}

// isUnavailable reports whether err means that the service did not carry out the call, but might have done so, or that its response was
// lost.
func isUnavailable(err error) bool {
	if errors.Is(err, ErrRefused) {
		return false
	}
	return errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOutcomeUnknown)
}

// mayCallDirectly reports whether call may go to the service directly. For a watch, failed is closed when a direct call
// fails. A watch does not probe a service that has failed, since it waits too long: after a failure, watches are relayed
// until a call without Wait has succeeded directly.
func (relay *Relay) mayCallDirectly(call Call) (direct bool, failed <-chan struct{}) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.directFailed == nil {
		relay.directFailed = make(chan struct{})
	}
	if call.Wait > 0 {
		return relay.failures == 0, relay.directFailed
	}
	return !time.Now().Before(relay.relayingUntil), nil
}

// callDirectly makes call directly. It cancels the call when failed is closed: the service may have stopped answering
// the watch as well. A call that its caller gives up says nothing about the service.
func (relay *Relay) callDirectly(caller context.Context, call Call, failed <-chan struct{}) (response CallResponse, err error) {
	ctx, cancel := withStallLimit(caller, call.Wait+directTimeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	if failed != nil {
		go func() {
			select {
			case <-failed:
				cancel()
			case <-done:
			}
		}()
	}
	response, err = perform(ctx, relay.Direct, call)
	select {
	case <-failed: // the failure has already been recorded
	default:
		if !isUnavailable(err) || !errors.Is(caller.Err(), context.Canceled) {
			relay.recordDirect(isUnavailable(err))
		}
	}
	return response, err
}

// recordDirect records the outcome of a direct call. The time for which calls are relayed doubles with each consecutive
// failure, up to maxRelayTime.
func (relay *Relay) recordDirect(failed bool) {
	relay.mutex.Lock()
	before := relay.failures
	if failed {
		if relay.failures++; relay.directFailed != nil {
			close(relay.directFailed)
			relay.directFailed = nil
		}
		relay.relayingUntil = time.Now().Add(min(maxRelayTime, baseRelayTime<<min(relay.failures-1, 8)))
	} else {
		relay.failures = 0
	}
	relay.mutex.Unlock()
	if relay.OnRelayingChange != nil && (before == 0) == failed {
		relay.OnRelayingChange(failed)
	}
}

// relayCall makes call through a peer.
func (relay *Relay) relayCall(ctx context.Context, call Call) (response CallResponse, err error) {
	defer func() { err = errors.Annotate(err, "asking a peer") }()
	request, err := json.Marshal(call)
	if err != nil {
		return response, errors.WithType(err, ErrNotExecuted)
	}
	data, err := relay.CallPeer(ctx, request)
	if err != nil {
		return response, err
	}
	return decodeResponse(data)
}

// decodeResponse decodes a peer's response. If the peer's call failed, it returns an error with the same cause.
func decodeResponse(data []byte) (response CallResponse, err error) {
	if err = json.Unmarshal(data, &response); err != nil {
		return response, errors.WithType(err, ErrOutcomeUnknown)
	}
	for _, cause := range causes {
		if response.Cause != string(cause) {
			continue
		}
		if response.Refused {
			return response, errors.WithType(errors.Annotate(ErrRefused, response.Error), cause)
		}
		return response, errors.Annotate(cause, response.Error)
	}
	return response, nil
}

// Get returns the current item under key; ok reports whether the key exists.
func (relay *Relay) Get(ctx context.Context, key string) (item Item, ok bool, err error) {
	response, err := relay.do(ctx, Call{Name: "get", Key: key})
	if len(response.Items) == 1 {
		item = response.Items[0]
	}
	return item, response.Found, err
}

// List returns one page of the keys below prefix that sort after the key after.
func (relay *Relay) List(ctx context.Context, prefix, after string) (items []Item, more bool, revision int64, err error) {
	response, err := relay.do(ctx, Call{Name: "list", Key: prefix, After: after})
	return response.Items, response.More, response.Revision, err
}

// Watch returns the changes below prefix after revision. It waits for the first one for at most wait.
func (relay *Relay) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) (items []Item, current int64, err error) {
	response, err := relay.do(ctx, Call{Name: "watch", Key: prefix, Revision: revision, Wait: wait})
	return response.Items, response.Revision, err
}

// Commit executes txn.
func (relay *Relay) Commit(ctx context.Context, txn Txn) (revision int64, current []Item, err error) {
	response, err := relay.do(ctx, Call{Name: "commit", Txn: txn})
	return response.Revision, response.Items, err
}

// GrantLease returns a new lease that lasts for ttl unless it is renewed.
func (relay *Relay) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	response, err := relay.do(ctx, Call{Name: "grant", TTL: ttl})
	return response.Lease, err
}

// KeepLease renews a lease; its error has the cause ErrNoLease if the lease has ended.
func (relay *Relay) KeepLease(ctx context.Context, lease int64) (err error) {
	_, err = relay.do(ctx, Call{Name: "keep", Lease: lease})
	return err
}

// RevokeLease revokes a lease, which removes its keys.
func (relay *Relay) RevokeLease(ctx context.Context, lease int64) (err error) {
	_, err = relay.do(ctx, Call{Name: "end", Lease: lease})
	return err
}
