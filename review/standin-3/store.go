package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in for the platform's metadata store (PROTOCOL, "The platform's metadata store").
type store struct {
	address string

	mutex    sync.Mutex
	revision int64
	items    map[string]*kvItem
	history  []event
	leases   map[int64]*lease
	changed  chan struct{}
	down     string // "", "silent", "busy" or "reset"
	restored chan struct{}
	lapse    bool // leases run out while the store is down
	commits  func(keys []string)
	next     int64
}

type kvItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_revision"`
	Lease    int64  `json:"lease"`
}

type event struct {
	revision int64
	item     *kvItem
	key      string // of a removal
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, items: map[string]*kvItem{}, leases: map[int64]*lease{}, changed: make(chan struct{}), next: 1000}
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s, nil
}

// setDown makes the store fail all calls in a way, or serve them again with "".
func (s *store) setDown(how string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if s.down == "" && how != "" {
		s.restored = make(chan struct{})
	}
	if s.down != "" && how == "" {
		close(s.restored)
		for _, l := range s.leases { // leases pause while the store is down
			l.ends = now.Add(l.ttl)
		}
	}
	s.down = how
}

func (s *store) expireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down != "" {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.wake()
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{revision: s.revision, key: key})
	}
}

func (s *store) put(key, value string, leaseID int64) {
	item := &kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if known, ok := s.items[key]; ok {
		item.Created = known.Created
	}
	s.items[key] = item
	s.history = append(s.history, event{revision: s.revision, item: item})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a write of the operator or of a server. It reports false while the store is down.
func (s *store) write(key string, value any) bool {
	data, _ := json.Marshal(value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down != "" {
		return false
	}
	s.revision++
	s.put(key, base64.StdEncoding.EncodeToString(data), 0)
	s.wake()
	return true
}

// erase removes a key, as the platform does with the entry of a server that is gone.
func (s *store) erase(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.remove(key)
		s.wake()
	}
}

// read returns the value of a key.
func (s *store) read(key string) (value []byte, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, ok := s.items[key]
	if !ok {
		return nil, false
	}
	value, _ = base64.StdEncoding.DecodeString(item.Value)
	return value, true
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	down, restored := s.down, s.restored
	s.mutex.Unlock()
	switch down {
	case "busy":
		reply(w, 503, map[string]string{})
		return
	case "reset":
		resetConn(w)
		return
	case "silent":
		select {
		case <-r.Context().Done():
		case <-restored:
		}
		resetConn(w) // a channel on which a response is lost returns nothing further
		return
	}
	time.Sleep(4 * time.Millisecond)
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.mutex.Lock()
		item, ok := s.items[r.URL.Query().Get("key")]
		revision := s.revision
		s.mutex.Unlock()
		if !ok {
			reply(w, 404, map[string]int64{"store_revision": revision})
			return
		}
		reply(w, 200, struct {
			*kvItem
			StoreRevision int64 `json:"store_revision"`
		}{item, revision})
	case path == "/api/kv-range":
		s.list(w, r)
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-txn":
		s.txn(w, r)
	case path == "/api/kv-lease":
		var ask struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&ask)
		s.mutex.Lock()
		s.next++
		id := s.next
		ttl := time.Duration(ask.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mutex.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttl_ms": ask.TTL})
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.mutex.Lock()
		l, ok := s.leases[id]
		if ok && strings.HasPrefix(path, "/api/kv-keep/") {
			l.ends = time.Now().Add(l.ttl)
		} else if ok {
			s.endLease(id)
		}
		s.mutex.Unlock()
		if !ok {
			reply(w, 404, map[string]string{})
			return
		}
		reply(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	default:
		reply(w, 404, map[string]string{})
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), query.Get("after")
	s.mutex.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, truncated, size := []*kvItem{}, false, 0
	for _, key := range keys {
		if len(items) == 500 || size > 1<<20 {
			truncated = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	revision := s.revision
	s.mutex.Unlock()
	reply(w, 200, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.revision <= after {
				continue
			}
			key := e.key
			if e.item != nil {
				key = e.item.Key
			}
			if !strings.HasPrefix(key, query.Get("prefix")) {
				continue
			}
			if e.item != nil {
				events = append(events, e.item)
			} else {
				events = append(events, map[string]any{"key": e.key, "revision": e.revision, "tombstone": true})
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mutex.Unlock()
		if down != "" {
			resetConn(w)
			return
		}
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		reply(w, 400, map[string]string{})
		return
	}
	s.mutex.Lock()
	current, held := []*kvItem{}, true
	for _, condition := range ask.Conditions {
		item := s.items[condition.Key]
		if item == nil {
			item = &kvItem{Key: condition.Key}
		}
		current = append(current, item)
		held = held && item.Revision == condition.Revision
	}
	if !held {
		s.mutex.Unlock()
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, put := range ask.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			s.mutex.Unlock()
			reply(w, 404, map[string]string{})
			return
		}
	}
	s.revision++
	var keys []string
	for _, put := range ask.Puts {
		s.put(put.Key, put.Value, put.Lease)
		keys = append(keys, put.Key)
	}
	for _, key := range ask.Remove {
		s.remove(key)
	}
	revision, notify := s.revision, s.commits
	s.wake()
	s.mutex.Unlock()
	if notify != nil {
		notify(keys)
	}
	reply(w, 200, map[string]int64{"revision": revision})
}

// resetConn ends the channel of a call with a reset.
func resetConn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
