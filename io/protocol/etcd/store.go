package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"cowslipway/core/coordination/retry"
)

// Priority orders calls to the store by how badly they are needed.
type Priority uint8

// The priorities, the most needed first. A call may use the share of the budget that its priority leaves
// to those before it.
const (
	ConfigurationCall Priority = iota
	ClaimCall
	CommitCall
	LeaseCall
	OtherCall
	priorityCount
)

// reserve is the share of the burst that a priority leaves to those before it.
var reserve = [priorityCount]float64{0, 0.1, 0.2, 0.05, 0.4}

const (
	callTimeout        = 2 * time.Second
	maxAnswerBytes     = 64 << 20
	breakerFailures    = 3
	breakerBase        = 100 * time.Millisecond
	breakerLimit       = 2 * time.Second
	defaultCallsPerSec = 50
	watchRetry         = 500 * time.Millisecond
)

// ErrNotExecuted is the cause of errors of calls that certainly took no effect.
const ErrNotExecuted = errors.ConstError("store not reached")

// ErrUnknown is the cause of errors of calls whose answer was lost: they may have taken effect.
const ErrUnknown = errors.ConstError("store's answer lost")

// Store is a client of the key-value service with a budget of calls and a breaker.
type Store struct {
	Address        string  // base URL
	CallsPerSecond float64 // budget of this process
	HTTP           *http.Client

	limiter  *rate.Limiter
	failures atomic.Int32
	openedAt atomic.Int64 // Unix nanoseconds until which calls fail at once
	calls    atomic.Int64
}

// NewStore returns a client of the service at address.
func NewStore(address string, callsPerSecond float64) *Store {
	if callsPerSecond <= 0 {
		callsPerSecond = defaultCallsPerSec
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
	}
	return &Store{
		Address:        address,
		CallsPerSecond: callsPerSecond,
		HTTP:           &http.Client{Transport: transport},
		limiter:        rate.NewLimiter(rate.Limit(callsPerSecond), int(2*callsPerSecond)),
	}
}

// Calls returns the number of calls made.
func (store *Store) Calls() int64 { return store.calls.Load() }

// Available reports whether the breaker lets calls through.
func (store *Store) Available() bool { return time.Now().UnixNano() >= store.openedAt.Load() }

