package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
	"cowslipway/io/port"
	"cowslipway/io/process/telemetry"
)

const (
	tickInterval      = 25 * time.Millisecond  // interval between checks of the queue; a request holds a slot for 700 ms
	resendInterval    = 200 * time.Millisecond // unchanged counts are sent again after this time, since datagrams get lost
	minUrgentInterval = 3 * time.Millisecond   // shortest time between two sendings of urgent counts
	// smallFleet is the number of members up to which changed counts are sent at each tick. With more members they are sent
	// less often, so that each member receives about 300 messages a second at most, whatever the number of members.
	smallFleet = 40
	// maxTickDelay is the tick delay above which this process counts as short of CPU time.
	maxTickDelay = 15 * time.Millisecond
)

// setEngines replaces the engines that work is placed on.
func (node *Node) setEngines(engines []fleet.Engine) {
	node.streams.observe(time.Now(), engines)
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	node.pool.SetEngines(engines)
	addresses := map[string]bool{}
	for _, engine := range engines {
		addresses[engine.Address] = true
	}
	node.Upstream.Retain(func(address string) bool { return addresses[address] })
	node.deliver(node.pool.ProcessQueue(time.Now()))
}

// applyCounts applies the load counts of another process; nil removes them.
func (node *Node) applyCounts(peer string, counts []placement.Counts) {
	node.placementMutex.Lock()
	node.pool.LearnSpeeds(time.Now(), peer, counts)
	node.pool.ApplyCounts(peer, counts)
	node.deliver(node.pool.ProcessQueue(time.Now()))
	preemptions := node.pool.Preemptions(time.Now())
	node.placementMutex.Unlock()
	node.preempt(preemptions)
}

// applyLoadReport applies the load that the engine at address reports through the reporter on its VM.
func (node *Node) applyLoadReport(address string, running, waiting int) {
	now := time.Now()
	node.placementMutex.Lock()
	node.pool.RecordReporterLoad(address, running+waiting)
	preemptions := node.pool.Preemptions(now)
	node.placementMutex.Unlock()
	node.preempt(preemptions)
}

// SendLoadReport sends the numbers of running and waiting requests at the engine on this VM to all members.
func (node *Node) SendLoadReport(running, waiting int) { node.mesh.SendLoadReport(running, waiting) }

// preempt calls Preempt if there is anything to preempt.
func (node *Node) preempt(preemptions map[uint64]int) {
	if len(preemptions) > 0 && node.Preempt != nil {
		node.Preempt(preemptions)
	}
}

// deliver passes the decisions of grants to the queued requests that wait for them. placementMutex must be held.
func (node *Node) deliver(grants []placement.Grant) {
	for _, grant := range grants {
		if granted, ok := node.tickets[grant.Ticket]; ok {
			delete(node.tickets, grant.Ticket)
			granted <- grant.Decision
		}
	}
}

// tick periodically places queued requests, requests preemptions and broadcasts load counts, until ctx ends.
func (node *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			node.tickDelay.Store(int64(time.Since(last) - tickInterval))
			last = time.Now()
			node.directory.expireLapsed(now)
			node.directory.expireReplaced(now)
			node.placementMutex.Lock()
			if node.pool.QueueLength() > 0 {
				node.deliver(node.pool.ProcessQueue(now))
			}
			preemptions := node.pool.Preemptions(now)
			node.placementMutex.Unlock()
			node.preempt(preemptions)
			node.acquireTokens(now)
			node.broadcastCounts(now)
		}
	}
}

// SchedulingDelayed reports whether this process is short of CPU time, so that data may have arrived long before it is
// read.
func (node *Node) SchedulingDelayed() bool {
	return time.Duration(node.tickDelay.Load()) > maxTickDelay
}

