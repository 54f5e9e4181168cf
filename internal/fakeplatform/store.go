package fakeplatform

import (
	"bytes"
	"sync"
	"time"

	"github.com/google/btree"

	"cowslipway/io/protocol/etcd"
)

const (
	treeDegree = 16
	maxEvents  = 1 << 16 // events retained for watches
)

// store holds the keys, leases and recent events of the key-value service. Callers of its methods hold mutex.
type store struct {
	mutex    sync.Mutex
	changed  *sync.Cond // signalled when a watch has to check again: keys or the fault changed, or its caller disconnected
	keys     *btree.BTreeG[etcd.KeyValue]
	revision int64
	events   []etcd.Event // newest events by ascending revision
	leases   map[int64]lease
	lastID   int64 // ID of the lease granted last
}

// lease is a lease that was granted and has not ended.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func newStore() *store {
	store := &store{
		keys:   btree.NewG(treeDegree, func(a, b etcd.KeyValue) bool { return bytes.Compare(a.Key, b.Key) < 0 }),
		leases: map[int64]lease{},
		lastID: time.Now().UnixNano(),
	}
	store.changed = sync.NewCond(&store.mutex)
	return store
}

func (store *store) header() etcd.ResponseHeader {
	return etcd.ResponseHeader{Revision: store.revision}
}

// read returns the key that a request names, or the keys in its range.
func (store *store) read(request etcd.RangeRequest) etcd.RangeResponse {
	response := etcd.RangeResponse{Header: store.header()}
	if len(request.RangeEnd) == 0 {
		if found, ok := store.keys.Get(etcd.KeyValue{Key: request.Key}); ok {
			response.KVs = append(response.KVs, found)
		}
		return response
	}
	store.ascend(request.Key, request.RangeEnd, func(kv etcd.KeyValue) bool {
		if request.Limit > 0 && int64(len(response.KVs)) == request.Limit {
			response.More = true
			return false
		}
		if request.KeysOnly {
			kv.Value = nil
		}
		response.KVs = append(response.KVs, kv)
		return true
	})
	return response
}

// ascend calls visit for the keys at or after from and before to, in ascending order, until visit returns false.
// As in etcd, the range has no upper end if to is one zero byte.
func (store *store) ascend(from, to []byte, visit func(etcd.KeyValue) bool) {
	if bytes.Equal(to, []byte{0}) {
		store.keys.AscendGreaterOrEqual(etcd.KeyValue{Key: from}, visit)
		return
	}
	store.keys.AscendRange(etcd.KeyValue{Key: from}, etcd.KeyValue{Key: to}, visit)
}

// txn executes a transaction. All of its writes get the same revision.
func (store *store) txn(request etcd.TxnRequest) etcd.TxnResponse {
	response := etcd.TxnResponse{Succeeded: true}
	for _, compare := range request.Compare {
		response.Succeeded = response.Succeeded && store.compareHolds(compare)
	}
	operations := request.Failure
	if response.Succeeded {
		operations = request.Success
	}
	revision := store.revision + 1
	for _, operation := range operations {
		response.Responses = append(response.Responses, store.apply(operation, revision))
	}
	response.Header = store.header()
	store.changed.Broadcast()
	return response
}

// compareHolds reports whether a key's version or revision equals, or is greater than, the expected one, as compare
// specifies.
func (store *store) compareHolds(compare etcd.Compare) bool {
	found, _ := store.keys.Get(etcd.KeyValue{Key: compare.Key})
	actual, expected := found.Version, compare.Version
	if compare.Target == "MOD" {
		actual, expected = found.ModRevision, compare.ModRevision
	}
	if compare.Result == "GREATER" {
		return actual > expected
	}
	return actual == expected
}

