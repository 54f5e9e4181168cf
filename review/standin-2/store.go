package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store, or its removal in the history.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"revision"`
	Created int64  `json:"create_revision"`
	Lease   int64  `json:"lease"`
}

type tombstone struct {
	Key     string `json:"key"`
	Rev     int64  `json:"revision"`
	Deleted bool   `json:"tombstone"`
}

type change struct {
	key  string
	rev  int64
	item *item // nil if the key was removed
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// bucket is a rate limit.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// store is the platform's metadata store, as PROTOCOL.md describes it: pages of 500 items or 1 MB, leases, 20 s of history, rates.
type store struct {
	addr   string
	answer atomic.Int64 // nanoseconds that an answer takes

	mu      sync.Mutex
	rev     int64
	items   map[string]*item
	history []change
	times   []time.Time // of the history
	dropped int64       // revision up to which there is no history
	leases  map[int64]*lease
	next    int64
	wake    chan struct{}
	writes  bucket
	reads   bucket
	onTxn   func(key string) // called after a write of a key, without the mutex
}

const (
	pageItems = 500
	pageBytes = 1 << 20
	answerMS  = 4
	history   = 20 * time.Second
)

func newStore() *store {
	now := time.Now()
	s := &store{rev: 1, items: map[string]*item{}, leases: map[int64]*lease{}, wake: make(chan struct{}), next: 100,
		writes: bucket{rate: 400, tokens: 400, at: now}, reads: bucket{rate: 2000, tokens: 2000, at: now}}
	s.answer.Store(int64(answerMS * time.Millisecond))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.addr = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
	for len(s.times) > 0 && now.Sub(s.times[0]) > history {
		s.dropped = s.history[0].rev
		s.history, s.times = s.history[1:], s.times[1:]
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	s.rev++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func (s *store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) record(c change) {
	s.history, s.times = append(s.history, c), append(s.times, time.Now())
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(change{key: key, rev: s.rev})
	}
}

func (s *store) set(key string, value []byte, leaseID int64) {
	it := &item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if old := s.items[key]; old != nil {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(change{key: key, rev: s.rev, item: it})
}

// put writes a key as the operator or an engine does.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data, 0)
	s.notify()
	return s.rev
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.Value
	}
	return nil
}

// sum returns the number and total size of the values below a prefix.
func (s *store) sum(prefix string) (count int, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			count, bytes = count+1, bytes+len(it.Value)
		}
	}
	return count, bytes
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, result := s.call(r, body)
	time.Sleep(time.Duration(s.answer.Load())) // the call is done at once, its answer takes its time
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(result)
	must(err)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) call(r *http.Request, body []byte) (status int, result any) {
	query, path := r.URL.Query(), r.URL.Path
	s.mu.Lock()
	now := time.Now()
	ok := true
	switch {
	case strings.HasPrefix(path, "/api/kv-keep/"), r.Method == http.MethodGet:
		ok = query.Get("stale_ok") == "1" || s.reads.take(now)
	default:
		ok = s.writes.take(now)
	}
	if !ok {
		s.mu.Unlock()
		return http.StatusTooManyRequests, nil
	}
	if path == "/api/kv-watch" {
		s.mu.Unlock()
		return s.watch(r)
	}
	defer s.mu.Unlock()
	switch {
	case path == "/api/kv-key":
		if it := s.items[query.Get("key")]; it != nil {
			return 200, struct {
				*item
				Store int64 `json:"store_revision"`
			}{it, s.rev}
		}
		return 404, nil
	case path == "/api/kv-range":
		return 200, s.page(query.Get("prefix"), query.Get("after"))
	case path == "/api/kv-txn":
		return s.txn(body)
	case path == "/api/kv-lease":
		var q struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &q) != nil {
			return 400, nil
		}
		s.next++
		ttl := time.Duration(max(1000, q.TTL)) * time.Millisecond
		s.leases[s.next] = &lease{ttl: ttl, end: now.Add(ttl)}
		return 200, map[string]int64{"lease": s.next, "ttl_ms": ttl.Milliseconds()}
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		if strings.HasPrefix(path, "/api/kv-keep/") {
			l.end = now.Add(l.ttl)
		} else {
			s.endLease(id)
		}
		return 200, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
	}
	return 404, nil
}

func (s *store) page(prefix, after string) any {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items     []*item `json:"items"`
		Truncated bool    `json:"truncated"`
		Store     int64   `json:"store_revision"`
	}{Items: []*item{}, Store: s.rev}
	size := 0
	for _, key := range keys {
		it := s.items[key]
		size += len(it.Value)
		if len(page.Items) == pageItems || size > pageBytes && len(page.Items) > 0 {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, it)
	}
	return page
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []any{}
		for _, c := range s.history {
			if c.rev <= after || !strings.HasPrefix(c.key, query.Get("prefix")) {
				continue
			}
			if c.item == nil {
				events = append(events, tombstone{Key: c.key, Rev: c.rev, Deleted: true})
			} else {
				events = append(events, c.item)
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		if len(events) > 0 || done {
			return 200, map[string]any{"events": events, "store_revision": rev}
		}
		select {
		case <-wake:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return 200, nil
		}
	}
}

func (s *store) txn(body []byte) (int, any) {
	var q struct {
		Conditions []struct {
			Key string `json:"key"`
			Rev int64  `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &q) != nil || len(q.Conditions)+len(q.Puts)+len(q.Remove) > 32 {
		return 400, nil
	}
	held := true
	current := []*item{}
	for _, c := range q.Conditions {
		rev := int64(0)
		if it := s.items[c.Key]; it != nil {
			rev = it.Rev
			current = append(current, it)
		} else {
			current = append(current, &item{Key: c.Key})
		}
		held = held && rev == c.Rev
	}
	if !held {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range q.Puts {
		switch {
		case len(p.Key) > 200 || len(p.Value) > 1<<20:
			return 413, nil
		case strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/"):
			return 403, nil
		case p.Lease != 0 && s.leases[p.Lease] == nil:
			return 404, nil
		}
	}
	s.rev++
	for _, p := range q.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range q.Remove {
		s.remove(key)
	}
	s.notify()
	if s.onTxn != nil {
		for _, p := range q.Puts {
			go s.onTxn(p.Key)
		}
	}
	return 200, map[string]int64{"revision": s.rev}
}