// admit waits for budget; only the more needed priorities may use up the last of the burst.
func (store *Store) admit(ctx context.Context, priority Priority) (err error) {
	if !store.Available() {
		return errors.Annotate(ErrNotExecuted, "breaker is open")
	}
	kept := reserve[priority] * float64(store.limiter.Burst())
	for store.limiter.Tokens() < kept+1 {
		wait := time.Duration((kept + 1 - store.limiter.Tokens()) / store.CallsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return errors.Annotate(ErrNotExecuted, "no budget in time")
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
	if err = store.limiter.Wait(ctx); err != nil {
		return errors.Annotate(ErrNotExecuted, "no budget in time")
	}
	return nil
}

// call makes one call; its error has the cause ErrNotSent or ErrUnknown.
func (store *Store) call(ctx context.Context, priority Priority, path string, question, answer any) (err error) {
	defer func() { err = errors.Annotatef(err, "calling the store's %s", path) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err = store.admit(ctx, priority); err != nil {
		return err
	}
	store.calls.Add(1)
	response, err := store.post(ctx, path, question)
	if err != nil {
		store.fail()
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && response.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, answer)
	} else if err == nil {
		err = errors.Errorf("status %d: %s", response.StatusCode, data)
	}
	if err != nil {
		store.fail()
		if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable {
			return errors.WithType(err, ErrNotExecuted)
		}
		return errors.WithType(err, ErrUnknown)
	}
	store.failures.Store(0)
	return nil
}

func (store *Store) post(ctx context.Context, path string, question any) (response *http.Response, err error) {
	body, err := json.Marshal(question)
	if err != nil {
		return nil, errors.WithType(err, ErrNotExecuted)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, store.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(err, ErrNotExecuted)
	}
	call.Header.Set("Content-Type", "application/json")
	response, err = store.HTTP.Do(call)
	if err == nil {
		return response, nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, errors.WithType(err, ErrNotExecuted)
	}
	return nil, errors.WithType(err, ErrUnknown)
}

// fail counts a failed call; a few in a row open the breaker for a random, growing time.
func (store *Store) fail() {
	failures := int(store.failures.Add(1))
	if failures < breakerFailures {
		return
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pause := breakerBase + retry.Backoff(random, breakerBase, breakerLimit, failures-breakerFailures+1)
	store.openedAt.Store(time.Now().Add(pause).UnixNano())
}

// Get reads one key; ok is false where it does not exist.
func (store *Store) Get(ctx context.Context, priority Priority, key string) (value KeyValue, ok bool, err error) {
	var answer RangeResponse
	if err = store.call(ctx, priority, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &answer); err != nil {
		return KeyValue{}, false, err
	}
	if len(answer.KVs) == 0 {
		return KeyValue{}, false, nil
	}
	return answer.KVs[0], true, nil
}

// List reads up to limit keys that begin with prefix and sort after the key after; 0 sets no limit.
func (store *Store) List(ctx context.Context, priority Priority, prefix, after string, limit int64, keysOnly bool) (answer RangeResponse, err error) {
	question := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), Limit: limit, KeysOnly: keysOnly}
	if after != "" {
		question.Key = []byte(after + "\x00")
	}
	err = store.call(ctx, priority, "/v3/kv/range", question, &answer)
	return answer, err
}

// Txn carries out one transaction.
func (store *Store) Txn(ctx context.Context, priority Priority, txn TxnRequest) (answer TxnResponse, err error) {
	err = store.call(ctx, priority, "/v3/kv/txn", txn, &answer)
	return answer, err
}

// GrantLease returns a new lease.
func (store *Store) GrantLease(ctx context.Context, ttl time.Duration) (id int64, err error) {
	var answer LeaseResponse
	question := LeaseRequest{TTL: int64(ttl.Seconds())}
	err = store.call(ctx, LeaseCall, "/v3/lease/grant", question, &answer)
	return answer.ID, err
}

// KeepLease renews a lease; it reports false for one that is gone.
func (store *Store) KeepLease(ctx context.Context, id int64) (alive bool, err error) {
	var answer KeepAliveResponse
	err = store.call(ctx, LeaseCall, "/v3/lease/keepalive", LeaseRequest{ID: id}, &answer)
	return answer.Result.TTL > 0, err
}

// RevokeLease ends a lease and deletes its keys.
func (store *Store) RevokeLease(ctx context.Context, id int64) (err error) {
	return store.call(ctx, LeaseCall, "/v3/lease/revoke", LeaseRequest{ID: id}, &LeaseResponse{})
}

// Watch calls handle with each batch of changes below prefix from revision on, until ctx ends or the
// connection breaks; the caller then reads anew and watches from there.
func (store *Store) Watch(ctx context.Context, prefix string, revision int64, handle func([]Event)) (err error) {
	defer func() { err = errors.Annotatef(err, "watching %q", prefix) }()
	if err = store.admit(ctx, ConfigurationCall); err != nil {
		return err
	}
	store.calls.Add(1)
	create := WatchCreateRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: revision}
	response, err := store.post(ctx, "/v3/watch", WatchRequest{Create: create})
	if err != nil {
		store.fail()
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var message WatchResponse
		if err = decoder.Decode(&message); err != nil {
			return err
		}
		if len(message.Result.Events) > 0 {
			handle(message.Result.Events)
		}
	}
}

// Follow keeps a view of the keys below prefix: reset is called with all of them at the start and after
// each break, change with what came since. It returns when ctx ends.
func (store *Store) Follow(ctx context.Context, prefix string, reset func([]KeyValue), change func([]Event)) {
	for ctx.Err() == nil {
		answer, err := store.List(ctx, ConfigurationCall, prefix, "", 0, false)
		if err == nil {
			reset(answer.KVs)
			_ = store.Watch(ctx, prefix, answer.Header.Revision+1, change)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}
