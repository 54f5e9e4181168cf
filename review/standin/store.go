package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, from the settings on the users' pages.
const (
	valueBytes    = 1048576
	maxTxnEntries = 32
	maxKeyBytes   = 200
	pageItems     = 500
	pageBytes     = 1 << 20
	minTTLMillis  = 1000
)

// entry is an item of the store in its JSON form, or a deletion in the history.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_revision"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// txn is a transaction in its JSON form.
type txn struct {
	Preconditions []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Puts   []entry  `json:"puts"`
	Remove []string `json:"remove"`
}

// store is a stand-in of the platform's store. Calls are linearizable, and what was acknowledged is kept.
type store struct {
	record  *record
	address string

	mutex    sync.Mutex
	entries  map[string]entry
	history  []entry
	revision int64
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}

	slow   time.Duration // time that each answer takes in addition
	down   bool          // calls are reset without being carried out; leases pause
	paused time.Time
	// loseLate decides, for a transaction, whether its answer is lost and it is carried out only after the returned time.
	loseLate func(caller string, request txn) (after time.Duration, lost bool)
	writes   int // transactions and grants of leases since the last call of countWrites
	lost     int // those of them that were not answered
}

func newStore(record *record, ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	created := &store{record: record, address: listener.Addr().String(), entries: map[string]entry{}, revision: 1, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, created) }()
	go created.expireLeases()
	return created, nil
}

