package fakeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cowslipway/io/protocol/etcd"
)

const leaseCheckPeriod = 50 * time.Millisecond

// Fault is what the stand-in does wrong until it is told otherwise.
type Fault struct {
	Down          bool          `json:"down"`         // every call fails before it takes effect
	DropResponses bool          `json:"lose_answers"` // calls take effect, their answers are lost
	Delay         time.Duration `json:"delay"`        // nanoseconds before each call
}

// Server is the stand-in for the platform.
type Server struct {
	WritesPerSecond float64       // 0 sets no limit
	ReadsPerSecond  float64       // 0 sets no limit
	ListLag         time.Duration // by which the list of VMs trails the truth

	store  *store
	writes *rate.Limiter
	reads  *rate.Limiter

	mutex sync.Mutex
	fault Fault
	lists []datedList
	calls map[string]int64
}

type datedList struct {
	from time.Time
	vms  []etcd.VM
}

// Run expires leases until ctx ends.
func (server *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			server.store.mutex.Lock()
			server.store.expire(now)
			server.store.mutex.Unlock()
		}
	}
}

// Handler returns the HTTP interface of the stand-in.
func (server *Server) Handler() http.Handler {
	server.store = newStore()
	server.calls = map[string]int64{}
	server.writes = limiter(server.WritesPerSecond)
	server.reads = limiter(server.ReadsPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", serve(server, server.reads, server.store.read))
	mux.HandleFunc("POST /v3/kv/txn", serve(server, server.writes, server.store.txn))
	mux.HandleFunc("POST /v3/lease/grant", serve(server, server.writes, server.grantLease))
	mux.HandleFunc("POST /v3/lease/keepalive", serve(server, server.writes, server.keepLease))
	mux.HandleFunc("POST /v3/lease/revoke", serve(server, server.writes, server.revokeLease))
	mux.HandleFunc("POST /v3/watch", server.watch)
	mux.HandleFunc("GET /vms", server.listVMs)
	mux.HandleFunc("PUT /vms", server.setVMs)
	mux.HandleFunc("PUT /fault", server.putFault)
	mux.HandleFunc("GET /calls", server.countCalls)
	return mux
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFault changes what the stand-in does wrong from now on.
func (server *Server) SetFault(fault Fault) {
	server.mutex.Lock()
	server.fault = fault
	server.mutex.Unlock()
	server.store.changed.Broadcast()
}

// SetVMs changes the list of VMs; readers see it after ListLag.
func (server *Server) SetVMs(vms []etcd.VM) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.lists = append(server.lists, datedList{from: time.Now().Add(server.ListLag), vms: vms})
}

func (server *Server) begin(path string) Fault {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.calls[path]++
	return server.fault
}

func serve[Q, A any](server *Server, limiter *rate.Limiter, work func(Q) A) http.HandlerFunc {
	return func(writer http.ResponseWriter, call *http.Request) {
		fault := server.begin(call.URL.Path)
		time.Sleep(fault.Delay)
		if fault.Down {
			panic(http.ErrAbortHandler)
		}
		if !limiter.Allow() {
			http.Error(writer, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		var question Q
		if err := json.NewDecoder(call.Body).Decode(&question); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		server.store.mutex.Lock()
		answer := work(question)
		data, err := json.Marshal(answer)
		server.store.mutex.Unlock()
		if err != nil || fault.DropResponses {
			panic(http.ErrAbortHandler)
		}
		_, _ = writer.Write(data)
	}
}

func (server *Server) grantLease(question etcd.LeaseRequest) etcd.LeaseResponse {
	ttl := time.Duration(question.TTL) * time.Second
	return etcd.LeaseResponse{ID: server.store.grant(ttl, time.Now()), TTL: question.TTL}
}

func (server *Server) keepLease(question etcd.LeaseRequest) etcd.KeepAliveResponse {
	ttl := server.store.keepAlive(question.ID, time.Now())
	return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: question.ID, TTL: int64(ttl.Seconds())}}
}

func (server *Server) revokeLease(question etcd.LeaseRequest) etcd.LeaseResponse {
	server.store.revoke(question.ID)
	return etcd.LeaseResponse{ID: question.ID}
}

func (server *Server) down() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.fault.Down
}

func (server *Server) watch(writer http.ResponseWriter, call *http.Request) {
	if server.begin(call.URL.Path).Down {
		panic(http.ErrAbortHandler)
	}
	var question etcd.WatchRequest
	if err := json.NewDecoder(call.Body).Decode(&question); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	stop := context.AfterFunc(call.Context(), server.store.changed.Broadcast)
	defer stop()
	encoder, flusher := json.NewEncoder(writer), http.NewResponseController(writer)
	_ = encoder.Encode(etcd.WatchResponse{Result: etcd.WatchResult{Created: true}})
	_ = flusher.Flush()
	next := question.Create.StartRevision
	for {
		var events []etcd.Event
		server.store.mutex.Lock()
		for len(events) == 0 && call.Context().Err() == nil && !server.down() {
			events, next = server.store.since(next, question.Create)
			if len(events) == 0 {
				server.store.changed.Wait()
			}
		}
		server.store.mutex.Unlock()
		if call.Context().Err() != nil || server.down() {
			panic(http.ErrAbortHandler)
		}
		message := etcd.WatchResponse{Result: etcd.WatchResult{Events: events}}
		if encoder.Encode(message) != nil || flusher.Flush() != nil {
			return
		}
	}
}

func (server *Server) listVMs(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	vms := []etcd.VM{}
	for _, list := range server.lists {
		if !time.Now().Before(list.from) {
			vms = list.vms
		}
	}
	_ = json.NewEncoder(writer).Encode(vms)
}

func (server *Server) setVMs(writer http.ResponseWriter, call *http.Request) {
	var vms []etcd.VM
	if err := json.NewDecoder(call.Body).Decode(&vms); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.SetVMs(vms)
}

func (server *Server) putFault(writer http.ResponseWriter, call *http.Request) {
	var fault Fault
	if err := json.NewDecoder(call.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.SetFault(fault)
}

func (server *Server) countCalls(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(server.calls)
}
