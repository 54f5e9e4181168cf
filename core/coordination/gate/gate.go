package gate

import (
	"slices"
	"time"

	"cowslipway/core/coordination/fairqueue"
	"cowslipway/core/state/request"
)

const minRetryAfter = 100 * time.Millisecond

// Work is one attempt as the gate sees it.
type Work struct {
	ID              string
	Account         string
	Entry           string // who sent it
	Class           request.Class
	EstimatedTokens int64 // estimate of what it costs
	PromptTokens    int64 // tokens of the prompt
	Weight          float64
	Deadline        time.Time
	Preemptible     bool
	Suspect         bool // runs beside no other suspect
	GrantID         uint64
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	// Admit forwards the work to the engine.
	Admit ActionKind = iota + 1
	// Reject ends the work as not run.
	Reject
	// Preempt cancels running work so that online work gets its slot.
	Preempt
)

// String returns the name of kind as it stands in scripts.
func (kind ActionKind) String() string {
	return [...]string{Admit: "admit", Reject: "refuse", Preempt: "preempt"}[kind]
}

// Action is one thing to do after an event.
type Action struct {
	Kind       ActionKind
	ID         string
	Reason     request.Reason
	RetryAfter time.Duration
}

// Gate orders the work of one target before its engine.
type Gate struct {
	Slots         SlotLimit
	BatchLimit    BatchLimit
	Prefill       PrefillLimiter
	Grants        Grants
	MaxPerAccount int // online items queued for one account
	MaxQueued     int // online items queued in all

	queue      fairqueue.Queue[Work]
	shares     shares
	suspects   []Work // wait until the suspect that runs has ended
	isolated   string // the suspect that runs
	running    map[string]*run
	online     int
	batch      int // preempted work not counted: its slot is given away already
	pinned     int // batch work that can not be preempted
	sequence   uint64
	meanRun    time.Duration
	meanPrompt int64 // tokens in the prompt of a batch item
	draining   bool
	foreign    int // requests at the engine that are not the gate's
	learned    bool
	peakOwn    int // most requests in flight since the report before the last
	lastOwn    int
	actions    []Action
	suspended  bool // engine is not answering
}

type run struct {
	work      Work
	started   time.Time
	sequence  uint64
	preempted bool
}

// Submit takes a new attempt.
func (gate *Gate) Submit(now time.Time, work Work) []Action {
	gate.actions = gate.actions[:0]
	gate.queue.MaxPerAccount = gate.MaxPerAccount
	if gate.draining {
		return gate.refuse(work.ID, request.ReasonDraining, 0)
	}
	if work.Class == request.Batch {
		return gate.arriveBatch(now, work)
	}
	if gate.suspended {
		return gate.refuse(work.ID, request.ReasonEngineLost, 0)
	}
	gate.shares.arrive(now, work.Account, work.Weight)
	wait := gate.expectedWait(work.Account)
	if now.Add(wait).After(work.Deadline) {
		return gate.refuse(work.ID, request.ReasonDeadline, max(minRetryAfter, wait))
	}
	if gate.MaxQueued > 0 && gate.queue.Len() >= gate.MaxQueued {
		return gate.refuse(work.ID, request.ReasonOverloaded, max(minRetryAfter, wait))
	}
	if gate.queue.Push(work.Account, work.Weight, work.EstimatedTokens, work) != nil {
		return gate.refuse(work.ID, request.ReasonOverloaded, max(minRetryAfter, wait))
	}
	gate.fill(now)
	return gate.actions
}

func (gate *Gate) arriveBatch(now time.Time, work Work) []Action {
	if !gate.Grants.Consume(now, work.GrantID, work.Entry) {
		return gate.refuse(work.ID, request.ReasonNoGrant, 0)
	}
	if gate.batchRoom() <= 0 || !work.Preemptible && gate.pinned >= gate.pinnedLimit() || work.Suspect && gate.isolated != "" {
		return gate.refuse(work.ID, request.ReasonPreempted, 0)
	}
	gate.Prefill.Reserve(now, work.PromptTokens)
	gate.meanPrompt += (work.PromptTokens - gate.meanPrompt) / meanPromptParts
	gate.admit(now, work)
	return gate.actions
}

const meanPromptParts = 8 // one part in so many of the moving average is the newest prompt

// Finish records that running work has ended with its true cost in tokens.
func (gate *Gate) Finish(now time.Time, id string, tokens int64) []Action {
	gate.actions = gate.actions[:0]
	run, ok := gate.running[id]
	if !ok {
		return nil
	}
	gate.release(run)
	if run.work.Class == request.Online {
		gate.queue.Charge(run.work.Account, tokens-run.work.EstimatedTokens)
		gate.learnRun(now.Sub(run.started))
	}
	gate.fill(now)
	return gate.actions
}

// Cancel removes work that still waits; it reports whether the work had not been admitted.
func (gate *Gate) Cancel(account, id string) (removed bool) {
	if _, removed = gate.queue.Remove(account, func(work Work) bool { return work.ID == id }); removed {
		return true
	}
	for i, work := range gate.suspects {
		if work.ID == id {
			gate.suspects = slices.Delete(gate.suspects, i, i+1)
			return true
		}
	}
	return false
}

