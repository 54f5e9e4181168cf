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

const orderTimeout = 15 * time.Second

// orderSender gives the engines behind one daemon their orderSender, one at a time. Engines that do not check fencing
// tokens rely on the check here.
type orderSender struct {
	Store *etcd.Store // nil refuses every order

	mutex  sync.Mutex
	fences map[string]*order.Fence
}

// send sends the given order to the engine of target and tells how it ended.
func (orders *orderSender) send(ctx context.Context, target *target, given order.Order) (outcome request.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	orders.mutex.Lock()
	defer orders.mutex.Unlock()
	fence, err := orders.fence(ctx, target.settings.Name)
	if err != nil {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable}
	}
	if !fence.Admit(given) {
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStaleVersion}
	}
	err = target.client.Order(ctx, engine.Order{Path: given.Path, Body: given.Body, Fence: given.Epoch})
	switch {
	case err == nil:
		return request.Outcome{Disposition: request.Done}
	case errors.Is(err, engine.ErrFenced):
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStaleVersion}
	case errors.Is(err, engine.ErrRefused):
		return request.Outcome{Disposition: request.NotRun, Reason: request.ReasonEngineLost}
	}
	return request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonEngineLost}
}

// fence returns what is known of a target's epochs; after a start it asks the store first.
func (orders *orderSender) fence(ctx context.Context, target string) (fence *order.Fence, err error) {
	if orders.fences == nil {
		orders.fences = map[string]*order.Fence{}
	}
	fence, ok := orders.fences[target]
	if !ok {
		fence = &order.Fence{}
		orders.fences[target] = fence
	}
	if fence.Initialized() {
		return fence, nil
	}
	if orders.Store == nil {
		return nil, errors.NotFoundf("key-value service in the settings")
	}
	record, err := etcd.Read[order.Record](ctx, orders.Store, etcd.ConfigurationCall, etcd.PlacementKey(target))
	if err != nil {
		return nil, err
	}
	fence.Observe(record.Value.Order.Epoch)
	return fence, nil
}

// handleOrder answers an entry that passes an operator's handleOrder on.
func (daemon *Daemon) handleOrder(ask peer.Ask) (answer peer.Answer) {
	target, ok := daemon.targets[ask.Target]
	if !ok {
		answer.Outcome = peer.OutcomeOf(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonWrongService})
		return answer
	}
	outcome := daemon.orderSender.send(context.Background(), target, ask.Order)
	daemon.Log.Info("order", zap.String("target", ask.Target), zap.String("path", ask.Order.Path),
		zap.Int64("epoch", ask.Order.Epoch), zap.Stringer("disposition", outcome.Disposition))
	answer.Found, answer.Outcome = true, peer.OutcomeOf(outcome)
	return answer
}
