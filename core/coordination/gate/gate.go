package gate

import (
	"slices"
	"time"

	"cowslipway/core/coordination/fairqueue"
	"cowslipway/core/state/request"
)

const minRetryAfter = 100 * time.Millisecond // smallest retry delay of a rejection that has one

// Work is one attempt that is to run at the engine.
type Work struct {
	ID              string
	Account         string
	Entry           string // entry that sent the attempt
	Class           request.Class
	EstimatedTokens int64 // estimated cost of the attempt in tokens
	PromptTokens    int64
	Weight          float64   // of the account
	Deadline        time.Time // work that is expected to start later is rejected
	Preemptible     bool
	Suspect         bool   // does not run at the same time as another suspect
	GrantID         uint64 // grant that allows batch work
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Admit forwards the work to the engine.
	Admit ActionKind = iota + 1
	// Reject ends the work without executing it.
	Reject
	// Preempt cancels running batch work to free its slot.
	Preempt
)

// String returns the name of kind as test scripts print it.
func (kind ActionKind) String() string {
	return [...]string{Admit: "admit", Reject: "refuse", Preempt: "preempt"}[kind]
}

// Action is an action to carry out for the attempt ID.
type Action struct {
	Kind       ActionKind
	ID         string
	Reason     request.Reason // of Reject and Preempt
	RetryAfter time.Duration  // of Reject; 0 if retrying later does not help
}

// Gate schedules the work of one target. It is not safe for concurrent use. The actions that a method returns are
// valid until the next call.
type Gate struct {
	Slots         SlotLimit
	BatchLimit    BatchLimit
	Prefill       PrefillLimiter
	Grants        Grants
	MaxPerAccount int // queued online attempts of one account; 0 means no bound
	MaxQueued     int // queued online attempts of all accounts; 0 means no bound

	queue            fairqueue.Queue[Work] // online work that waits for a slot
	shares           accountShares
	waitingSuspects  []Work                // online work that waits until the running suspect has ended, oldest first
	runningSuspect   string                // ID of the suspect that runs; empty if none does
	running          map[string]*execution // by attempt ID
	online           int                   // running online attempts
	batch            int                   // running batch attempts without the preempted ones, whose slots are free again
	nonPreemptible   int                   // running batch attempts that cannot be preempted
	sequence         uint64                // number of attempts admitted so far
	meanDuration     time.Duration         // moving average of how long online attempts run
	meanPromptTokens int64                 // moving average over batch attempts
	draining         bool
	external         int      // requests at the engine that did not pass this gate
	loadKnown        bool     // a load report was received
	peakInFlight     int      // most running attempts since the last load report
	previousPeak     int      // most running attempts in the period between the two last load reports
	actions          []Action // of the current event
	unavailable      bool     // the engine does not answer
}

// execution is an admitted attempt that has not ended.
type execution struct {
	work      Work
	started   time.Time
	sequence  uint64 // position in the order of admissions
	preempted bool
}

// Submit queues, admits or rejects a new attempt. Online work is queued if no slot is free; batch work is not.
func (gate *Gate) Submit(now time.Time, work Work) []Action {
	gate.actions = gate.actions[:0]
	gate.queue.MaxPerAccount = gate.MaxPerAccount
	if gate.draining {
		return gate.reject(work.ID, request.ReasonDraining, 0)
	}
	if work.Class == request.Batch {
		return gate.submitBatch(now, work)
	}
	if gate.unavailable {
		return gate.reject(work.ID, request.ReasonEngineLost, 0)
	}
	gate.shares.recordArrival(now, work.Account, work.Weight)
	wait := gate.expectedWait(work.Account)
	if now.Add(wait).After(work.Deadline) {
		return gate.reject(work.ID, request.ReasonDeadline, max(minRetryAfter, wait))
	}
	if gate.MaxQueued > 0 && gate.queue.Len() >= gate.MaxQueued {
		return gate.reject(work.ID, request.ReasonOverloaded, max(minRetryAfter, wait))
	}
	if gate.queue.Push(work.Account, work.Weight, work.EstimatedTokens, work) != nil {
		return gate.reject(work.ID, request.ReasonOverloaded, max(minRetryAfter, wait))
	}
	gate.admitQueued(now)
	return gate.actions
}

