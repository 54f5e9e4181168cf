package etcd_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cowslipway/io/protocol/etcd"
)

// TestFollowListsAfterCanceledWatch guards against a view that is never updated again: the service cancels a watch whose revisions it
// has compacted, and keeps its connection open.
func TestFollowListsAfterCanceledWatch(t *testing.T) {
	var lists atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", func(writer http.ResponseWriter, _ *http.Request) {
		lists.Add(1)
		_ = json.NewEncoder(writer).Encode(etcd.RangeResponse{Header: etcd.ResponseHeader{Revision: 7}})
	})
	mux.HandleFunc("POST /v3/watch", func(writer http.ResponseWriter, request *http.Request) {
		_, _ = writer.Write([]byte(`{"result":{"created":true}}` + "\n" + `{"result":{"canceled":true,"compact_revision":"9"}}` + "\n"))
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	etcd.NewStore(server.URL, 1000).Follow(ctx, "/w/", func([]etcd.KeyValue) {
		if lists.Load() == 2 {
			cancel()
		}
	}, func([]etcd.Event) {})
	if lists.Load() < 2 {
		t.Error("the keys were not listed again")
	}
}
