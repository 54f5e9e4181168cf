package etcd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/request"
)

const (
	readBackAttempts = 4 // failed reads after which Commit returns ErrOutcomeUnknown
	readBackDelay    = 150 * time.Millisecond
)

// ErrConflict is the cause of errors of transactions that changed nothing because a condition did not hold.
const ErrConflict = errors.ConstError("record was changed by another writer")

// Record is the stored form of a value. It includes the ID of the write that stored it, by which a writer whose response was
// lost finds out whether the write took effect.
type Record[T any] struct {
	Operation string `json:"operation"`
	Value     T      `json:"value"`
}

// Versioned is a value read from the store, with the revision for a compare-and-swap and the ID of the write.
type Versioned[T any] struct {
	Value     T
	Revision  int64 // 0: the key does not exist
	Operation string
}

// NewOperation returns a new ID for a write.
func NewOperation() string { return request.NewID("op-") }

// Encode encodes value as a Record stored by the write with the ID operation.
func Encode[T any](operation string, value T) (data []byte, err error) {
	data, err = json.Marshal(Record[T]{Operation: operation, Value: value})
	return data, errors.Annotate(err, "encoding a record")
}

// DecodeRecord decodes the Record stored under a key.
func DecodeRecord[T any](kv KeyValue) (value Versioned[T], err error) {
	var record Record[T]
	if err = json.Unmarshal(kv.Value, &record); err != nil {
		return value, errors.Annotatef(err, "decoding the record at %q", kv.Key)
	}
	return Versioned[T]{Value: record.Value, Revision: kv.ModRevision, Operation: record.Operation}, nil
}

// Read reads and decodes the Record under key. The Revision of the result is 0 if the key does not exist.
func Read[T any](ctx context.Context, store *Store, priority Priority, key string) (value Versioned[T], err error) {
	kv, ok, err := store.Get(ctx, priority, key)
	if err != nil || !ok {
		return value, err
	}
	return DecodeRecord[T](kv)
}

// Unchanged returns the condition that key was last changed at revision or, if revision is 0, that it does not exist.
func Unchanged(key string, revision int64) Compare {
	if revision == 0 {
		return Absent(key)
	}
	return Compare{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: revision}
}

// Absent returns the condition that key does not exist.
func Absent(key string) Compare {
	return Compare{Result: "EQUAL", Target: "VERSION", Key: []byte(key)}
}

// Present returns the condition that key exists.
func Present(key string) Compare {
	return Compare{Result: "GREATER", Target: "VERSION", Key: []byte(key)}
}

// Put returns the operation that writes data under key.
func Put(key string, data []byte) RequestOp {
	return RequestOp{Put: &PutRequest{Key: []byte(key), Value: data}}
}

// Delete returns the operation that deletes key.
func Delete(key string) RequestOp {
	return RequestOp{Delete: &DeleteRangeRequest{Key: []byte(key)}}
}

// DeletePrefix returns the operation that deletes all keys that start with prefix.
func DeletePrefix(prefix string) RequestOp {
	return RequestOp{Delete: &DeleteRangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}}
}

// Commit executes txn and returns the revision of its writes. If the response is lost, Commit finds out whether txn took
// effect by reading key, under which txn must write a Record whose Operation is operation. The cause of its error is
// ErrConflict if a condition did not hold, ErrNotExecuted if txn was not executed, and ErrOutcomeUnknown if its outcome
// could not be determined.
func Commit(ctx context.Context, store *Store, priority Priority, txn TxnRequest, key, operation string) (revision int64, err error) {
	defer func() { err = errors.Annotatef(err, "committing %q", key) }()
	response, err := store.Txn(ctx, priority, txn)
	if err == nil && response.Succeeded {
		return response.Header.Revision, nil
	}
	if err == nil {
		return 0, ErrConflict
	}
	if !errors.Is(err, ErrOutcomeUnknown) {
		return 0, err
	}
	for range readBackAttempts {
		current, readErr := Read[json.RawMessage](ctx, store, priority, key)
		if readErr == nil && current.Operation == operation {
			return current.Revision, nil
		}
		if readErr == nil {
			return retryUnresolved(ctx, store, priority, txn, key, operation)
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(readBackDelay):
		}
	}
	return 0, err
}

// retryUnresolved sends txn again after its response was lost and a read did not find its writes. The first request may still
// arrive at the store; the conditions of txn let only one of the two take effect.
func retryUnresolved(ctx context.Context, store *Store, priority Priority, txn TxnRequest, key, operation string) (revision int64, err error) {
	response, err := store.Txn(ctx, priority, txn)
	if err != nil {
		// The cause of err is replaced: if the second request was not executed, the first one still may have been.
		return 0, errors.Annotate(ErrOutcomeUnknown, err.Error())
	}
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	current, err := Read[json.RawMessage](ctx, store, priority, key)
	if err != nil {
		return 0, errors.Annotate(ErrOutcomeUnknown, err.Error())
	}
	if current.Operation == operation {
		return current.Revision, nil
	}
	return 0, ErrConflict
}