// ReportLoad takes the engine's load report, which lags behind.
func (gate *Gate) ReportLoad(now time.Time, running, waiting int) []Action {
	gate.actions = gate.actions[:0]
	gate.learned, gate.suspended = true, false
	own := len(gate.running)
	gate.foreign = max(0, running+waiting-max(gate.peakOwn, gate.lastOwn, own))
	saturated := gate.lastOwn+gate.foreign >= gate.Slots.Limit()
	gently := gate.online > 0 && gate.batch > 0
	gate.Slots.Observe(running, waiting, saturated, gently)
	gate.lastOwn, gate.peakOwn = gate.peakOwn, own
	gate.fill(now)
	return gate.actions
}

// MarkUnavailable stops admission until the next report: the engine does not answer.
func (gate *Gate) MarkUnavailable() []Action {
	gate.actions = gate.actions[:0]
	gate.suspended = true
	gate.refuseQueued(request.ReasonEngineLost)
	return gate.actions
}

// Tick adapts the share of batch to the latency that online work saw since the last tick.
func (gate *Gate) Tick(now time.Time, latency Latency) []Action {
	gate.actions = gate.actions[:0]
	gate.Grants.Expire(now)
	gate.shares.sweep(now)
	gate.BatchLimit.Observe(latency, gate.online, gate.batch, gate.Slots.Limit())
	if latency.Samples > 0 {
		gate.Prefill.AdjustRate(now, over(latency.FirstToken, gate.BatchLimit.FirstTokenTarget, 1))
	}
	for gate.batch > gate.batchLimit() {
		if !gate.preempt() {
			break
		}
	}
	gate.fill(now)
	return gate.actions
}

// Drain refuses what waits and everything that comes from now on, and preempts batch work.
func (gate *Gate) Drain() []Action {
	gate.actions = gate.actions[:0]
	gate.draining = true
	gate.refuseQueued(request.ReasonDraining)
	gate.preemptDownTo(0)
	return gate.actions
}

// PreemptEntry preempts the batch work of an entry that was not heard of for too long.
func (gate *Gate) PreemptEntry(entry string) []Action {
	gate.actions = gate.actions[:0]
	gate.Grants.Revoke(entry)
	for _, run := range gate.running {
		if run.work.Entry == entry && run.work.Class == request.Batch && run.work.Preemptible && !run.preempted {
			gate.preemptRun(run)
		}
	}
	return gate.actions
}

// Grant offers free batch slots to entry, which has backlog for that many items.
func (gate *Gate) Grant(now time.Time, entry string, backlog int) (grant Grant, ok bool) {
	if gate.draining || gate.suspended || !gate.learned {
		return Grant{}, false
	}
	gate.Grants.Expire(now)
	free := min(backlog-gate.Grants.OutstandingFor(entry), gate.batchRoom()-gate.Grants.Outstanding())
	if gate.online > 0 && free > 0 {
		open := gate.Grants.Outstanding()
		free = gate.Prefill.Available(now, gate.meanPrompt, free+open) - open
	}
	if free <= 0 {
		return Grant{}, false
	}
	return gate.Grants.Issue(now, entry, free), true
}

// Status is the state of a gate as others see it.
type Status struct {
	Slots    int
	Online   int
	Batch    int
	Queued   int
	Draining bool
	Healthy  bool
}

// Status returns the state of the gate.
func (gate *Gate) Status() Status {
	return Status{
		Slots:    gate.limit(),
		Online:   gate.online,
		Batch:    gate.batch,
		Queued:   gate.queue.Len(),
		Draining: gate.draining,
		Healthy:  gate.learned && !gate.suspended,
	}
}

// Running returns the number of attempts at the engine.
func (gate *Gate) Running() int { return len(gate.running) }

// fill admits waiting online work, taking slots from batch where none is free. Batch work that can't be
// preempted does not keep online work out either: the engine then runs a little more than its limit.
func (gate *Gate) fill(now time.Time) {
	if !gate.learned || gate.suspended {
		return
	}
	if gate.online > 0 {
		// The limit may have fallen since batch work was admitted.
		gate.preemptDownTo(gate.known())
	}
	for gate.queue.Len() > 0 && gate.makeRoom() {
		work, _ := gate.queue.Pop()
		if work.Suspect && gate.isolated != "" {
			gate.suspects = append(gate.suspects, work)
			continue
		}
		gate.admit(now, work)
	}
}

// makeRoom reports whether the next online work may be admitted. The limit that it is held to is the one that
// the engine was found to run; only batch work tries more than that, and makes way first. The last free slots
// are kept for accounts that have less than their share.
func (gate *Gate) makeRoom() (ok bool) {
	limit := gate.known()
	account, _ := gate.queue.NextAccount()
	reserved := limit-gate.online <= gate.shareReserve(limit) && gate.shares.exceeds(account, limit)
	if gate.online >= limit || reserved {
		// Whatever online work waits for, it is not batch work.
		gate.preemptDownTo(0)
		return false
	}
	gate.preemptDownTo(limit - 1)
	return true
}