// expireLeases removes leases that have ended, with their keys.
func (store *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		store.mutex.Lock()
		for id, lease := range store.leases {
			if !store.down && time.Now().After(lease.expires) {
				store.endLease(id)
			}
		}
		store.mutex.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds the mutex.
func (store *store) endLease(id int64) {
	delete(store.leases, id)
	for key, found := range store.entries {
		if found.Lease == id {
			store.remove(key)
			store.record.log("store: the lease %d has ended, %s is removed", id, key)
		}
	}
}

// set and remove change a key at a new revision. The caller holds the mutex.
func (store *store) set(changed entry) {
	changed.Revision, changed.Created = store.revision, store.revision
	if before, ok := store.entries[changed.Key]; ok {
		changed.Created = before.Created
	}
	store.entries[changed.Key] = changed
	store.append(changed)
}

func (store *store) remove(key string) {
	if _, ok := store.entries[key]; ok {
		store.revision++
		delete(store.entries, key)
		store.append(entry{Key: key, Revision: store.revision, Deleted: true})
	}
}

func (store *store) append(change entry) {
	store.history = append(store.history, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes a key as the operator and engines do.
func (store *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.set(entry{Key: key, Value: data})
}

// delete removes a key as the platform does.
func (store *store) delete(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.remove(key)
}

// keys returns the keys with a prefix, sorted.
func (store *store) keys(prefix string) (keys []string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.sortedKeys(prefix)
}

func (store *store) sortedKeys(prefix string) (keys []string) {
	for key := range store.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// setDown begins or ends an outage in which each call's connection is reset. Leases pause meanwhile.
func (store *store) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if down {
		store.paused = time.Now()
	} else {
		for _, lease := range store.leases {
			lease.expires = lease.expires.Add(time.Since(store.paused))
		}
	}
	store.down = down
}

// setSlow sets the time that each answer takes in addition.
func (store *store) setSlow(slow time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.slow = slow
}

// setLoseLate sets which transactions are done late and not answered.
func (store *store) setLoseLate(loseLate func(caller string, request txn) (time.Duration, bool)) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.loseLate, store.writes, store.lost = loseLate, 0, 0
}

// countWrites returns the writing calls since setLoseLate, and how many of them were not answered.
func (store *store) countWrites() (writes, lost int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.writes, store.lost
}

func hangUp(writer http.ResponseWriter) {
	if conn, _, err := writer.(http.Hijacker).Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	store.mutex.Lock()
	down := store.down
	store.mutex.Unlock()
	if down {
		hangUp(writer)
		return
	}
	status, answer := http.StatusNotFound, any(nil)
	path := request.URL.Path
	switch {
	case request.Method == http.MethodGet && path == "/api/kv-key":
		status, answer = store.get(request)
	case request.Method == http.MethodGet && path == "/api/kv-range":
		status, answer = store.list(request)
	case request.Method == http.MethodGet && path == "/api/kv-watch":
		status, answer = store.watch(request)
	case request.Method == http.MethodPost && path == "/api/kv-txn":
		var decoded txn
		if json.Unmarshal(body, &decoded) != nil {
			status = http.StatusBadRequest
			break
		}
		store.mutex.Lock()
		after, lost := time.Duration(0), false
		store.writes++
		if store.loseLate != nil {
			if after, lost = store.loseLate(request.RemoteAddr, decoded); lost {
				store.lost++
			}
		}
		store.mutex.Unlock()
		if lost { // nothing more is sent on this connection
			time.AfterFunc(after, func() {
				status, _ := store.commit(decoded)
				store.record.log("store: a write whose answer was lost is done late, status %d: %s", status, decoded.keys())
			})
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, answer = store.commit(decoded)
	case request.Method == http.MethodPost && path == "/api/kv-lease":
		status, answer = store.grant(body)
	case request.Method == http.MethodPost && strings.HasPrefix(path, "/api/kv-keep/"):
		status, answer = store.keep(path[len("/api/kv-keep/"):])
	case request.Method == http.MethodDelete && strings.HasPrefix(path, "/api/kv-lease-end/"):
		status, answer = store.end(path[len("/api/kv-lease-end/"):])
	}
	store.mutex.Lock()
	down = store.down
	store.mutex.Unlock()
	if down { // watches that waited are cut
		hangUp(writer)
		return
	}
	store.mutex.Lock()
	slow := store.slow
	store.mutex.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

func (request txn) keys() string {
	var keys []string
	for _, put := range request.Puts {
		keys = append(keys, put.Key)
	}
	return strings.Join(append(keys, request.Remove...), " ")
}

func (store *store) get(request *http.Request) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.entries[request.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, found
}

func (store *store) list(request *http.Request) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items, size, truncated := []entry{}, 0, false
	for _, key := range store.sortedKeys(request.URL.Query().Get("prefix")) {
		if key <= request.URL.Query().Get("after") {
			continue
		}
		if len(items) > 0 && (len(items) == pageItems || size+len(store.entries[key].Value) > pageBytes) {
			truncated = true
			break
		}
		size += len(store.entries[key].Value)
		items = append(items, store.entries[key])
	}
	return http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": store.revision}
}

func (store *store) watch(request *http.Request) (int, any) {
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		store.mutex.Lock()
		events, revision, changed, down := []entry{}, store.revision, store.changed, store.down
		first := sort.Search(len(store.history), func(i int) bool { return store.history[i].Revision > after })
		for _, change := range store.history[first:] {
			if strings.HasPrefix(change.Key, request.URL.Query().Get("prefix")) {
				events = append(events, change)
			}
		}
		store.mutex.Unlock()
		if len(events) > 0 || !waiting || down {
			return http.StatusOK, map[string]any{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-time.After(100 * time.Millisecond): // looks whether an outage has begun
		case <-request.Context().Done():
			waiting = false
		}
	}
}

// commit carries out a transaction, which is all or nothing.
func (store *store) commit(request txn) (int, any) {
	if len(request.Preconditions)+len(request.Puts)+len(request.Remove) > maxTxnEntries {
		return http.StatusBadRequest, nil
	}
	for _, put := range request.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if len(put.Key) > maxKeyBytes || len(put.Value) > valueBytes {
			store.record.logSome("store: status 400: the value of %s has %d bytes, %d are allowed", put.Key, len(put.Value), valueBytes)
			return http.StatusBadRequest, nil
		}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, holds := []entry{}, true
	for _, condition := range request.Preconditions {
		found, ok := store.entries[condition.Key]
		holds = holds && found.Revision == condition.Revision
		if ok {
			current = append(current, found)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range request.Puts {
		if put.Lease != 0 && store.leases[put.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	store.revision++
	for _, put := range request.Puts {
		store.set(entry{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range request.Remove {
		store.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": store.revision}
}

func (store *store) grant(body []byte) (int, any) {
	var wanted struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &wanted) != nil {
		return http.StatusBadRequest, nil
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.writes++
	store.lastID++
	ttl := time.Duration(max(minTTLMillis, wanted.TTL)) * time.Millisecond
	store.leases[store.lastID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": store.lastID, "ttl_ms": ttl.Milliseconds()}
}

func (store *store) keep(id string) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	number, _ := strconv.ParseInt(id, 10, 64)
	found := store.leases[number]
	if found == nil {
		return http.StatusNotFound, nil
	}
	found.expires = time.Now().Add(found.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": found.ttl.Milliseconds()}
}

func (store *store) end(id string) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	number, _ := strconv.ParseInt(id, 10, 64)
	if store.leases[number] == nil {
		return http.StatusNotFound, nil
	}
	store.endLease(number)
	return http.StatusOK, map[string]any{}
}