// broadcastCounts sends the load counts of this process to all members if they have changed or resendInterval has passed. In a
// fleet larger than smallFleet it waits for several ticks between two broadcasts.
func (node *Node) broadcastCounts(now time.Time) {
	interval := tickInterval * time.Duration((node.mesh.PeerCount()+smallFleet-1)/smallFleet)
	node.placementMutex.Lock()
	counts := node.pool.LocalCounts(now)
	passed := now.Sub(node.sentAt)
	changed := !slices.Equal(counts, node.sentCounts)
	if passed < interval-tickInterval/2 || !changed && passed < resendInterval {
		node.placementMutex.Unlock()
		return
	}
	node.sentCounts, node.sentAt = counts, now
	news := node.pool.SpeedNews(now)
	node.pool.Announced()
	node.placementMutex.Unlock()
	node.mesh.SendCounts(append(slices.Clip(counts), news...), nil)
}

// sendUrgentCounts sends the load counts of this process at once to the processes with batch items at an engine, as one
// of the items has to be preempted.
func (node *Node) sendUrgentCounts(engine fleet.Engine) {
	now := time.Now()
	node.placementMutex.Lock()
	if now.Sub(node.urgentSentAt) < minUrgentInterval {
		node.placementMutex.Unlock()
		return // the next broadcast includes the counts
	}
	node.urgentSentAt = now
	counts, owners := node.pool.LocalCounts(now), node.pool.BatchOwners(engine)
	node.placementMutex.Unlock()
	node.mesh.SendCounts(counts, owners)
}

// Acquire acquires a slot at an engine for an online request. It waits in the queue if a slot may become free in time. The
// error is that of ctx.
func (node *Node) Acquire(ctx context.Context, request placement.Request) (decision placement.Decision, err error) {
	now := time.Now()
	node.placementMutex.Lock()
	decision = node.pool.AcquireOnline(now, request)
	if decision.Ticket == 0 {
		node.placementMutex.Unlock()
		if decision.Urgent {
			node.sendUrgentCounts(decision.Engine)
		}
		return decision, nil
	}
	granted := make(chan placement.Decision, 1)
	node.tickets[decision.Ticket] = granted
	node.placementMutex.Unlock()
	if decision.Limited > 0 {
		node.acquireTokens(now)
	}
	select {
	case decision = <-granted:
		outcome := "refused"
		if decision.Admitted {
			outcome = "admitted"
		}
		observeQueueTime(now, outcome)
	case <-ctx.Done():
		observeQueueTime(now, "given up")
		node.placementMutex.Lock()
		node.pool.Cancel(decision.Ticket)
		delete(node.tickets, decision.Ticket)
		node.placementMutex.Unlock()
		select {
		case late := <-granted:
			if late.Admitted {
				node.Release(late.Engine, false)
			}
		default:
		}
		return placement.Decision{}, ctx.Err()
	}
	if decision.Urgent {
		node.sendUrgentCounts(decision.Engine)
	}
	return decision, nil
}

// Overloaded reports whether the known work at an engine exceeds its slots.
func (node *Node) Overloaded(engine fleet.Engine) bool {
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	return node.pool.Overloaded(time.Now(), engine)
}

// AcquireBatch acquires a slot at an engine for a batch item, without waiting; ok reports whether there was one.
func (node *Node) AcquireBatch(request placement.Request) (engine fleet.Engine, ok bool) {
	node.placementMutex.Lock()
	engine, ok = node.pool.AcquireBatch(time.Now(), request)
	var counts []placement.Counts
	if ok && placement.TakesLastSlot(engine) {
		counts = node.pool.LocalCounts(time.Now())
	}
	node.placementMutex.Unlock()
	if counts != nil {
		node.mesh.SendCounts(counts, nil)
	}
	return engine, ok
}

// HasEngines reports whether a service has an engine that takes requests, or the engines have not been listed yet.
func (node *Node) HasEngines(service string) bool {
	if !node.directory.loaded.Load() {
		return true
	}
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	return node.pool.HasEngines(time.Now(), service)
}

// SetBatchBacklog records whether batch items of this process wait for a slot.
func (node *Node) SetBatchBacklog(waiting bool) {
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	node.pool.BatchBacklog = waiting
}

// Release releases a slot at an engine, acquired by AcquireBatch if batch is set and by Acquire otherwise.
func (node *Node) Release(engine fleet.Engine, batch bool) {
	now := time.Now()
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	node.pool.Release(now, engine, batch)
	if node.pool.QueueLength() > 0 {
		node.deliver(node.pool.ProcessQueue(now))
	}
}

