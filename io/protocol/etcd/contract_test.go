package etcd_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"

	"cowslipway/internal/fakeplatform"
	"cowslipway/io/protocol/etcd"
)

// TestContract runs the client against the fake platform, with and without faults.
func TestContract(t *testing.T) {
	server := &fakeplatform.Server{}
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(httpServer.Close)
	t.Cleanup(func() { server.SetFault(fakeplatform.Fault{Down: true}) })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go server.Run(ctx)
	test := &contractTest{t: t, ctx: ctx, server: server, address: httpServer.URL}
	datadriven.RunTest(t, "testdata/contract", func(t *testing.T, data *datadriven.TestData) string {
		test.t, test.data = t, data
		return test.run()
	})
}

// contractTest executes the commands of testdata/contract.
type contractTest struct {
	t       *testing.T
	ctx     context.Context
	data    *datadriven.TestData
	server  *fakeplatform.Server
	address string
	lease   int64 // ID of the lease granted last
}

// arg returns the value of an argument of the current command, or "" without it.
func (test *contractTest) arg(name string) (value string) {
	if test.data.HasArg(name) {
		test.data.ScanArgs(test.t, name, &value)
	}
	return value
}

// store returns a new client, whose circuit breaker is closed.
func (test *contractTest) store() *etcd.Store { return etcd.NewStore(test.address, 1000) }

// cause returns the text of the exported cause of err, the text of err if it has none, or "ok" if err is nil.
func cause(err error) string {
	for _, known := range []error{etcd.ErrConflict, etcd.ErrOutcomeUnknown, etcd.ErrNotExecuted} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// run executes the current command and returns its output.
func (test *contractTest) run() string {
	key := test.arg("key")
	switch test.data.Cmd {
	case "fault":
		test.server.SetFault(fakeplatform.Fault{Down: test.data.HasArg("down"), DropResponses: test.data.HasArg("lose_answers")})
		return ""
	case "create", "replace":
		return test.write(key) + "\n"
	case "lose_answers_for_100ms":
		// The response to a write is lost, but the fault ends before Commit stops reading the key.
		test.server.SetFault(fakeplatform.Fault{DropResponses: true})
		time.AfterFunc(100*time.Millisecond, func() { test.server.SetFault(fakeplatform.Fault{}) })
		return ""
	case "read":
		value, err := etcd.Read[string](test.ctx, test.store(), etcd.ClaimCall, key)
		if err != nil {
			return cause(err) + "\n"
		}
		return fmt.Sprintf("%q exists=%v\n", value.Value, value.Revision != 0)
	case "grant_lease":
		id, err := test.store().GrantLease(test.ctx, time.Hour)
		test.lease = id
		return cause(err) + "\n"
	case "revoke_lease":
		return cause(test.store().RevokeLease(test.ctx, test.lease)) + "\n"
	case "keep_lease":
		alive, err := test.store().KeepLease(test.ctx, test.lease)
		return fmt.Sprintf("alive=%v %s\n", alive, cause(err))
	case "list":
		response, err := test.store().List(test.ctx, etcd.OtherCall, test.arg("prefix"), test.arg("after"), 2, true)
		var keys []string
		for _, kv := range response.KVs {
			keys = append(keys, string(kv.Key))
		}
		return fmt.Sprintf("%s more=%v %s\n", strings.Join(keys, " "), response.More, cause(err))
	case "watch":
		return test.watch()
	case "breaker":
		return test.breaker()
	}
	test.t.Fatalf("unknown command %q", test.data.Cmd)
	return ""
}

// write creates or replaces key, depending on the command.
func (test *contractTest) write(key string) string {
	store := test.store()
	condition := etcd.Absent(key)
	if test.data.Cmd == "replace" {
		current, err := etcd.Read[string](test.ctx, store, etcd.ClaimCall, key)
		if err != nil {
			return cause(err)
		}
		condition = etcd.Unchanged(key, current.Revision)
	}
	operation := etcd.NewOperation()
	data, err := etcd.Encode(operation, test.arg("value"))
	if err != nil {
		return err.Error()
	}
	put := etcd.Put(key, data)
	if test.data.HasArg("leased") {
		put.Put.Lease = test.lease
	}
	txn := etcd.TxnRequest{Compare: []etcd.Compare{condition}, Success: []etcd.RequestOp{put}}
	_, err = etcd.Commit(test.ctx, store, etcd.ClaimCall, txn, key, operation)
	return cause(err)
}

// watch executes the writes in the input while a watch of /w/ is open and returns the events that the watch reports.
func (test *contractTest) watch() string {
	ctx, cancel := context.WithCancel(test.ctx)
	defer cancel()
	seen := make(chan string, 16)
	ready := make(chan struct{}, 16)
	go test.store().Follow(ctx, "/w/", func(found []etcd.KeyValue) {
		for _, kv := range found {
			seen <- "found " + string(kv.Key)
		}
		ready <- struct{}{}
	}, func(events []etcd.Event) {
		for _, event := range events {
			seen <- fmt.Sprintf("%s deleted=%v", event.KV.Key, event.Deleted())
		}
	})
	<-ready
	var lines []string
	for _, line := range strings.Split(test.data.Input, "\n") {
		action, key, _ := strings.Cut(line, " ")
		operation := etcd.Put(key, []byte("{}"))
		if action == "delete" {
			operation = etcd.Delete(key)
		}
		if _, err := test.store().Txn(ctx, etcd.ClaimCall, etcd.TxnRequest{Success: []etcd.RequestOp{operation}}); err != nil {
			return err.Error()
		}
		if strings.HasPrefix(key, "/w/") {
			lines = append(lines, <-seen)
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// breaker makes calls to an unavailable store and returns how many the circuit breaker let through.
func (test *contractTest) breaker() string {
	store := test.store()
	for range 20 {
		_, _, _ = store.Get(test.ctx, etcd.OtherCall, "/x")
	}
	return fmt.Sprintf("calls sent: %d, available: %v\n", store.Calls(), store.Available())
}
