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

// TestOrders gives orders with old and new epochs to engines that check them and engines that don't.
func TestOrders(t *testing.T) {
	server := &fakeplatform.Server{}
	store := httptest.NewServer(server.Handler())
	t.Cleanup(store.Close)
	var given *orderSender
	var behind *target
	datadriven.RunTest(t, "testdata/orders", func(t *testing.T, data *datadriven.TestData) string {
		var epoch int64
		if data.HasArg("epoch") {
			data.ScanArgs(t, "epoch", &epoch)
		}
		switch data.Cmd {
		case "engine":
			stand := &fakeengine.Server{ChecksFence: data.HasArg("checks")}
			stand.Start()
			t.Cleanup(stand.Stop)
			listener := httptest.NewServer(stand.Handler())
			t.Cleanup(listener.Close)
			behind = &target{settings: settings.EngineTarget{Name: "t1"}, client: engine.NewClient(listener.URL)}
			given = &orderSender{Store: etcd.NewStore(store.URL, 0)}
		case "restart":
			given = &orderSender{Store: etcd.NewStore(store.URL, 0)}
		case "fault":
			server.SetFault(fakeplatform.Fault{Down: data.HasArg("down")})
		case "record":
			body, err := etcd.Encode(etcd.NewOperation(), order.Record{Order: order.Order{Epoch: epoch}})
			if err != nil {
				t.Fatal(err)
			}
			txn := etcd.TxnRequest{Success: []etcd.RequestOp{etcd.Put(etcd.PlacementKey("t1"), body)}}
			if _, err = etcd.NewStore(store.URL, 0).Txn(t.Context(), etcd.OtherCall, txn); err != nil {
				t.Fatal(err)
			}
		case "order":
			outcome := given.send(context.Background(), behind, order.Order{Epoch: epoch, Path: "/v1/load_lora_adapter", Body: []byte("{}")})
			return fmt.Sprintf("%s %s\n", outcome.Disposition, outcome.Reason)
		}
		return ""
	})
}
