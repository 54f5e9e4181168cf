package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/retry"
)

// The causes of errors.
const (
	ErrNotSent   = errors.ConstError("store not reached")                         // the call certainly took no effect
	ErrUnknown   = errors.ConstError("store's answer lost")                       // the call may have taken effect, or may yet
	ErrConflict  = errors.ConstError("record was changed by another writer")      // nothing was changed
	ErrCompacted = errors.ConstError("store no longer has the changes asked for") // the keys have to be listed anew
	ErrNoLease   = errors.ConstError("lease has ended")
)

// Item is one key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64 // 0: none
	Deleted  bool  // a change that removed the key
}

// Condition holds while key was last changed at Revision; 0 says that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write puts a value under a key, bound to a lease unless that is 0.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction: all of it takes effect, or nothing where a condition does not hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Entries is the size of the transaction as the service counts it.
func (txn Txn) Entries() int { return len(txn.Conditions) + len(txn.Writes) + len(txn.Deletes) }

// MaxTxnEntries bounds a transaction; the platform's service takes no larger ones.
const MaxTxnEntries = 32

// Driver speaks one service's protocol. Its errors have one of the causes above.
type Driver interface {
	// Get reads a key at the newest revision.
	Get(ctx context.Context, key string) (item Item, ok bool, err error)
	// List reads one page of the keys below prefix that sort after the key after.
	List(ctx context.Context, prefix, after string) (items []Item, more bool, revision int64, err error)
	// Watch waits for changes below prefix since revision.
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) (items []Item, current int64, err error)
	// Commit carries out txn; an ErrConflict comes with the current items of its conditions.
	Commit(ctx context.Context, txn Txn) (revision int64, current []Item, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepLease(ctx context.Context, lease int64) (err error)
	EndLease(ctx context.Context, lease int64) (err error)
}

const (
	breakerFailures = 3                      // in a row that open the breaker
	breakerBase     = 100 * time.Millisecond // its first pause; a healthy call takes 4 ms
	breakerLimit    = 800 * time.Millisecond // its longest pause: half of what the shortest bound on configuration leaves
)

// Store is a Driver with a breaker: after a few failures in a row calls fail at once for a short, random time.
type Store struct {
	Driver               Driver
	Timeout              time.Duration                                      // of one call
	OnAvailabilityChange func(reachable bool)                               // called when the service is lost or regained; may be nil
	OnCall               func(name string, took time.Duration, cause error) // called after each call; may be nil

	mutex    sync.Mutex
	failures int
	opened   time.Time // calls fail at once until then
	lost     bool
}

// do makes one call under the breaker.
func (store *Store) do(ctx context.Context, name string, timeout time.Duration, call func(ctx context.Context) error) (err error) {
	defer func() { err = errors.Annotatef(err, "store call %s", name) }()
	store.mutex.Lock()
	open := time.Now().Before(store.opened)
	store.mutex.Unlock()
	if open {
		return errors.Annotate(ErrNotSent, "breaker is open")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	err = call(ctx)
	if store.OnCall != nil {
		store.OnCall(name, time.Since(began), err)
	}
	failed := errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnknown)
	store.record(failed)
	return err
}

func (store *Store) record(failed bool) {
	store.mutex.Lock()
	lost := store.lost
	if !failed {
		store.failures, store.lost = 0, false
	} else if store.failures++; store.failures >= breakerFailures {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		pause := breakerBase + retry.Backoff(random, breakerBase, breakerLimit, store.failures-breakerFailures+1)
		store.opened, store.lost = time.Now().Add(pause), true
	}
	changed, reachable := lost != store.lost, !store.lost
	store.mutex.Unlock()
	if changed && store.OnAvailabilityChange != nil {
		store.OnAvailabilityChange(reachable)
	}
}

// Get reads a key at the newest revision.
func (store *Store) Get(ctx context.Context, key string) (item Item, ok bool, err error) {
	err = store.do(ctx, "get", store.Timeout, func(ctx context.Context) (err error) {
		item, ok, err = store.Driver.Get(ctx, key)
		return err
	})
	return item, ok, err
}

// ListAll reads all keys below prefix. The pages are no snapshot: what changes meanwhile is seen by a watch
// from the returned revision on.
func (store *Store) ListAll(ctx context.Context, prefix string) (items []Item, revision int64, err error) {
	after, more := "", true
	for more {
		var page []Item
		var at int64
		err = store.do(ctx, "list", store.Timeout, func(ctx context.Context) (err error) {
			page, more, at, err = store.Driver.List(ctx, prefix, after)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = at
		}
		items = append(items, page...)
		if len(page) == 0 {
			break
		}
		after = page[len(page)-1].Key
	}
	return items, revision, nil
}

// Watch waits for changes below prefix since revision.
func (store *Store) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) (items []Item, current int64, err error) {
	err = store.do(ctx, "watch", wait+store.Timeout, func(ctx context.Context) (err error) {
		items, current, err = store.Driver.Watch(ctx, prefix, revision, wait)
		return err
	})
	return items, current, err
}

// Commit carries out txn once; an ErrConflict comes with the current items of its conditions.
func (store *Store) Commit(ctx context.Context, txn Txn) (revision int64, current []Item, err error) {
	err = store.do(ctx, "commit", store.Timeout, func(ctx context.Context) (err error) {
		revision, current, err = store.Driver.Commit(ctx, txn)
		return err
	})
	return revision, current, err
}

// GrantLease returns a new lease.
func (store *Store) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	err = store.do(ctx, "grant lease", store.Timeout, func(ctx context.Context) (err error) {
		lease, err = store.Driver.GrantLease(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepLease renews a lease; the cause ErrNoLease says that it has ended.
func (store *Store) KeepLease(ctx context.Context, lease int64) (err error) {
	return store.do(ctx, "keep lease", store.Timeout, func(ctx context.Context) error {
		return store.Driver.KeepLease(ctx, lease)
	})
}

// EndLease ends a lease and removes its keys.
func (store *Store) EndLease(ctx context.Context, lease int64) (err error) {
	return store.do(ctx, "end lease", store.Timeout, func(ctx context.Context) error {
		return store.Driver.EndLease(ctx, lease)
	})
}
