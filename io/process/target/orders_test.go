package target

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/order"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/fakeplatform"
	"cowslipway/io/process/settings"
	"cowslipway/io/protocol/engine"
	"cowslipway/io/protocol/etcd"
)

// TestOrders sends orders with old and new epochs to engines that check fencing tokens and to engines that do not. An order
// with an old epoch must not reach an engine, even after the daemon has restarted.
func TestOrders(t *testing.T) {
	server := &fakeplatform.Server{}
	store := httptest.NewServer(server.Handler())
	t.Cleanup(store.Close)
	var sender *orderSender
	var engineTarget *target
	datadriven.RunTest(t, "testdata/orders", func(t *testing.T, data *datadriven.TestData) string {
		var epoch int64
		if data.HasArg("epoch") {
			data.ScanArgs(t, "epoch", &epoch)
		}
		switch data.Cmd {
		case "engine":
			fake := &fakeengine.Server{CheckFencingToken: data.HasArg("checks_fence")}
			fake.Start()
			t.Cleanup(fake.Stop)
			listener := httptest.NewServer(fake.Handler())
			t.Cleanup(listener.Close)
			engineTarget = &target{settings: settings.EngineTarget{Name: "t1"}, client: engine.NewClient(listener.URL)}
			sender = &orderSender{Store: etcd.NewStore(store.URL, 0)}
		case "restart":
			sender = &orderSender{Store: etcd.NewStore(store.URL, 0)}
		case "fault":
			server.SetFault(fakeplatform.Fault{Down: data.HasArg("down")})
		case "write-record":
			body, err := etcd.Encode(etcd.NewOperation(), order.Record{Order: order.Order{Epoch: epoch}})
			if err != nil {
				t.Fatal(err)
			}
			txn := etcd.TxnRequest{Success: []etcd.RequestOp{etcd.Put(etcd.OrderKey("t1"), body)}}
			if _, err = etcd.NewStore(store.URL, 0).Txn(t.Context(), etcd.OtherCall, txn); err != nil {
				t.Fatal(err)
			}
		case "order":
			outcome := sender.send(context.Background(), engineTarget, order.Order{Epoch: epoch, Path: "/v1/load_lora_adapter", Body: []byte("{}")})
			return fmt.Sprintf("%s %s\n", outcome.Disposition, outcome.Reason)
		}
		return ""
	})
}
