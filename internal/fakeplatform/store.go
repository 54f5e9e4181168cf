package fakeplatform

import (
	"bytes"
	"sync"
	"time"

	"github.com/google/btree"

	"cowslipway/io/protocol/etcd"
)

const (
	treeDegree    = 16
	eventsBacklog = 1 << 16
)

// store is the key-value service's state.
type store struct {
	mutex    sync.Mutex
	changed  *sync.Cond
	keys     *btree.BTreeG[etcd.KeyValue]
	revision int64
	events   []etcd.Event // the newest ones, in the order of their revisions
	leases   map[int64]lease
	nextID   int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *store {
	store := &store{
		keys:   btree.NewG(treeDegree, func(a, b etcd.KeyValue) bool { return bytes.Compare(a.Key, b.Key) < 0 }),
		leases: map[int64]lease{},
		nextID: time.Now().UnixNano(),
	}
	store.changed = sync.NewCond(&store.mutex)
	return store
}

func (store *store) header() etcd.ResponseHeader {
	return etcd.ResponseHeader{Revision: store.revision}
}

func (store *store) read(question etcd.RangeRequest) etcd.RangeResponse {
	answer := etcd.RangeResponse{Header: store.header()}
	if len(question.RangeEnd) == 0 {
		if found, ok := store.keys.Get(etcd.KeyValue{Key: question.Key}); ok {
			answer.KVs = append(answer.KVs, found)
		}
		return answer
	}
	store.ascend(question.Key, question.RangeEnd, func(kv etcd.KeyValue) bool {
		if question.Limit > 0 && int64(len(answer.KVs)) == question.Limit {
			answer.More = true
			return false
		}
		if question.KeysOnly {
			kv.Value = nil
		}
		answer.KVs = append(answer.KVs, kv)
		return true
	})
	return answer
}

func (store *store) ascend(from, to []byte, visit func(etcd.KeyValue) bool) {
	if bytes.Equal(to, []byte{0}) {
		store.keys.AscendGreaterOrEqual(etcd.KeyValue{Key: from}, visit)
		return
	}
	store.keys.AscendRange(etcd.KeyValue{Key: from}, etcd.KeyValue{Key: to}, visit)
}

func (store *store) txn(question etcd.TxnRequest) etcd.TxnResponse {
	answer := etcd.TxnResponse{Succeeded: true}
	for _, compare := range question.Compare {
		answer.Succeeded = answer.Succeeded && store.holds(compare)
	}
	operations := question.Failure
	if answer.Succeeded {
		operations = question.Success
	}
	revision := store.revision + 1
	for _, operation := range operations {
		answer.Responses = append(answer.Responses, store.apply(operation, revision))
	}
	answer.Header = store.header()
	store.changed.Broadcast()
	return answer
}

func (store *store) holds(compare etcd.Compare) bool {
	found, _ := store.keys.Get(etcd.KeyValue{Key: compare.Key})
	actual, wanted := found.Version, compare.Version
	if compare.Target == "MOD" {
		actual, wanted = found.ModRevision, compare.ModRevision
	}
	if compare.Result == "GREATER" {
		return actual > wanted
	}
	return actual == wanted
}

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

func (store *store) put(put etcd.PutRequest, revision int64) {
	old, _ := store.keys.Get(etcd.KeyValue{Key: put.Key})
	written := etcd.KeyValue{Key: put.Key, Value: put.Value, Lease: put.Lease, ModRevision: revision, Version: old.Version + 1}
	store.keys.ReplaceOrInsert(written)
	store.log(etcd.Event{KV: written}, revision)
}

func (store *store) delete(question etcd.DeleteRangeRequest, revision int64) {
	var doomed []etcd.KeyValue
	if len(question.RangeEnd) == 0 {
		if found, ok := store.keys.Get(etcd.KeyValue{Key: question.Key}); ok {
			doomed = append(doomed, found)
		}
	} else {
		store.ascend(question.Key, question.RangeEnd, func(kv etcd.KeyValue) bool {
			doomed = append(doomed, kv)
			return true
		})
	}
	for _, kv := range doomed {
		store.keys.Delete(kv)
		store.log(etcd.Event{Type: "DELETE", KV: etcd.KeyValue{Key: kv.Key, ModRevision: revision}}, revision)
	}
}

func (store *store) log(event etcd.Event, revision int64) {
	store.revision = revision
	store.events = append(store.events, event)
	if len(store.events) > eventsBacklog {
		store.events = append([]etcd.Event(nil), store.events[eventsBacklog/2:]...)
	}
}

func (store *store) grant(ttl time.Duration, now time.Time) (id int64) {
	store.nextID++
	store.leases[store.nextID] = lease{ttl: ttl, expires: now.Add(ttl)}
	return store.nextID
}

func (store *store) keepAlive(id int64, now time.Time) (ttl time.Duration) {
	held, ok := store.leases[id]
	if !ok {
		return 0
	}
	held.expires = now.Add(held.ttl)
	store.leases[id] = held
	return held.ttl
}

func (store *store) revoke(id int64) {
	delete(store.leases, id)
	var doomed [][]byte
	store.keys.Ascend(func(kv etcd.KeyValue) bool {
		if kv.Lease == id {
			doomed = append(doomed, kv.Key)
		}
		return true
	})
	for _, key := range doomed {
		store.delete(etcd.DeleteRangeRequest{Key: key}, store.revision+1)
	}
	store.changed.Broadcast()
}

func (store *store) expire(now time.Time) {
	for id, held := range store.leases {
		if now.After(held.expires) {
			store.revoke(id)
		}
	}
}

// since returns the events of a range from a revision on and the revision that follows them.
func (store *store) since(revision int64, create etcd.WatchCreateRequest) (events []etcd.Event, next int64) {
	first := len(store.events)
	for first > 0 && store.events[first-1].KV.ModRevision >= revision {
		first--
	}
	for _, event := range store.events[first:] {
		after := bytes.Compare(event.KV.Key, create.Key) >= 0
		before := bytes.Compare(event.KV.Key, create.RangeEnd) < 0 || bytes.Equal(create.RangeEnd, []byte{0})
		if after && before {
			events = append(events, event)
		}
	}
	return events, store.revision + 1
}