// RecordFailure records that a request to an engine failed and logs the engine's ejection.
func (node *Node) RecordFailure(engine fleet.Engine) {
	node.placementMutex.Lock()
	until, failures := node.pool.RecordFailure(time.Now(), engine)
	node.placementMutex.Unlock()
	node.logEjection(engine, until, failures, "it failed")
}

// logEjection logs that an engine is ejected until a time, or nothing if until is zero.
func (node *Node) logEjection(engine fleet.Engine, until time.Time, failures int, reason string) {
	if !until.IsZero() {
		node.Log.Info("engine left", zap.String("engine", engine.ID), zap.Int("failures", failures), zap.Time("until", until), zap.String("reason", reason))
	}
}

// recordLeaving records that an engine has said that it leaves, so that it gets no further work, and logs it the first time.
func (node *Node) recordLeaving(now time.Time, engine fleet.Engine) {
	node.placementMutex.Lock()
	news := node.pool.RecordLeaving(now, engine)
	node.placementMutex.Unlock()
	if news {
		node.Log.Info("engine says that it leaves", zap.String("engine", engine.Incarnation()), zap.String("address", engine.Address), zap.Duration("view_age", node.ViewAge()))
	}
}

// RecordResponseHead records what the head of the response to a request that was sent at a time says of its engine: that it leaves, its
// limit, and its load, if the head has them. rejected reports whether the engine rejected the request and so does not count it in this load. The result reports whether all
// slots of the engine are in use.
func (node *Node) RecordResponseHead(engine fleet.Engine, sent time.Time, head port.ResponseHead, rejected bool) (full bool) {
	now := time.Now()
	if !head.WrongEngine {
		node.recordLimit(now, sent, engine, head)
	}
	if head.Leaving && !head.WrongEngine {
		node.recordLeaving(now, engine)
	}
	if !head.HasLoad {
		return false
	}
	node.placementMutex.Lock()
	if !head.WrongEngine {
		node.pool.RecordSlowdown(now, engine, head.Load.Slowdown)
	}
	full = node.pool.RecordResponseLoad(now, engine, head.Load.Running+head.Load.Waiting, rejected)
	preemptions := node.pool.Preemptions(now)
	node.placementMutex.Unlock()
	node.preempt(preemptions)
	return full
}

// RecordReplaced records that another engine responds at the engine's address and logs the engine's ejection.
func (node *Node) RecordReplaced(engine fleet.Engine) {
	node.placementMutex.Lock()
	until := node.pool.RecordReplaced(time.Now(), engine)
	node.placementMutex.Unlock()
	if !until.IsZero() {
		node.directory.refute(engine, until)
	}
	node.logEjection(engine, until, 0, "another engine answers at its address")
}

// RecordSuccess records that a request to an engine succeeded, which ends the engine's ejection.
func (node *Node) RecordSuccess(engine fleet.Engine) {
	node.placementMutex.Lock()
	now := time.Now()
	news := node.pool.RecordSuccess(now, engine)
	alike, alikeNews := node.pool.FailAlike(now, engine.Service)
	node.placementMutex.Unlock()
	node.logAlike(engine.Service, alike, alikeNews)
	if news {
		node.Log.Info("engine serves again", zap.String("engine", engine.ID))
	}
}

// RecordErrorResponse records that an engine answered with an error of its own, and logs the engine's ejection.
func (node *Node) RecordErrorResponse(engine fleet.Engine) {
	node.placementMutex.Lock()
	now := time.Now()
	until, failures := node.pool.RecordErrorResponse(now, engine)
	alike, news := node.pool.FailAlike(now, engine.Service)
	node.placementMutex.Unlock()
	node.logEjection(engine, until, failures, "it answered with an error")
	node.logAlike(engine.Service, alike, news)
}

// logAlike logs and counts that the engines of a service have begun or ceased to fail alike, if that is news.
func (node *Node) logAlike(service string, alike, news bool) {
	if !news {
		return
	}
	change := "ended"
	if alike {
		change = "began"
	}
	telemetry.AlikeErrors.Add(change, 1)
	node.Log.Info("errors of all engines", zap.String("service", service), zap.String("change", change))
}
