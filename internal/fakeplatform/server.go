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

const leaseCheckInterval = 50 * time.Millisecond

// Fault describes how the key-value service misbehaves. The zero value describes a service without faults.
// The list of VMs is not affected.
type Fault struct {
	Down          bool          `json:"down"`         // cut the connection of every store call before the call takes effect
	DropResponses bool          `json:"lose_answers"` // cut the connection of every store call except watches after the call took effect
	Delay         time.Duration `json:"delay"`        // added before every store call except watches; nanoseconds in JSON
}

// Server simulates the platform. Handler initialises it and must be called before the other methods.
type Server struct {
	WritesPerSecond float64       // rate limit of transactions and lease calls; 0 sets none
	ReadsPerSecond  float64       // rate limit of range calls; 0 sets none
	ListLag         time.Duration // delay until a change of the VM list is visible

	store  *store
	writes *rate.Limiter
	reads  *rate.Limiter

	mutex   sync.Mutex
	fault   Fault
	vmLists []scheduledVMList
	calls   map[string]int64 // number of calls by path
}

// scheduledVMList is a list of VMs that replaces the earlier ones at a given time.
type scheduledVMList struct {
	visibleFrom time.Time
	vms         []etcd.VM
}

// Run expires leases until ctx ends.
func (server *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
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

// Handler initialises the server with an empty store and returns its HTTP interface.
func (server *Server) Handler() http.Handler {
	server.store = newStore()
	server.calls = map[string]int64{}
	server.writes = limiter(server.WritesPerSecond)
	server.reads = limiter(server.ReadsPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handle(server, server.reads, server.store.read))
	mux.HandleFunc("POST /v3/kv/txn", handle(server, server.writes, server.store.txn))
	mux.HandleFunc("POST /v3/lease/grant", handle(server, server.writes, server.grantLease))
	mux.HandleFunc("POST /v3/lease/keepalive", handle(server, server.writes, server.keepLeaseAlive))
	mux.HandleFunc("POST /v3/lease/revoke", handle(server, server.writes, server.revokeLease))
	mux.HandleFunc("POST /v3/watch", server.handleWatch)
	mux.HandleFunc("GET /vms", server.handleListVMs)
	mux.HandleFunc("PUT /vms", server.handleSetVMs)
	mux.HandleFunc("PUT /fault", server.handleSetFault)
	mux.HandleFunc("GET /calls", server.handleCallCounts)
	return mux
}

// limiter returns a rate limiter whose burst is one second's worth of calls. A rate of 0 sets no limit.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFault replaces the current fault. Open watches end if the new fault has Down set.
func (server *Server) SetFault(fault Fault) {
	server.mutex.Lock()
	server.fault = fault
	server.mutex.Unlock()
	server.store.changed.Broadcast()
}

// SetVMs replaces the list of VMs. The change becomes visible after ListLag.
func (server *Server) SetVMs(vms []etcd.VM) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.vmLists = append(server.vmLists, scheduledVMList{visibleFrom: time.Now().Add(server.ListLag), vms: vms})
}

// countCall counts a call of path and returns the current fault.
func (server *Server) countCall(path string) Fault {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.calls[path]++
	return server.fault
}

// handle returns a handler that decodes a request, calls operation with the store's mutex held and encodes its response.
// It applies the current fault and the rate limit.
func handle[Q, R any](server *Server, limiter *rate.Limiter, operation func(Q) R) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		fault := server.countCall(request.URL.Path)
		time.Sleep(fault.Delay)
		if fault.Down {
			panic(http.ErrAbortHandler)
		}
		if !limiter.Allow() {
			http.Error(writer, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		var decoded Q
		if err := json.NewDecoder(request.Body).Decode(&decoded); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		server.store.mutex.Lock()
		response := operation(decoded)
		data, err := json.Marshal(response)
		server.store.mutex.Unlock()
		if err != nil || fault.DropResponses {
			panic(http.ErrAbortHandler)
		}
		_, _ = writer.Write(data)
	}
}

func (server *Server) grantLease(request etcd.LeaseRequest) etcd.LeaseResponse {
	ttl := time.Duration(request.TTL) * time.Second
	return etcd.LeaseResponse{ID: server.store.grant(ttl, time.Now()), TTL: request.TTL}
}

func (server *Server) keepLeaseAlive(request etcd.LeaseRequest) etcd.KeepAliveResponse {
	ttl := server.store.keepAlive(request.ID, time.Now())
	return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: request.ID, TTL: int64(ttl.Seconds())}}
}

func (server *Server) revokeLease(request etcd.LeaseRequest) etcd.LeaseResponse {
	server.store.revoke(request.ID)
	return etcd.LeaseResponse{ID: request.ID}
}

// isDown reports whether the current fault has Down set.
func (server *Server) isDown() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.fault.Down
}

// handleWatch streams the events of a range of keys until the caller disconnects or the current fault has Down set.
func (server *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	if server.countCall(request.URL.Path).Down {
		panic(http.ErrAbortHandler)
	}
	var watch etcd.WatchRequest
	if err := json.NewDecoder(request.Body).Decode(&watch); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	stop := context.AfterFunc(request.Context(), server.store.changed.Broadcast)
	defer stop()
	encoder, flusher := json.NewEncoder(writer), http.NewResponseController(writer)
	_ = encoder.Encode(etcd.WatchResponse{Result: etcd.WatchResult{Created: true}})
	_ = flusher.Flush()
	next := watch.Create.StartRevision
	for {
		var events []etcd.Event
		server.store.mutex.Lock()
		for len(events) == 0 && request.Context().Err() == nil && !server.isDown() {
			events, next = server.store.eventsSince(next, watch.Create)
			if len(events) == 0 {
				server.store.changed.Wait()
			}
		}
		server.store.mutex.Unlock()
		if request.Context().Err() != nil || server.isDown() {
			panic(http.ErrAbortHandler)
		}
		message := etcd.WatchResponse{Result: etcd.WatchResult{Events: events}}
		if encoder.Encode(message) != nil || flusher.Flush() != nil {
			return
		}
	}
}

func (server *Server) handleListVMs(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	vms := []etcd.VM{}
	for _, list := range server.vmLists {
		if !time.Now().Before(list.visibleFrom) {
			vms = list.vms
		}
	}
	_ = json.NewEncoder(writer).Encode(vms)
}

func (server *Server) handleSetVMs(writer http.ResponseWriter, request *http.Request) {
	var vms []etcd.VM
	if err := json.NewDecoder(request.Body).Decode(&vms); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.SetVMs(vms)
}

func (server *Server) handleSetFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.SetFault(fault)
}

func (server *Server) handleCallCounts(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(server.calls)
}