// submitBatch admits batch work if its grant is valid and a slot is free, and rejects it otherwise.
func (gate *Gate) submitBatch(now time.Time, work Work) []Action {
	if !gate.Grants.Consume(now, work.GrantID, work.Entry) {
		return gate.reject(work.ID, request.ReasonNoGrant, 0)
	}
	if gate.freeBatchSlots() <= 0 || !work.Preemptible && gate.nonPreemptible >= gate.nonPreemptibleLimit() || work.Suspect && gate.runningSuspect != "" {
		return gate.reject(work.ID, request.ReasonPreempted, 0)
	}
	gate.Prefill.Reserve(now, work.PromptTokens)
	gate.meanPromptTokens += (work.PromptTokens - gate.meanPromptTokens) / promptAverageDivisor
	gate.admit(now, work)
	return gate.actions
}

const promptAverageDivisor = 8 // a new prompt has a weight of 1/8 in the moving average meanPromptTokens

// Finish records the end of running work and its actual cost in tokens. It ignores an ID that is not running.
func (gate *Gate) Finish(now time.Time, id string, tokens int64) []Action {
	gate.actions = gate.actions[:0]
	execution, ok := gate.running[id]
	if !ok {
		return nil
	}
	gate.release(execution)
	if execution.work.Class == request.Online {
		gate.queue.Charge(execution.work.Account, tokens-execution.work.EstimatedTokens)
		gate.recordDuration(now.Sub(execution.started))
	}
	gate.admitQueued(now)
	return gate.actions
}

// Cancel removes waiting online work. It reports false if the work was not waiting, for instance because it was
// already admitted.
func (gate *Gate) Cancel(account, id string) (removed bool) {
	if _, removed = gate.queue.Remove(account, func(work Work) bool { return work.ID == id }); removed {
		return true
	}
	for i, work := range gate.waitingSuspects {
		if work.ID == id {
			gate.waitingSuspects = slices.Delete(gate.waitingSuspects, i, i+1)
			return true
		}
	}
	return false
}

// ReportLoad processes the engine's report of how many requests run and wait there. The report lags behind the gate's
// state, so only requests beyond the largest number of attempts that were running since the report before the last one
// count as external.
func (gate *Gate) ReportLoad(now time.Time, running, waiting int) []Action {
	gate.actions = gate.actions[:0]
	gate.loadKnown, gate.unavailable = true, false
	inFlight := len(gate.running)
	gate.external = max(0, running+waiting-max(gate.peakInFlight, gate.previousPeak, inFlight))
	saturated := gate.previousPeak+gate.external >= gate.Slots.Limit()
	mixed := gate.online > 0 && gate.batch > 0
	gate.Slots.Observe(running, waiting, saturated, mixed)
	gate.previousPeak, gate.peakInFlight = gate.peakInFlight, inFlight
	gate.admitQueued(now)
	return gate.actions
}

// MarkUnavailable records that the engine does not answer. It rejects the waiting online work. Until
// the next load report, it also rejects all new online work and issues no grants, but still admits batch work with
// a valid grant.
func (gate *Gate) MarkUnavailable() []Action {
	gate.actions = gate.actions[:0]
	gate.unavailable = true
	gate.rejectQueued(request.ReasonEngineLost)
	return gate.actions
}

// Tick adapts the limits of batch work to the latency of online work since the last tick, preempts preemptible batch work
// above its limit, and removes expired grants and idle accounts.
func (gate *Gate) Tick(now time.Time, latency Latency) []Action {
	gate.actions = gate.actions[:0]
	gate.Grants.Expire(now)
	gate.shares.removeIdle(now)
	gate.BatchLimit.Observe(latency, gate.online, gate.batch, gate.Slots.Limit())
	if latency.Samples > 0 {
		gate.Prefill.AdjustRate(now, exceedsTarget(latency.FirstToken, gate.BatchLimit.FirstTokenTarget, 1))
	}
	for gate.batch > gate.batchLimit() {
		if !gate.preemptYoungest() {
			break
		}
	}
	gate.admitQueued(now)
	return gate.actions
}

// Drain rejects the waiting and all new work and preempts the preemptible batch work. Other running work continues.
func (gate *Gate) Drain() []Action {
	gate.actions = gate.actions[:0]
	gate.draining = true
	gate.rejectQueued(request.ReasonDraining)
	gate.preemptDownTo(0)
	return gate.actions
}

// PreemptEntry preempts the preemptible batch work of an entry that no longer sends messages, and revokes its grants.
func (gate *Gate) PreemptEntry(entry string) []Action {
	gate.actions = gate.actions[:0]
	gate.Grants.Revoke(entry)
	for _, execution := range gate.running {
		if execution.work.Entry == entry && execution.work.Class == request.Batch && execution.work.Preemptible && !execution.preempted {
			gate.preemptExecution(execution)
		}
	}
	return gate.actions
}

