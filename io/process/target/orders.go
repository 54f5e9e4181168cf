package target

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/state/order"
	"cowslipway/core/state/request"
	"cowslipway/io/protocol/engine"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
)

const orderTimeout = 15 * time.Second // includes waiting for the previous order

// orderSender sends operators' orders to the engines of one VM, one at a time. It checks the fencing tokens itself, since
// some engines do not.
type orderSender struct {
	Store *etcd.Store // if nil, every order is rejected

	mutex  sync.Mutex
	fences map[string]*order.Fence // by target
}

// send sends an order to the engine of target and returns its outcome.
func (sender *orderSender) send(ctx context.Context, target *target, requested order.Order) (outcome request.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	fence, err := sender.fence(ctx, target.settings.Name)
	if err != nil {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable}
	}
	if !fence.Admit(requested) {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStaleVersion}
	}
	err = target.client.SendOrder(ctx, engine.Order{Path: requested.Path, Body: requested.Body, FencingToken: requested.Epoch})
	switch {
	case err == nil:
		return request.Outcome{Disposition: request.Done}
	case errors.Is(err, engine.ErrStaleFencingToken):
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStaleVersion}
	case errors.Is(err, engine.ErrNotSent):
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonEngineLost}
	}
	return request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonEngineLost}
}

// fence returns the fence of a target. It reads the target's epoch from the store at each call until a read has
// succeeded.
func (sender *orderSender) fence(ctx context.Context, target string) (fence *order.Fence, err error) {
	if sender.fences == nil {
		sender.fences = map[string]*order.Fence{}
	}
	fence, ok := sender.fences[target]
	if !ok {
		fence = &order.Fence{}
		sender.fences[target] = fence
	}
	if fence.Initialized() {
		return fence, nil
	}
	if sender.Store == nil {
		return nil, errors.NotFoundf("address of the key-value store in the settings")
	}
	record, err := etcd.Read[order.Record](ctx, sender.Store, etcd.ConfigurationCall, etcd.OrderKey(target))
	if err != nil {
		return nil, err
	}
	fence.Observe(record.Value.Order.Epoch)
	return fence, nil
}

// handleOrder sends an operator's order, received from an entry, to the engine and returns the outcome.
func (daemon *Daemon) handleOrder(call peer.Call) (response peer.CallResponse) {
	target, ok := daemon.targets[call.Target]
	if !ok {
		response.Outcome = peer.NewOutcome(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonWrongService})
		return response
	}
	outcome := daemon.orderSender.send(context.Background(), target, call.Order)
	daemon.Log.Info("order", zap.String("target", call.Target), zap.String("path", call.Order.Path),
		zap.Int64("epoch", call.Order.Epoch), zap.Stringer("disposition", outcome.Disposition))
	response.Found, response.Outcome = true, peer.NewOutcome(outcome)
	return response
}
