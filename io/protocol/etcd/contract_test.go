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

// TestContract runs the store's client against the stand-in, faults included.
func TestContract(t *testing.T) {
	server := &fakeplatform.Server{}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	t.Cleanup(func() { server.SetFault(fakeplatform.Fault{Down: true}) })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go server.Run(ctx)
	runner := &contract{t: t, ctx: ctx, server: server, address: listener.URL}
	datadriven.RunTest(t, "testdata/contract", func(t *testing.T, data *datadriven.TestData) string {
		runner.t, runner.data = t, data
		return runner.run()
	})
}

type contract struct {
	t       *testing.T
	ctx     context.Context
	data    *datadriven.TestData
	server  *fakeplatform.Server
	address string
	lease   int64
}

func (contract *contract) arg(name string) (value string) {
	if contract.data.HasArg(name) {
		contract.data.ScanArgs(contract.t, name, &value)
	}
	return value
}

// store returns a fresh client, whose breaker is closed.
func (contract *contract) store() *etcd.Store { return etcd.NewStore(contract.address, 1000) }

func kind(err error) string {
	for _, known := range []error{etcd.ErrConflict, etcd.ErrUnknown, etcd.ErrNotExecuted} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if err != nil {
		return err.Error()
	}
	return "ok"
}

func (contract *contract) run() string {
	key := contract.arg("key")
	switch contract.data.Cmd {
	case "fault":
		contract.server.SetFault(fakeplatform.Fault{Down: contract.data.HasArg("down"), LoseAnswers: contract.data.HasArg("lose_answers")})
		return ""
	case "create", "replace":
		return contract.write(key) + "\n"
	case "heal_later":
		// The answer is lost; the store answers again while the writer reads back.
		contract.server.SetFault(fakeplatform.Fault{LoseAnswers: true})
		time.AfterFunc(100*time.Millisecond, func() { contract.server.SetFault(fakeplatform.Fault{}) })
		return ""
	case "read":
		value, err := etcd.Read[string](contract.ctx, contract.store(), etcd.ClaimCall, key)
		if err != nil {
			return kind(err) + "\n"
		}
		return fmt.Sprintf("%q exists=%v\n", value.Value, value.Revision != 0)
	case "lease":
		id, err := contract.store().GrantLease(contract.ctx, time.Hour)
		contract.lease = id
		return kind(err) + "\n"
	case "revoke":
		return kind(contract.store().RevokeLease(contract.ctx, contract.lease)) + "\n"
	case "keep":
		alive, err := contract.store().KeepLease(contract.ctx, contract.lease)
		return fmt.Sprintf("alive=%v %s\n", alive, kind(err))
	case "list":
		answer, err := contract.store().List(contract.ctx, etcd.OtherCall, contract.arg("prefix"), contract.arg("after"), 2, true)
		var keys []string
		for _, kv := range answer.KVs {
			keys = append(keys, string(kv.Key))
		}
		return fmt.Sprintf("%s more=%v %s\n", strings.Join(keys, " "), answer.More, kind(err))
	case "watch":
		return contract.watch()
	case "breaker":
		return contract.breaker()
	}
	contract.t.Fatalf("unknown command %q", contract.data.Cmd)
	return ""
}

func (contract *contract) write(key string) string {
	store := contract.store()
	condition := etcd.Absent(key)
	if contract.data.Cmd == "replace" {
		current, err := etcd.Read[string](contract.ctx, store, etcd.ClaimCall, key)
		if err != nil {
			return kind(err)
		}
		condition = etcd.Unchanged(key, current.Revision)
	}
	operation := etcd.NewOperation()
	data, err := etcd.Encode(operation, contract.arg("value"))
	if err != nil {
		return err.Error()
	}
	put := etcd.Put(key, data)
	if contract.data.HasArg("leased") {
		put.Put.Lease = contract.lease
	}
	txn := etcd.TxnRequest{Compare: []etcd.Compare{condition}, Success: []etcd.RequestOp{put}}
	_, err = etcd.Commit(contract.ctx, store, etcd.ClaimCall, txn, key, operation)
	return kind(err)
}

// watch writes keys while a watch is open and tells which ones it saw.
func (contract *contract) watch() string {
	ctx, cancel := context.WithCancel(contract.ctx)
	defer cancel()
	seen := make(chan string, 16)
	ready := make(chan struct{}, 16)
	go contract.store().Follow(ctx, "/w/", func(found []etcd.KeyValue) {
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
	for _, line := range strings.Split(contract.data.Input, "\n") {
		action, key, _ := strings.Cut(line, " ")
		operation := etcd.Put(key, []byte("{}"))
		if action == "delete" {
			operation = etcd.Delete(key)
		}
		if _, err := contract.store().Txn(ctx, etcd.ClaimCall, etcd.TxnRequest{Success: []etcd.RequestOp{operation}}); err != nil {
			return err.Error()
		}
		if strings.HasPrefix(key, "/w/") {
			lines = append(lines, <-seen)
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// breaker makes calls to a store that is down and tells how many reached it.
func (contract *contract) breaker() string {
	store := contract.store()
	for range 20 {
		_, _, _ = store.Get(contract.ctx, etcd.OtherCall, "/x")
	}
	return fmt.Sprintf("calls sent: %d, available: %v\n", store.Calls(), store.Available())
}