// Grant issues a grant for free batch slots to entry; backlog is the number of batch items that wait there. It reports
// false if it has no slot to grant, and while the gate drains, or the engine does not answer or has not reported its load
// yet.
func (gate *Gate) Grant(now time.Time, entry string, backlog int) (grant Grant, ok bool) {
	if gate.draining || gate.unavailable || !gate.loadKnown {
		return Grant{}, false
	}
	gate.Grants.Expire(now)
	free := min(backlog-gate.Grants.OutstandingFor(entry), gate.freeBatchSlots()-gate.Grants.Outstanding())
	if gate.online > 0 && free > 0 {
		outstanding := gate.Grants.Outstanding()
		free = gate.Prefill.Available(now, gate.meanPromptTokens, free+outstanding) - outstanding
	}
	if free <= 0 {
		return Grant{}, false
	}
	return gate.Grants.Issue(now, entry, free), true
}

// Status is a snapshot of the state of a gate.
type Status struct {
	Slots    int // slot limit less the external requests
	Online   int // running online attempts
	Batch    int // running batch attempts that are not preempted
	Queued   int // online attempts waiting for a slot
	Draining bool
	Healthy  bool // the engine reported its load and answers
}

// Status returns the state of the gate.
func (gate *Gate) Status() Status {
	return Status{
		Slots:    gate.slotLimit(),
		Online:   gate.online,
		Batch:    gate.batch,
		Queued:   gate.queue.Len(),
		Draining: gate.draining,
		Healthy:  gate.loadKnown && !gate.unavailable,
	}
}

// Running returns the number of attempts at the engine, including preempted ones that have not ended.
func (gate *Gate) Running() int { return len(gate.running) }

// admitQueued admits queued online work and preempts batch work if no slot is free. Batch work that cannot be
// preempted does not delay online work: the engine then runs a few requests more than its limit.
func (gate *Gate) admitQueued(now time.Time) {
	if !gate.loadKnown || gate.unavailable {
		return
	}
	if gate.online > 0 {
		// The capacity may have dropped since the batch work was admitted.
		gate.preemptDownTo(gate.capacity())
	}
	for gate.queue.Len() > 0 && gate.ensureOnlineSlot() {
		work, _ := gate.queue.Pop()
		if work.Suspect && gate.runningSuspect != "" {
			gate.waitingSuspects = append(gate.waitingSuspects, work)
			continue
		}
		gate.admit(now, work)
	}
}

// ensureOnlineSlot preempts batch work for the next queued online work and reports whether that work may be
// admitted. Online work is limited to the known capacity of the engine. Slots above the capacity are used only by batch
// work, to find out whether the engine can run more; this excess is preempted first. The last free slots are reserved for
// accounts below their share.
func (gate *Gate) ensureOnlineSlot() (ok bool) {
	limit := gate.capacity()
	account, _ := gate.queue.NextAccount()
	reserved := limit-gate.online <= gate.shareReserve(limit) && gate.shares.atShare(account, limit)
	if gate.online >= limit || reserved {
		// Preemptible batch work must not run while online work waits.
		gate.preemptDownTo(0)
		return false
	}
	gate.preemptDownTo(limit - 1)
	return true
}

// preemptDownTo preempts batch work until no more than total slots are in use or no preemptible work is left.
func (gate *Gate) preemptDownTo(total int) {
	for gate.online+gate.batch > total && gate.preemptYoungest() {
	}
}

const shareReserveDivisor = 16 // 1/16 of the slots is reserved for accounts below their share

// shareReserve returns the number of slots reserved for accounts below their share, at least 1, or 0 if
// there are fewer than two accounts.
func (gate *Gate) shareReserve(limit int) int {
	if gate.shares.count() < 2 {
		return 0
	}
	return max(1, limit/shareReserveDivisor)
}

func (gate *Gate) admit(now time.Time, work Work) {
	if gate.running == nil {
		gate.running = map[string]*execution{}
	}
	gate.sequence++
	if work.Suspect {
		gate.runningSuspect = work.ID
	}
	gate.running[work.ID] = &execution{work: work, started: now, sequence: gate.sequence}
	switch {
	case work.Class == request.Online:
		gate.online++
		gate.shares.recordStart(work.Account)
	case work.Preemptible:
		gate.batch++
	default:
		gate.batch++
		gate.nonPreemptible++
	}
	gate.peakInFlight = max(gate.peakInFlight, len(gate.running))
	gate.actions = append(gate.actions, Action{Kind: Admit, ID: work.ID})
}

