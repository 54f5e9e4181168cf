package etcd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/request"
)

const (
	readBackAttempts = 4
	readBackPause    = 150 * time.Millisecond
)

// ErrConflict is the cause of errors of writes whose conditions did not hold: nothing was changed.
const ErrConflict = errors.ConstError("record was changed by another writer")

// Record is the form in which values lie in the store: with the identifier of the write that made them,
// so that a writer whose answer was lost can tell whether its write took effect.
type Record[T any] struct {
	Operation string `json:"operation"`
	Value     T      `json:"value"`
}

// Versioned is a value read from the store with the revision that a compare-and-swap needs.
type Versioned[T any] struct {
	Value     T
	Revision  int64 // 0 where the key does not exist
	Operation string
}

// NewOperation returns the identifier of one write.
func NewOperation() string { return request.NewID("op-") }

// Encode returns value as a record of operation.
func Encode[T any](operation string, value T) (data []byte, err error) {
	data, err = json.Marshal(Record[T]{Operation: operation, Value: value})
	return data, errors.Annotate(err, "encoding a record")
}

// DecodeRecord reads a key's record.
func DecodeRecord[T any](kv KeyValue) (value Versioned[T], err error) {
	var record Record[T]
	if err = json.Unmarshal(kv.Value, &record); err != nil {
		return value, errors.Annotatef(err, "decoding the record at %q", kv.Key)
	}
	return Versioned[T]{Value: record.Value, Revision: kv.ModRevision, Operation: record.Operation}, nil
}

// Read reads one record; its revision is 0 where the key does not exist.
func Read[T any](ctx context.Context, store *Store, priority Priority, key string) (value Versioned[T], err error) {
	kv, ok, err := store.Get(ctx, priority, key)
	if err != nil || !ok {
		return value, err
	}
	return DecodeRecord[T](kv)
}

// Unchanged is the condition that key still has revision; 0 says that it does not exist.
func Unchanged(key string, revision int64) Compare {
	if revision == 0 {
		return Absent(key)
	}
	return Compare{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: revision}
}

// Absent is the condition that key does not exist.
func Absent(key string) Compare {
	return Compare{Result: "EQUAL", Target: "VERSION", Key: []byte(key)}
}

// Present is the condition that key exists.
func Present(key string) Compare {
	return Compare{Result: "GREATER", Target: "VERSION", Key: []byte(key)}
}

// Put is the operation that writes data under key.
func Put(key string, data []byte) RequestOp {
	return RequestOp{Put: &PutRequest{Key: []byte(key), Value: data}}
}

// Delete is the operation that deletes key.
func Delete(key string) RequestOp {
	return RequestOp{Delete: &DeleteRangeRequest{Key: []byte(key)}}
}

// DeletePrefix is the operation that deletes the keys that begin with prefix.
func DeletePrefix(prefix string) RequestOp {
	return RequestOp{Delete: &DeleteRangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}}
}

// Commit carries out txn and returns the revision that it gave to what it wrote. It resolves a lost answer:
// witness is a key that txn writes with a record of operation. The error's cause is ErrConflict where nothing
// was changed, ErrNotSent where the store was not reached and ErrUnknown where it could not be resolved.
func Commit(ctx context.Context, store *Store, priority Priority, txn TxnRequest, witness, operation string) (revision int64, err error) {
	defer func() { err = errors.Annotatef(err, "committing %q", witness) }()
	answer, err := store.Txn(ctx, priority, txn)
	if err == nil && answer.Succeeded {
		return answer.Header.Revision, nil
	}
	if err == nil {
		return 0, ErrConflict
	}
	if !errors.Is(err, ErrUnknown) {
		return 0, err
	}
	for range readBackAttempts {
		current, readErr := Read[json.RawMessage](ctx, store, priority, witness)
		if readErr == nil && current.Operation == operation {
			return current.Revision, nil
		}
		if readErr == nil {
			return retryLost(ctx, store, priority, txn, witness, operation)
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(readBackPause):
		}
	}
	return 0, err
}

// retryLost sends txn again after a lost answer and a read that did not show it: the first may still be on
// its way, and its conditions let only one of the two take effect.
func retryLost(ctx context.Context, store *Store, priority Priority, txn TxnRequest, witness, operation string) (revision int64, err error) {
	answer, err := store.Txn(ctx, priority, txn)
	if err != nil {
		// Not err as it is: that the second call was not sent says nothing of the first.
		return 0, errors.Annotate(ErrUnknown, err.Error())
	}
	if answer.Succeeded {
		return answer.Header.Revision, nil
	}
	current, err := Read[json.RawMessage](ctx, store, priority, witness)
	if err != nil {
		return 0, errors.Annotate(ErrUnknown, err.Error())
	}
	if current.Operation == operation {
		return current.Revision, nil
	}
	return 0, ErrConflict
}
