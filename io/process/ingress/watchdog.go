package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/coordination/retry"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"

	"cowslipway/io/process/node"
	"cowslipway/io/process/telemetry"
)

const (
	// firstEventShare is the part of the route's latency target for which a stream that another engine may resume waits
	// for its first event.
	firstEventShare = 0.5
	// pauseFactor is the multiple of the route's longest pause, or of the timeout for the first event if that is longer,
	// after which another engine is sought for a stream without events.
	pauseFactor = 2
	// maxIdleExtensions is how often the idle timeout is extended where the engine or this process is only busy: the wait
	// for the first event then takes up to five times as long.
	maxIdleExtensions = 4
	// minSearchInterval is the least time between two searches for another engine, whatever the route's latency target is.
	minSearchInterval = 100 * time.Millisecond
)

// errIdleTimeout is the cause of an attempt's cancellation after its engine sent nothing within the idle timeout.
const errIdleTimeout = errors.ConstError("the engine sent nothing within the idle timeout")

// errQueued is the cause of an attempt's cancellation while the request waited in the queue of an engine, which is not a
// failure of the engine.
const errQueued = errors.ConstError("the request waited too long in the engine's queue")

// errMoved is the error of a read that brought an event after another engine's slot had been acquired for the stream.
const errMoved = errors.ConstError("the stream goes on at another engine")

// unreachableReason is the reason for which a stream is not moved to engines that have a slot.
const unreachableReason = "engine not reached"

// placed is a slot that has been acquired for a request.
type placed struct {
	decision placement.Decision
	waited   time.Duration
}

// watchdog seeks another engine for the stream of an attempt whose engine sends nothing within the idle timeout. It cancels the
// attempt once it has acquired a slot, and leaves it alone as long as no other engine may be used. Without a timer it does nothing.
type watchdog struct {
	online  *onlineRequest // only what does not change during an attempt is read
	node    *node.Node
	engine  fleet.Engine
	number  int               // of the attempt
	request placement.Request // for a slot at another engine before the first event
	ctx     context.Context   //nolint:containedctx // of the attempt; the timer function has no caller that could pass it
	cancel  context.CancelCauseFunc

	firstEventTimeout time.Duration
	eventTimeout      time.Duration // between two events
	timer             *time.Timer

	mutex        sync.Mutex
	idle         retry.IdleTimeout
	begun        bool // the caller has been sent an event, in this attempt or before
	events       int  // received in this attempt
	idleSince    time.Time
	expiresAt    time.Time
	stopped      bool
	cancelSearch context.CancelFunc // nil while no other engine is sought
	next         *placed            // slot at the engine that the stream is moved to
}

// firstEventTimeout is the idle timeout for the first event.
func (online *onlineRequest) firstEventTimeout() time.Duration {
	return time.Duration(float64(online.route.TargetLatency) * firstEventShare)
}

// eventTimeout is the idle timeout between two events.
func (online *onlineRequest) eventTimeout() time.Duration {
	return pauseFactor * max(online.firstEventTimeout(), online.route.MaxPause)
}

// startWatchdog returns a watchdog for an attempt at engine. It does nothing where no other engine may resume the stream.
func (online *onlineRequest) startWatchdog(ctx context.Context, engine fleet.Engine, cancel context.CancelCauseFunc) *watchdog {
	firstEventTimeout := online.firstEventTimeout()
	if online.route.Kind != routes.Stream || !online.route.Retryable() || online.attempts >= online.route.MaxAttempts || firstEventTimeout <= 0 {
		return &watchdog{}
	}
	request := online.placementRequest()
	request.Excluded = append(slices.Clip(request.Excluded), engine.Digest())
	request.SkipEjected = true
	watchdog := &watchdog{
		online: online, node: online.server.Node, engine: engine, number: online.attempts, request: request, ctx: ctx, cancel: cancel,
		firstEventTimeout: firstEventTimeout, eventTimeout: online.eventTimeout(),
		idle: retry.IdleTimeout{Period: firstEventTimeout, Extensions: maxIdleExtensions}, begun: online.headerSent, idleSince: time.Now(),
	}
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.timer = time.AfterFunc(time.Hour, watchdog.expire) // started by reset, since the function uses the timer field
	watchdog.reset(firstEventTimeout)
	return watchdog
}

// reset restarts the timer. The mutex must be held.
func (watchdog *watchdog) reset(timeout time.Duration) {
	watchdog.expiresAt = time.Now().Add(timeout)
	watchdog.timer.Reset(timeout)
}

// eventReceived restarts the idle timeout. It fails once the stream is moved to another engine, which sends the event again.
func (watchdog *watchdog) eventReceived() (err error) {
	if watchdog.timer == nil {
		return nil
	}
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.next != nil {
		return errMoved
	}
	watchdog.begun, watchdog.idleSince = true, time.Now()
	watchdog.events++
	watchdog.endSearch()
	watchdog.reset(watchdog.eventTimeout)
	return nil
}

