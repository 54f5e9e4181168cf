package store

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"cowslipway/core/coordination/retry"
)

// The causes of the errors of a Driver. Their texts are sent between peers in CallResponse.Cause and must not change.
const (
	ErrNotExecuted    = errors.ConstError("store not reached")                         // the call certainly had no effect
	ErrOutcomeUnknown = errors.ConstError("store's answer lost")                       // the call may have had its effect, or may still have it
	ErrConflict       = errors.ConstError("record was changed by another writer")      // the transaction changed nothing
	ErrCompacted      = errors.ConstError("store no longer has the changes asked for") // the keys have to be listed again
	ErrNoLease        = errors.ConstError("lease has ended")
)

// ErrRefused is a cause, beside ErrNotExecuted, of the error of a call that the store can be reached for and never executes.
const ErrRefused = errors.ConstError("store refuses the call")

// Item is a key with its value, or the removal of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64 // revision at which the key was created; 0 if that is not known
	Lease    int64 // 0: bound to no lease
	Deleted  bool  // the change removed the key
}

// Condition holds if Key was last changed at Revision, or, if Revision is 0, if Key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets the value of a key and binds the key to a lease unless Lease is 0. The key is removed when its lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction: if all conditions hold, all its writes and deletes take effect, otherwise none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Entries returns the size of the transaction as MaxTxnEntries counts it.
func (txn Txn) Entries() int { return len(txn.Conditions) + len(txn.Writes) + len(txn.Deletes) }

// firstKey returns the key of the first write, or of the first delete if there is no write.
func (txn Txn) firstKey() (key string) {
	switch {
	case len(txn.Writes) > 0:
		return txn.Writes[0].Key
	case len(txn.Deletes) > 0:
		return txn.Deletes[0]
	}
	return ""
}

// MaxTxnEntries is the largest number of entries in a transaction that the platform's service accepts.
const MaxTxnEntries = 32

// Driver is a client of one key-value service. Its errors have one of the causes above.
type Driver interface {
	// Get returns the current item under key; ok reports whether the key exists.
	Get(ctx context.Context, key string) (item Item, ok bool, err error)
	// List returns one page of the keys below prefix that sort after the key after. It reports whether there are more,
	// and the revision of the store at which it read the page.
	List(ctx context.Context, prefix, after string) (items []Item, more bool, revision int64, err error)
	// Watch returns the changes below prefix after revision, and the revision up to which they are complete. If there
	// are none, it waits for the first one for at most wait.
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) (items []Item, current int64, err error)
	// Commit executes txn and returns its revision. With ErrConflict it returns the current items under the keys of the
	// conditions.
	Commit(ctx context.Context, txn Txn) (revision int64, current []Item, err error)
	// GrantLease returns a new lease that lasts for ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepLease renews a lease; its error has the cause ErrNoLease if the lease has ended.
	KeepLease(ctx context.Context, lease int64) (err error)
	// RevokeLease revokes a lease, which removes its keys.
	RevokeLease(ctx context.Context, lease int64) (err error)
}

const (
	breakerFailures  = 3                      // consecutive failed calls that open the breaker
	baseBreakerDelay = 100 * time.Millisecond // shortest time for which the breaker stays open, and base of the backoff; a healthy call takes 4 ms
	// maxBreakerDelay is the longest backoff. It is half of the 1.6 s that remain for applying a configuration after the pace of
	// a Follower, 400 ms: the shortest limit for applying one is 2 s.
	maxBreakerDelay = 800 * time.Millisecond
	// maxCallTime limits a call whose response arrives slowly, beyond the wait of a watch. A link of 4 Mbit/s carries the largest
	// page, of 1 MB before it is encoded, in this time.
	maxCallTime = 3 * time.Second
)

// Store calls a Driver through a circuit breaker: after breakerFailures consecutive failures, calls fail immediately for
// a short, random time.
type Store struct {
	Driver  Driver
	Timeout time.Duration // of one call while no bytes of its response arrive, beyond the wait of a watch
	// OnAvailabilityChange is called when the breaker opens after a success, and when a call succeeds again. It may be nil.
	OnAvailabilityChange func(reachable bool)
	// OnCall is called after each call to Driver, with the key or prefix that it concerns, of a transaction with that of its first write
	// or delete. It may be nil.
	OnCall func(name, key string, took time.Duration, cause error)

	mutex       sync.Mutex
	failures    int       // consecutive
	openUntil   time.Time // calls fail immediately until then
	unavailable bool
}

// do makes one call through the circuit breaker. The response to a watch may wait for changes.
func (store *Store) do(ctx context.Context, name, key string, wait time.Duration, call func(ctx context.Context) error) (err error) {
	defer func() { err = errors.Annotatef(err, "store call %s", name) }()
	store.mutex.Lock()
	open := time.Now().Before(store.openUntil)
	store.mutex.Unlock()
	if open {
		return errors.Annotate(ErrNotExecuted, "breaker is open")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+maxCallTime)
	defer cancel()
	ctx, cancelStalled := withStallLimit(ctx, wait+store.Timeout)
	defer cancelStalled()
	started := time.Now()
	err = call(ctx)
	if store.OnCall != nil {
		store.OnCall(name, key, time.Since(started), err)
	}
	store.recordCall(isUnavailable(err))
	return err
}

