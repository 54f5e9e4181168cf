package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
	"cowslipway/io/port"
)

const (
	tickPeriod   = 25 * time.Millisecond  // between two looks at the queue; a request holds a slot for 700 ms
	tellPeriod   = 200 * time.Millisecond // counts are sent at least that often, since datagrams get lost
	urgentPeriod = 3 * time.Millisecond   // urgent counts are sent no closer together
	// smallFleet is the number of members up to which counts go out at each tick. In larger ones they go out less often,
	// so that each member hears some 300 messages a second at most, whatever the size.
	smallFleet = 40
	// busyLag is how late a tick has to be for this process to count as short of processor time.
	busyLag = 15 * time.Millisecond
)

func (node *Node) setEngines(engines []fleet.Engine) {
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.SetEngines(engines)
	addresses := map[string]bool{}
	for _, engine := range engines {
		addresses[engine.Address] = true
	}
	node.Upstream.Retain(func(address string) bool { return addresses[address] })
	node.hand(node.pool.ProcessQueue(time.Now()))
}

// heard takes in another process's counts.
func (node *Node) heard(peer string, counts []placement.Counts) {
	node.placing.Lock()
	node.pool.ApplyCounts(peer, counts)
	node.hand(node.pool.ProcessQueue(time.Now()))
	preemptions := node.pool.Preemptions(time.Now())
	node.placing.Unlock()
	node.preempt(preemptions)
}

// reported takes in what an engine says of itself.
func (node *Node) reported(engine string, running, waiting int) {
	now := time.Now()
	node.placing.Lock()
	node.pool.RecordReporterLoad(engine, running+waiting)
	preemptions := node.pool.Preemptions(now)
	node.placing.Unlock()
	node.preempt(preemptions)
}

// SendLoadReport tells the others what runs and waits at the engine on this VM.
func (node *Node) SendLoadReport(running, waiting int) { node.mesh.Report(running, waiting) }

func (node *Node) preempt(preemptions map[uint64]int) {
	if len(preemptions) > 0 && node.Preempt != nil {
		node.Preempt(preemptions)
	}
}

// hand gives decisions to the requests that wait for them.
func (node *Node) hand(grants []placement.Grant) {
	for _, grant := range grants {
		if waiting, ok := node.tickets[grant.Ticket]; ok {
			delete(node.tickets, grant.Ticket)
			waiting <- grant.Decision
		}
	}
}

// tick looks at the queue and tells the others what has changed, until ctx ends.
func (node *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			node.lag.Store(int64(time.Since(last) - tickPeriod))
			last = time.Now()
			node.directory.expire(now)
			node.placing.Lock()
			if node.pool.QueueLength() > 0 {
				node.hand(node.pool.ProcessQueue(now))
			}
			preemptions := node.pool.Preemptions(now)
			node.placing.Unlock()
			node.preempt(preemptions)
			node.tell(now)
		}
	}
}

// SchedulingDelayed reports whether this process gets its turns late: what it has not read yet may have come long ago.
func (node *Node) SchedulingDelayed() bool { return time.Duration(node.lag.Load()) > busyLag }

// tell sends the counts to the others where they have changed or time has passed.
func (node *Node) tell(now time.Time) {
	period := tickPeriod * time.Duration((node.mesh.Size()+smallFleet-1)/smallFleet)
	node.placing.Lock()
	counts := node.pool.LocalCounts(now)
	passed := now.Sub(node.toldAt)
	changed := !slices.Equal(counts, node.told)
	if passed < period-tickPeriod/2 || !changed && passed < tellPeriod {
		node.placing.Unlock()
		return
	}
	node.told, node.toldAt = counts, now
	node.placing.Unlock()
	node.mesh.Tell(counts, nil)
}

// tellOwners sends the counts at once to those whose batch items have to give way at an engine.
func (node *Node) tellOwners(engine fleet.Engine) {
	now := time.Now()
	node.placing.Lock()
	if now.Sub(node.urgedAt) < urgentPeriod {
		node.placing.Unlock()
		return // the next tick tells
	}
	node.urgedAt = now
	counts, owners := node.pool.LocalCounts(now), node.pool.BatchOwners(engine)
	node.placing.Unlock()
	node.mesh.Tell(counts, owners)
}