// preemptDownTo takes slots from batch work until no more than total are in use, or none can be taken.
func (gate *Gate) preemptDownTo(total int) {
	for gate.online+gate.batch > total && gate.preempt() {
	}
}

const shareReserveShare = 16 // one slot in so many is kept for accounts under their share

func (gate *Gate) shareReserve(limit int) int {
	if gate.shares.accounts() < 2 {
		return 0
	}
	return max(1, limit/shareReserveShare)
}

func (gate *Gate) admit(now time.Time, work Work) {
	if gate.running == nil {
		gate.running = map[string]*run{}
	}
	gate.sequence++
	if work.Suspect {
		gate.isolated = work.ID
	}
	gate.running[work.ID] = &run{work: work, started: now, sequence: gate.sequence}
	switch {
	case work.Class == request.Online:
		gate.online++
		gate.shares.begin(work.Account)
	case work.Preemptible:
		gate.batch++
	default:
		gate.batch++
		gate.pinned++
	}
	gate.peakOwn = max(gate.peakOwn, len(gate.running))
	gate.actions = append(gate.actions, Action{Kind: Admit, ID: work.ID})
}

// preempt takes the slot of the youngest batch work, which loses the least by it.
func (gate *Gate) preempt() (ok bool) {
	var youngest *run
	if gate.batch == 0 {
		return false
	}
	for _, run := range gate.running {
		if run.work.Class != request.Batch || run.preempted || !run.work.Preemptible {
			continue
		}
		if youngest == nil || run.sequence > youngest.sequence {
			youngest = run
		}
	}
	if youngest == nil {
		return false
	}
	gate.preemptRun(youngest)
	return true
}

func (gate *Gate) preemptRun(run *run) {
	run.preempted = true
	gate.batch--
	gate.actions = append(gate.actions, Action{Kind: Preempt, ID: run.work.ID, Reason: request.ReasonPreempted})
}

func (gate *Gate) release(run *run) {
	delete(gate.running, run.work.ID)
	if gate.isolated == run.work.ID {
		gate.nextSuspect()
	}
	switch {
	case run.work.Class == request.Online:
		gate.online--
		gate.shares.end(run.work.Account)
	case !run.work.Preemptible:
		gate.batch--
		gate.pinned--
	case !run.preempted:
		gate.batch--
	}
}

// nextSuspect puts the suspect that waited for longest back into the queue.
func (gate *Gate) nextSuspect() {
	gate.isolated = ""
	if len(gate.suspects) == 0 {
		return
	}
	next := gate.suspects[0]
	gate.suspects = gate.suspects[1:]
	if gate.queue.Push(next.Account, next.Weight, 1, next) != nil {
		gate.refuse(next.ID, request.ReasonOverloaded, minRetryAfter)
	}
}

func (gate *Gate) refuse(id string, reason request.Reason, retryAfter time.Duration) []Action {
	gate.actions = append(gate.actions, Action{Kind: Reject, ID: id, Reason: reason, RetryAfter: retryAfter})
	return gate.actions
}

func (gate *Gate) refuseQueued(reason request.Reason) {
	for {
		work, ok := gate.queue.Pop()
		if !ok {
			break
		}
		gate.refuse(work.ID, reason, 0)
	}
	for _, work := range gate.suspects {
		gate.refuse(work.ID, reason, 0)
	}
	gate.suspects = nil
}

func (gate *Gate) limit() int { return max(1, gate.Slots.Limit()-gate.foreign) }

func (gate *Gate) batchLimit() int { return gate.BatchLimit.Limit(gate.online, gate.limit()) }

func (gate *Gate) batchRoom() int {
	if gate.queue.Len() > 0 {
		return 0
	}
	limit := gate.limit()
	if gate.online > 0 {
		known := gate.known()
		limit = min(limit, known-known/onlineReserveShare)
	}
	return min(gate.batchLimit(), limit-gate.online) - gate.batch
}

// onlineReserveShare keeps one slot in so many free while online work runs, so that most arrivals need not
// preempt.
const onlineReserveShare = 32

const pinnedShare = 4 // one slot in so many may hold batch work that can't be preempted

func (gate *Gate) pinnedLimit() int { return max(1, gate.limit()/pinnedShare) }

const meanRunShare = 0.05 // of a new sample in the moving average

func (gate *Gate) learnRun(sample time.Duration) {
	if gate.meanRun == 0 {
		gate.meanRun = sample
		return
	}
	gate.meanRun += time.Duration(meanRunShare * float64(sample-gate.meanRun))
}

// expectedWait estimates how long new work of account waits: fair queueing serves it no later than after
// its own backlog in rounds over the waiting accounts, and no later than after everything queued.
func (gate *Gate) expectedWait(account string) time.Duration {
	if gate.queue.Len() == 0 {
		return 0
	}
	ahead := min(gate.queue.Len(), (gate.queue.LenOf(account)+1)*gate.queue.Accounts())
	return time.Duration(ahead) * gate.meanRun / time.Duration(gate.limit())
}

// known returns how many requests the engine was found to run at once beside those of others.
func (gate *Gate) known() int { return max(1, gate.Slots.Capacity()-gate.foreign) }
