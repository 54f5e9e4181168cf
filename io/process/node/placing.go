package node

import (
	"context"
	"slices"
	"time"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
)

const (
	tickPeriod   = 25 * time.Millisecond  // between two looks at the queue; a request holds a slot for 700 ms
	tellPeriod   = 200 * time.Millisecond // counts are sent at least that often, since datagrams get lost
	urgentPeriod = 3 * time.Millisecond   // urgent counts are sent no closer together
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
	node.hand(node.pool.Tick(time.Now()))
}

// heard takes in another process's counts.
func (node *Node) heard(peer string, counts []placement.Counts) {
	node.placing.Lock()
	node.pool.Hear(peer, counts)
	node.hand(node.pool.Tick(time.Now()))
	yields := node.pool.Yields(time.Now())
	node.placing.Unlock()
	node.yield(yields)
}

// reported takes in what an engine says of itself.
func (node *Node) reported(engine string, running, waiting int) {
	now := time.Now()
	node.placing.Lock()
	node.pool.Report(engine, running+waiting)
	yields := node.pool.Yields(now)
	node.placing.Unlock()
	node.yield(yields)
}

// Report tells the others what runs and waits at the engine on this VM.
func (node *Node) Report(running, waiting int) { node.mesh.Report(running, waiting) }

func (node *Node) yield(yields map[uint64]int) {
	if len(yields) > 0 && node.Yield != nil {
		node.Yield(yields)
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
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			node.directory.expire(now)
			node.placing.Lock()
			if node.pool.Waiting() > 0 {
				node.hand(node.pool.Tick(now))
			}
			yields := node.pool.Yields(now)
			node.placing.Unlock()
			node.yield(yields)
			node.tell(now, false)
		}
	}
}

// tell sends the counts to the others where they have changed or time has passed.
func (node *Node) tell(now time.Time, urgent bool) {
	node.placing.Lock()
	counts := node.pool.Own()
	passed := now.Sub(node.toldAt)
	changed := !slices.Equal(counts, node.told)
	if passed < urgentPeriod || !urgent && !changed && passed < tellPeriod {
		node.placing.Unlock()
		return
	}
	node.told, node.toldAt = counts, now
	node.placing.Unlock()
	node.mesh.Tell(counts)
}

// Acquire finds an engine for an online request; it waits in the queue where that can help.
func (node *Node) Acquire(ctx context.Context, want placement.Want) (decision placement.Decision, err error) {
	now := time.Now()
	node.placing.Lock()
	decision = node.pool.Online(now, want)
	if decision.Ticket == 0 {
		node.placing.Unlock()
		if decision.Urgent {
			node.tell(now, true)
		}
		return decision, nil
	}
	granted := make(chan placement.Decision, 1)
	node.tickets[decision.Ticket] = granted
	node.placing.Unlock()
	select {
	case decision = <-granted:
	case <-ctx.Done():
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
		node.tell(time.Now(), true)
	}
	return decision, nil
}

// AcquireBatch finds an engine that can take a batch item now.
func (node *Node) AcquireBatch(want placement.Want) (engine fleet.Engine, ok bool) {
	node.placing.Lock()
	defer node.placing.Unlock()
	return node.pool.Batch(time.Now(), want)
}

// Release gives a slot back.
func (node *Node) Release(engine fleet.Engine, batch bool) {
	now := time.Now()
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.Release(now, engine, batch)
	if node.pool.Waiting() > 0 {
		node.hand(node.pool.Tick(now))
	}
}

// Failed records that an engine did not answer as it should.
func (node *Node) Failed(engine fleet.Engine) {
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.Failed(time.Now(), engine)
}

// Gone records that another engine answers at the engine's address.
func (node *Node) Gone(engine fleet.Engine) {
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.Gone(time.Now(), engine)
}

// Served records that an engine answered as it should.
func (node *Node) Served(engine fleet.Engine) {
	node.placing.Lock()
	defer node.placing.Unlock()
	node.pool.Served(engine)
}