// preemptYoungest preempts the batch work that was admitted last, which loses the least progress. It reports false if
// there is no preemptible batch work.
func (gate *Gate) preemptYoungest() (ok bool) {
	var youngest *execution
	if gate.batch == 0 {
		return false
	}
	for _, execution := range gate.running {
		if execution.work.Class != request.Batch || execution.preempted || !execution.work.Preemptible {
			continue
		}
		if youngest == nil || execution.sequence > youngest.sequence {
			youngest = execution
		}
	}
	if youngest == nil {
		return false
	}
	gate.preemptExecution(youngest)
	return true
}

func (gate *Gate) preemptExecution(execution *execution) {
	execution.preempted = true
	gate.batch--
	gate.actions = append(gate.actions, Action{Kind: Preempt, ID: execution.work.ID, Reason: request.ReasonPreempted})
}

func (gate *Gate) release(execution *execution) {
	delete(gate.running, execution.work.ID)
	if gate.runningSuspect == execution.work.ID {
		gate.requeueSuspect()
	}
	switch {
	case execution.work.Class == request.Online:
		gate.online--
		gate.shares.recordEnd(execution.work.Account)
	case !execution.work.Preemptible:
		gate.batch--
		gate.nonPreemptible--
	case !execution.preempted:
		gate.batch--
	}
}

// requeueSuspect moves the suspect that has waited longest back into the queue after the running one has ended.
func (gate *Gate) requeueSuspect() {
	gate.runningSuspect = ""
	if len(gate.waitingSuspects) == 0 {
		return
	}
	next := gate.waitingSuspects[0]
	gate.waitingSuspects = gate.waitingSuspects[1:]
	// The estimated cost was charged when the suspect was taken from the queue before.
	if gate.queue.Push(next.Account, next.Weight, 1, next) != nil {
		gate.reject(next.ID, request.ReasonOverloaded, minRetryAfter)
	}
}

func (gate *Gate) reject(id string, reason request.Reason, retryAfter time.Duration) []Action {
	gate.actions = append(gate.actions, Action{Kind: Reject, ID: id, Reason: reason, RetryAfter: retryAfter})
	return gate.actions
}

func (gate *Gate) rejectQueued(reason request.Reason) {
	for {
		work, ok := gate.queue.Pop()
		if !ok {
			break
		}
		gate.reject(work.ID, reason, 0)
	}
	for _, work := range gate.waitingSuspects {
		gate.reject(work.ID, reason, 0)
	}
	gate.waitingSuspects = nil
}

// slotLimit returns the slot limit less the external requests, at least 1.
func (gate *Gate) slotLimit() int { return max(1, gate.Slots.Limit()-gate.external) }

// batchLimit returns how many batch attempts may run at once.
func (gate *Gate) batchLimit() int { return gate.BatchLimit.Limit(gate.online, gate.slotLimit()) }

// freeBatchSlots returns how many more batch attempts may be admitted; 0 or less means none.
func (gate *Gate) freeBatchSlots() int {
	if gate.queue.Len() > 0 {
		return 0
	}
	limit := gate.slotLimit()
	if gate.online > 0 {
		capacity := gate.capacity()
		limit = min(limit, capacity-capacity/onlineReserveDivisor)
	}
	return min(gate.batchLimit(), limit-gate.online) - gate.batch
}

// onlineReserveDivisor sets the share of the capacity, 1/32, that batch work leaves free while online work runs, so
// that most online arrivals find a free slot without preemption.
const onlineReserveDivisor = 32

const nonPreemptibleDivisor = 4 // at most 1/4 of the slots run batch work that cannot be preempted

func (gate *Gate) nonPreemptibleLimit() int { return max(1, gate.slotLimit()/nonPreemptibleDivisor) }

const durationWeight = 0.05 // weight of a new sample in the moving average meanDuration

func (gate *Gate) recordDuration(sample time.Duration) {
	if gate.meanDuration == 0 {
		gate.meanDuration = sample
		return
	}
	gate.meanDuration += time.Duration(durationWeight * float64(sample-gate.meanDuration))
}

// expectedWait estimates how long new online work of account waits for a slot. Fair queueing serves it after at most
// one round over the waiting accounts for each of the account's queued attempts and itself, and never after more
// than the whole queue.
func (gate *Gate) expectedWait(account string) time.Duration {
	if gate.queue.Len() == 0 {
		return 0
	}
	ahead := min(gate.queue.Len(), (gate.queue.LenOf(account)+1)*gate.queue.Accounts())
	return time.Duration(ahead) * gate.meanDuration / time.Duration(gate.slotLimit())
}

// capacity returns the known capacity of the engine less the external requests, at least 1.
func (gate *Gate) capacity() int { return max(1, gate.Slots.Capacity()-gate.external) }
