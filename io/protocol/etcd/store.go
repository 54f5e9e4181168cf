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

// Priority determines how much of the rate limit a call leaves to more important calls.
type Priority uint8

// The priorities.
const (
	ConfigurationCall Priority = iota // configuration, orders to targets, watches
	ClaimCall                         // claims of non-idempotent requests
	CommitCall                        // records of files, batch jobs and segments
	LeaseCall                         // leases and the keys bound to them
	OtherCall
	priorityCount
)

// reservedShare is the share of the burst that calls of each priority leave to more important calls.
var reservedShare = [priorityCount]float64{0, 0.1, 0.2, 0.05, 0.4}

const (
	callTimeout           = 2 * time.Second // includes the wait for the rate limit
	maxResponseBytes      = 64 << 20
	breakerFailures       = 3                      // consecutive failed calls that open the circuit breaker
	baseBreakerDelay      = 100 * time.Millisecond // shortest time for which the circuit breaker stays open, and base of the backoff
	maxBreakerDelay       = 2 * time.Second        // longest backoff
	defaultCallsPerSecond = 50
	watchRetryDelay       = 500 * time.Millisecond
)

// ErrNotExecuted is the cause of errors of calls that the service certainly did not execute.
const ErrNotExecuted = errors.ConstError("store call was not executed")

// ErrOutcomeUnknown is the cause of errors of calls without a valid response; the service may have executed them.
const ErrOutcomeUnknown = errors.ConstError("response of the store was lost")

// Store is a client of the key-value service with a limited rate of calls and a circuit breaker.
type Store struct {
	Address        string  // base URL
	CallsPerSecond float64 // rate limit of this client
	HTTP           *http.Client

	limiter   *rate.Limiter
	failures  atomic.Int32 // consecutive failed calls
	openUntil atomic.Int64 // Unix time in nanoseconds until which the circuit breaker is open
	calls     atomic.Int64
}