// apply executes one operation of a transaction. Only reads have a response.
func (store *store) apply(operation etcd.RequestOp, revision int64) (response etcd.ResponseOp) {
	switch {
	case operation.Put != nil:
		store.put(*operation.Put, revision)
	case operation.Delete != nil:
		store.delete(*operation.Delete, revision)
	case operation.Range != nil:
		found := store.read(*operation.Range)
		response.Range = &found
	}
	return response
}

// put writes a key at a revision.
func (store *store) put(put etcd.PutRequest, revision int64) {
	previous, _ := store.keys.Get(etcd.KeyValue{Key: put.Key})
	written := etcd.KeyValue{Key: put.Key, Value: put.Value, Lease: put.Lease, ModRevision: revision, Version: previous.Version + 1}
	store.keys.ReplaceOrInsert(written)
	store.appendEvent(etcd.Event{KV: written}, revision)
}

// delete removes a key, or the keys in a range, at a revision.
func (store *store) delete(request etcd.DeleteRangeRequest, revision int64) {
	var matching []etcd.KeyValue
	if len(request.RangeEnd) == 0 {
		if found, ok := store.keys.Get(etcd.KeyValue{Key: request.Key}); ok {
			matching = append(matching, found)
		}
	} else {
		store.ascend(request.Key, request.RangeEnd, func(kv etcd.KeyValue) bool {
			matching = append(matching, kv)
			return true
		})
	}
	for _, kv := range matching {
		store.keys.Delete(kv)
		store.appendEvent(etcd.Event{Type: "DELETE", KV: etcd.KeyValue{Key: kv.Key, ModRevision: revision}}, revision)
	}
}

// appendEvent stores an event for watches and sets the store's revision. Beyond maxEvents, it drops the older half.
func (store *store) appendEvent(event etcd.Event, revision int64) {
	store.revision = revision
	store.events = append(store.events, event)
	if len(store.events) > maxEvents {
		store.events = append([]etcd.Event(nil), store.events[maxEvents/2:]...)
	}
}

// grant adds a lease and returns its ID.
func (store *store) grant(ttl time.Duration, now time.Time) (id int64) {
	store.lastID++
	store.leases[store.lastID] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return store.lastID
}

// keepAlive renews a lease and returns its time to live, or 0 if the lease does not exist.
func (store *store) keepAlive(id int64, now time.Time) (ttl time.Duration) {
	existing, ok := store.leases[id]
	if !ok {
		return 0
	}
	existing.expiresAt = now.Add(existing.ttl)
	store.leases[id] = existing
	return existing.ttl
}

// revoke ends a lease and deletes the keys attached to it.
func (store *store) revoke(id int64) {
	delete(store.leases, id)
	var matching [][]byte
	store.keys.Ascend(func(kv etcd.KeyValue) bool {
		if kv.Lease == id {
			matching = append(matching, kv.Key)
		}
		return true
	})
	for _, key := range matching {
		store.delete(etcd.DeleteRangeRequest{Key: key}, store.revision+1)
	}
	store.changed.Broadcast()
}

// expire revokes the leases whose time to live has passed.
func (store *store) expire(now time.Time) {
	for id, existing := range store.leases {
		if now.After(existing.expiresAt) {
			store.revoke(id)
		}
	}
}

// eventsSince returns the retained events of a key range from revision on, and the revision to continue from.
// Unlike in etcd, dropped events are skipped without a compaction error.
func (store *store) eventsSince(revision int64, watch etcd.WatchCreateRequest) (events []etcd.Event, next int64) {
	first := len(store.events)
	for first > 0 && store.events[first-1].KV.ModRevision >= revision {
		first--
	}
	for _, event := range store.events[first:] {
		atOrAfterStart := bytes.Compare(event.KV.Key, watch.Key) >= 0
		beforeEnd := bytes.Compare(event.KV.Key, watch.RangeEnd) < 0 || bytes.Equal(watch.RangeEnd, []byte{0})
		if atOrAfterStart && beforeEnd {
			events = append(events, event)
		}
	}
	return events, store.revision + 1
}