// endSearch ends a search for another engine. The mutex must be held.
func (watchdog *watchdog) endSearch() {
	if watchdog.cancelSearch != nil {
		watchdog.cancelSearch()
		watchdog.cancelSearch = nil
	}
}

// stop ends the supervision of the attempt. It returns the slot at the engine that the stream is moved to, or nil if there is none.
func (watchdog *watchdog) stop() (next *placed) {
	if watchdog.timer == nil {
		return nil
	}
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.stopped = true
	watchdog.endSearch()
	watchdog.timer.Stop()
	return watchdog.next
}

// expire is called when the timer has expired.
func (watchdog *watchdog) expire() {
	received := time.Since(watchdog.node.Upstream.LastReceived(watchdog.engine.Address))
	watchdog.mutex.Lock()
	if watchdog.stopped || watchdog.next != nil || time.Now().Before(watchdog.expiresAt) {
		watchdog.mutex.Unlock()
		return
	}
	if !watchdog.idle.Expired(received, watchdog.node.SchedulingDelayed()) {
		watchdog.reset(watchdog.firstEventTimeout)
		watchdog.mutex.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(watchdog.ctx)
	defer cancel()
	watchdog.cancelSearch = cancel
	begun, events, idle := watchdog.begun, watchdog.events, time.Since(watchdog.idleSince)
	watchdog.mutex.Unlock()

	found := watchdog.seek(ctx, begun)
	outcome := watchdog.settle(found, begun, events)
	if found.decision.Admitted && outcome != retry.Moved {
		watchdog.node.Release(found.decision.Engine, false)
	}
	telemetry.IdleTimeouts.Add(outcome.String(), 1)
	watchdog.online.server.Log.Info("idle timeout expired", zap.String("request", watchdog.online.call.RequestID), zap.String("route", watchdog.online.route.Name),
		zap.Int64("configuration", watchdog.online.table.Version), zap.String("engine", watchdog.engine.ID), zap.Int("attempt", watchdog.number), zap.Bool("begun", begun),
		zap.Duration("idle", idle), zap.Duration("received", received), zap.Stringer("outcome", outcome), zap.String("next", found.decision.Engine.ID),
		zap.String("reason", found.decision.Reason), zap.Int("candidates", found.decision.Candidates), zap.Int("limited", found.decision.Limited), zap.Duration("waited", found.waited))
}

// seek tries to acquire a slot at another engine that accepts a connection. A quarantined request stays where it is.
func (watchdog *watchdog) seek(ctx context.Context, begun bool) (found placed) {
	if watchdog.quarantined(fleet.Engine{}) {
		return placed{decision: placement.Decision{Reason: quarantinedReason}}
	}
	request, started := watchdog.request, time.Now()
	if begun {
		request.Deadline = time.Now().Add(watchdog.online.route.MaxPause)
		request.Version = watchdog.engine.SoftwareVersion
	}
	for range maxConnectFailures {
		decision, err := watchdog.node.Acquire(ctx, request)
		found = placed{decision: decision, waited: time.Since(started)}
		if err != nil || !decision.Admitted {
			return found
		}
		if watchdog.quarantined(decision.Engine) { // since the search began, or at this engine's build only
			return watchdog.decline(found, quarantinedReason)
		}
		if err = watchdog.node.Upstream.Dial(ctx, decision.Engine.Address); err == nil {
			return found
		}
		found = watchdog.decline(found, unreachableReason)
		if ctx.Err() != nil {
			return found
		}
		watchdog.node.RecordFailure(decision.Engine)
		request.Excluded = append(slices.Clip(request.Excluded), decision.Engine.Digest())
	}
	return found
}

// decline releases a slot that was found, and returns the result of a search that found none, for a reason.
func (watchdog *watchdog) decline(found placed, reason string) (none placed) {
	watchdog.node.Release(found.decision.Engine, false)
	return placed{decision: placement.Decision{Reason: reason, Candidates: found.decision.Candidates}, waited: found.waited}
}

// quarantined reports whether the request, or a part of its prompt, is quarantined at engine, or at any engine if that is the zero value.
func (watchdog *watchdog) quarantined(engine fleet.Engine) bool {
	quarantines, _ := watchdog.node.Quarantines(watchdog.online.content, engine)
	return len(quarantines) > 0
}

// settle decides what becomes of the attempt after a search that began when so many events had been received.
func (watchdog *watchdog) settle(found placed, begun bool, events int) (outcome retry.IdleOutcome) {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	outcome = retry.Settle(retry.Search{Found: found.decision.Admitted, Progressed: watchdog.events != events, Ended: watchdog.stopped || watchdog.ctx.Err() != nil})
	switch outcome {
	case retry.Moved:
		watchdog.next = &found
		cause := errIdleTimeout
		if !begun && watchdog.node.Overloaded(watchdog.engine) {
			cause = errQueued
		}
		watchdog.cancel(cause)
	case retry.Kept:
		watchdog.cancelSearch = nil
		watchdog.reset(max(watchdog.firstEventTimeout, minSearchInterval))
	case retry.Progressed, retry.Ended:
	}
	return outcome
}