// NewStore returns a client of the service at the base URL address. If callsPerSecond is not positive, its rate limit is
// defaultCallsPerSecond.
func NewStore(address string, callsPerSecond float64) *Store {
	if callsPerSecond <= 0 {
		callsPerSecond = defaultCallsPerSecond
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

// Calls returns the number of calls sent to the service.
func (store *Store) Calls() int64 { return store.calls.Load() }

// Available reports whether the circuit breaker is closed.
func (store *Store) Available() bool { return time.Now().UnixNano() >= store.openUntil.Load() }

// admit waits until the rate limiter has a token for the call besides those that priority leaves to more important calls.
func (store *Store) admit(ctx context.Context, priority Priority) (err error) {
	if !store.Available() {
		return errors.Annotate(ErrNotExecuted, "circuit breaker is open")
	}
	reserved := reservedShare[priority] * float64(store.limiter.Burst())
	for store.limiter.Tokens() < reserved+1 {
		wait := time.Duration((reserved + 1 - store.limiter.Tokens()) / store.CallsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return errors.Annotate(ErrNotExecuted, "rate limit of store calls is exhausted")
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
	if err = store.limiter.Wait(ctx); err != nil {
		return errors.Annotate(ErrNotExecuted, "rate limit of store calls is exhausted")
	}
	return nil
}

// call makes one call and decodes the response into result. The cause of its error is ErrNotExecuted or ErrOutcomeUnknown.
func (store *Store) call(ctx context.Context, priority Priority, path string, message, result any) (err error) {
	defer func() { err = errors.Annotatef(err, "calling the store's %s", path) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err = store.admit(ctx, priority); err != nil {
		return err
	}
	store.calls.Add(1)
	response, err := store.post(ctx, path, message)
	if err != nil {
		store.recordFailure()
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil && response.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, result)
	} else if err == nil {
		err = errors.Errorf("status %d: %s", response.StatusCode, data)
	}
	if err != nil {
		store.recordFailure()
		if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable {
			return errors.WithType(err, ErrNotExecuted)
		}
		return errors.WithType(err, ErrOutcomeUnknown)
	}
	store.failures.Store(0)
	return nil
}

// post sends message as JSON and returns the response. The cause of its error is ErrNotExecuted or ErrOutcomeUnknown.
func (store *Store) post(ctx context.Context, path string, message any) (response *http.Response, err error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.WithType(err, ErrNotExecuted)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, store.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(err, ErrNotExecuted)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err = store.HTTP.Do(request)
	if err == nil {
		return response, nil
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return nil, errors.WithType(err, ErrNotExecuted)
	}
	return nil, errors.WithType(err, ErrOutcomeUnknown)
}

// recordFailure counts a failed call. From breakerFailures consecutive ones on, each opens the circuit breaker for a random
// time with exponential backoff.
func (store *Store) recordFailure() {
	failures := int(store.failures.Add(1))
	if failures < breakerFailures {
		return
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pause := baseBreakerDelay + retry.Backoff(random, baseBreakerDelay, maxBreakerDelay, failures-breakerFailures+1)
	store.openUntil.Store(time.Now().Add(pause).UnixNano())
}

// Get reads one key; ok reports whether it exists.
func (store *Store) Get(ctx context.Context, priority Priority, key string) (value KeyValue, ok bool, err error) {
	var response RangeResponse
	if err = store.call(ctx, priority, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &response); err != nil {
		return KeyValue{}, false, err
	}
	if len(response.KVs) == 0 {
		return KeyValue{}, false, nil
	}
	return response.KVs[0], true, nil
}

// List reads up to limit keys that start with prefix and, unless after is empty, sort after it. A limit of 0 means no limit.
func (store *Store) List(ctx context.Context, priority Priority, prefix, after string, limit int64, keysOnly bool) (response RangeResponse, err error) {
	request := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), Limit: limit, KeysOnly: keysOnly}
	if after != "" {
		request.Key = []byte(after + "\x00")
	}
	err = store.call(ctx, priority, "/v3/kv/range", request, &response)
	return response, err
}

// Txn executes a transaction.
func (store *Store) Txn(ctx context.Context, priority Priority, txn TxnRequest) (response TxnResponse, err error) {
	err = store.call(ctx, priority, "/v3/kv/txn", txn, &response)
	return response, err
}

// GrantLease returns the ID of a new lease that lasts for ttl, cut to whole seconds, unless it is renewed.
func (store *Store) GrantLease(ctx context.Context, ttl time.Duration) (id int64, err error) {
	var response LeaseResponse
	request := LeaseRequest{TTL: int64(ttl.Seconds())}
	err = store.call(ctx, LeaseCall, "/v3/lease/grant", request, &response)
	return response.ID, err
}

// KeepLease renews a lease; alive reports whether the lease still exists.
func (store *Store) KeepLease(ctx context.Context, id int64) (alive bool, err error) {
	var response KeepAliveResponse
	err = store.call(ctx, LeaseCall, "/v3/lease/keepalive", LeaseRequest{ID: id}, &response)
	return response.Result.TTL > 0, err
}

// RevokeLease revokes a lease, which deletes its keys.
func (store *Store) RevokeLease(ctx context.Context, id int64) (err error) {
	return store.call(ctx, LeaseCall, "/v3/lease/revoke", LeaseRequest{ID: id}, &LeaseResponse{})
}

// Watch calls handle with each batch of changes of keys that start with prefix, from revision on. It returns when ctx ends,
// the connection fails or the service cancels the watch. To resume, the caller lists the keys again and watches from the revision
// after the list's.
func (store *Store) Watch(ctx context.Context, prefix string, revision int64, handle func([]Event)) (err error) {
	defer func() { err = errors.Annotatef(err, "watching %q", prefix) }()
	if err = store.admit(ctx, ConfigurationCall); err != nil {
		return err
	}
	store.calls.Add(1)
	create := WatchCreateRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: revision}
	response, err := store.post(ctx, "/v3/watch", WatchRequest{Create: create})
	if err != nil {
		store.recordFailure()
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
		if message.Result.Canceled {
			return errors.New("the service canceled the watch")
		}
	}
}

// Follow watches the keys that start with prefix until ctx ends. It calls reset with all keys at the start and after each
// interruption of the watch, and change with the changes that follow.
func (store *Store) Follow(ctx context.Context, prefix string, reset func([]KeyValue), change func([]Event)) {
	for ctx.Err() == nil {
		response, err := store.List(ctx, ConfigurationCall, prefix, "", 0, false)
		if err == nil {
			reset(response.KVs)
			_ = store.Watch(ctx, prefix, response.Header.Revision+1, change)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}