// Acquire finds an engine for an online request; it waits in the queue where that can help.
func (node *Node) Acquire(ctx context.Context, want placement.Request) (decision placement.Decision, err error) {
	now := time.Now()
	node.placing.Lock()
	decision = node.pool.AcquireOnline(now, want)
	if decision.Ticket == 0 {
		node.placing.Unlock()
		if decision.Urgent {
			node.tellOwners(decision.Engine)
		}
		return decision, nil
	}
	granted := make(chan placement.Decision, 1)
	node.tickets[decision.Ticket] = granted
	node.placing.Unlock()
	select {
	case decision = <-granted:
		outcome := "refused"
		if decision.Admitted {
			outcome = "admitted"
		}
		queued(now, outcome)
	case <-ctx.Done():
		queued(now, "given up")
		node.placing.Lock()
		node.pool.Cancel(decision.Ticket)
		delete(node.tickets, decision.Ticket)
		node.placing.Unlock()
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
		node.tellOwners(decision.Engine)
	}
	return decision, nil
}

// Overloaded reports whether an engine has more work than slots as far as known.
func (node *Node) Overloaded(engine fleet.Engine) bool {
	node.placing.Lock()
	defer node.placing.Unlock()
	return node.pool.Overloaded(time.Now(), engine)
}

// AcquireBatch finds an engine that can take a batch item now.
func (node *Node) AcquireBatch(want placement.Request) (engine fleet.Engine, ok bool) {
	node.placing.Lock()
	defer node.placing.Unlock()
	return node.pool.AcquireBatch(time.Now(), want)
}

// SetBatchBacklog says whether batch items of this process wait for a slot.
func (node *Node) SetBatchBacklog(hungry bool) {
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.BatchBacklog = hungry
}

// Release gives a slot back.
func (node *Node) Release(engine fleet.Engine, batch bool) {
	now := time.Now()
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.Release(now, engine, batch)
	if node.pool.QueueLength() > 0 {
		node.hand(node.pool.ProcessQueue(now))
	}
}

// RecordFailure records that an engine did not answer as it should.
func (node *Node) RecordFailure(engine fleet.Engine) {
	node.placing.Lock()
	until, failures := node.pool.RecordFailure(time.Now(), engine)
	node.placing.Unlock()
	node.left(engine, until, failures, "it failed")
}

// left logs that an engine gets no work for a while.
func (node *Node) left(engine fleet.Engine, until time.Time, failures int, reason string) {
	if !until.IsZero() {
		node.Log.Info("engine left", zap.String("engine", engine.ID), zap.Int("failures", failures), zap.Time("until", until), zap.String("reason", reason))
	}
}

// RecordReportedLoad takes in what an engine says of its load in the head of an answer, if it does; rejected says that it turned this
// request away. It reports whether the engine said that it is full.
func (node *Node) RecordReportedLoad(engine fleet.Engine, answer port.Answer, rejected bool) (full bool) {
	if !answer.HasLoad {
		return false
	}
	now := time.Now()
	node.placing.Lock()
	full = node.pool.RecordAnswerLoad(now, engine, answer.Load.Running+answer.Load.Waiting, rejected)
	preemptions := node.pool.Preemptions(now)
	node.placing.Unlock()
	node.preempt(preemptions)
	return full
}

// RecordReplaced records that another engine answers at the engine's address.
func (node *Node) RecordReplaced(engine fleet.Engine) {
	node.placing.Lock()
	until := node.pool.RecordReplaced(time.Now(), engine)
	node.placing.Unlock()
	node.left(engine, until, 0, "another engine answers at its address")
}

// RecordSuccess records that an engine answered as it should.
func (node *Node) RecordSuccess(engine fleet.Engine) {
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.RecordSuccess(engine)
}