// recordCall records the outcome of a call and opens the circuit breaker after breakerFailures consecutive failures.
func (store *Store) recordCall(failed bool) {
	store.mutex.Lock()
	unavailable := store.unavailable
	if !failed {
		store.failures, store.unavailable = 0, false
	} else if store.failures++; store.failures >= breakerFailures {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		pause := baseBreakerDelay + retry.Backoff(random, baseBreakerDelay, maxBreakerDelay, store.failures-breakerFailures+1)
		store.openUntil, store.unavailable = time.Now().Add(pause), true
	}
	changed, reachable := unavailable != store.unavailable, !store.unavailable
	store.mutex.Unlock()
	if changed && store.OnAvailabilityChange != nil {
		store.OnAvailabilityChange(reachable)
	}
}

// Get returns the current item under key; ok reports whether the key exists.
func (store *Store) Get(ctx context.Context, key string) (item Item, ok bool, err error) {
	err = store.do(ctx, "get", key, 0, func(ctx context.Context) (err error) {
		item, ok, err = store.Driver.Get(ctx, key)
		return err
	})
	return item, ok, err
}

// List returns one page of the keys below prefix that sort after the key after. It reports whether there are more, and the
// revision of the store at which it read the page.
func (store *Store) List(ctx context.Context, prefix, after string) (items []Item, more bool, revision int64, err error) {
	return store.list(ctx, "list", prefix, after)
}

// list makes a call of List under the given name.
func (store *Store) list(ctx context.Context, name, prefix, after string) (items []Item, more bool, revision int64, err error) {
	err = store.do(ctx, name, prefix, 0, func(ctx context.Context) (err error) {
		items, more, revision, err = store.Driver.List(ctx, prefix, after)
		return err
	})
	return items, more, revision, err
}

// ListAll returns all keys below prefix. It reads them in pages, which are not a consistent snapshot, but a watch from the
// returned revision on also returns the changes made between the pages.
func (store *Store) ListAll(ctx context.Context, prefix string) (items []Item, revision int64, err error) {
	after, more := "", true
	for more {
		var page []Item
		var pageRevision int64
		if page, more, pageRevision, err = store.List(ctx, prefix, after); err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = pageRevision
		}
		items = append(items, page...)
		if after, more = nextPage(after, page, more); !more {
			break
		}
	}
	return items, revision, nil
}

// nextPage returns the key after which the next page of a listing begins; more reports whether there is one. Keys that are not text come
// with replacement characters, which sort elsewhere: a listing that went on after such a key could leave out sound ones, or return to the
// same page for ever. Where a page has no other key, all keys are passed over that begin with the same text.
func nextPage(after string, page []Item, remaining bool) (next string, more bool) {
	if !remaining {
		return "", false
	}
	odd := ""
	for _, item := range page {
		if strings.ContainsRune(item.Key, utf8.RuneError) {
			odd = item.Key
		} else {
			next = max(next, item.Key)
		}
	}
	if next <= after && odd != "" {
		text, _, _ := strings.Cut(odd, string(utf8.RuneError))
		next = text + "\xff"
	}
	return next, next > after
}

// Revision returns the revision of the store. It reads an empty page of the keys below prefix, which must not contain a key
// that sorts after prefix and a tilde.
func (store *Store) Revision(ctx context.Context, prefix string) (revision int64, err error) {
	_, _, revision, err = store.list(ctx, "revision", prefix, prefix+"~")
	return revision, err
}

// Watch returns the changes below prefix after revision. It waits for the first one for at most wait.
func (store *Store) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) (items []Item, current int64, err error) {
	err = store.do(ctx, "watch", prefix, wait, func(ctx context.Context) (err error) {
		items, current, err = store.Driver.Watch(ctx, prefix, revision, wait)
		return err
	})
	return items, current, err
}

// Commit executes txn, without retries. With ErrConflict it returns the current items under the keys of the conditions.
func (store *Store) Commit(ctx context.Context, txn Txn) (revision int64, current []Item, err error) {
	err = store.do(ctx, "commit", txn.firstKey(), 0, func(ctx context.Context) (err error) {
		revision, current, err = store.Driver.Commit(ctx, txn)
		return err
	})
	return revision, current, err
}

// GrantLease returns a new lease that lasts for ttl unless it is renewed.
func (store *Store) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	err = store.do(ctx, "grant lease", "", 0, func(ctx context.Context) (err error) {
		lease, err = store.Driver.GrantLease(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepLease renews a lease; its error has the cause ErrNoLease if the lease has ended.
func (store *Store) KeepLease(ctx context.Context, lease int64) (err error) {
	return store.do(ctx, "keep lease", "", 0, func(ctx context.Context) error {
		return store.Driver.KeepLease(ctx, lease)
	})
}

// RevokeLease revokes a lease, which removes its keys.
func (store *Store) RevokeLease(ctx context.Context, lease int64) (err error) {
	return store.do(ctx, "end lease", "", 0, func(ctx context.Context) error {
		return store.Driver.RevokeLease(ctx, lease)
	})
}
