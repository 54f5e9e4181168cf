package target

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/gate"
	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/request"
	"cowslipway/io/protocol/engine"
	"cowslipway/io/protocol/peer"
)

const (
	entryTimeout     = 2 * time.Second // without a word, after which an entry's batch work is stopped
	crashQuarantine  = 5 * time.Second
	cancelMemory     = 10 * time.Minute
	failedReports    = 2 // in a row, after which an engine counts as lost
	heartbeatPeriod  = time.Second
	linkBacklog      = 32
	loadChangeShare  = 8 // of the slots, in parts; a smaller change of load waits for the heartbeat
	suspectsInReport = 512
)

// event is something that the control goroutine has to know.
type event interface {
	apply(control *control)
}

func (daemon *Daemon) send(event event) { daemon.control <- event }

// control is the state that belongs to the control goroutine.
type control struct {
	daemon   *Daemon
	now      time.Time
	waiting  map[string]*waiter // by attempt, queued or running
	links    map[string]*link   // by entry
	tracker  poisonpill.Tracker
	failures map[*target]int       // failed load reports in a row
	crashes  map[*target]time.Time // last loss of an engine with work in flight
	// cancelled holds the jobs whose items are refused until their owner must have heard of it.
	cancelled map[string]time.Time
}

// waiter is the attempt goroutine's end of a decision.
type waiter struct {
	decision chan gate.Action // receives one Admit or Reject
	cancel   context.CancelCauseFunc
	job      string // of a batch item
	isolated bool   // belongs to the control goroutine: runs beside no other suspect
}

// link is the control stream of one entry.
type link struct {
	out      chan any // peer.Report or peer.Configuration
	backlog  map[string]int
	heard    time.Time
	reported map[string]peer.Load
	sent     time.Time
}

func (daemon *Daemon) runControl(ctx context.Context) {
	control := &control{
		daemon:   daemon,
		waiting:  map[string]*waiter{},
		links:    map[string]*link{},
		tracker:  poisonpill.Tracker{MaxSuspects: maxSuspects, MaxQuarantined: maxVerdicts},
		failures: map[*target]int{},
		crashes:  map[*target]time.Time{},

		cancelled: map[string]time.Time{},
	}
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-daemon.control:
			control.now = time.Now()
			event.apply(control)
		case now := <-ticker.C:
			control.now = now
			control.tick()
		}
	}
}

// carryOut does what a gate decided and publishes its new state.
func (control *control) carryOut(target *target, actions []gate.Action) {
	for _, action := range actions {
		waiter, ok := control.waiting[action.ID]
		if !ok {
			continue
		}
		switch action.Kind {
		case gate.Admit:
			waiter.decision <- action
		case gate.Reject:
			delete(control.waiting, action.ID)
			waiter.decision <- action
		case gate.Preempt:
			waiter.cancel(errPreempted)
		}
	}
	status := target.gate.Status()
	target.status.Store(&status)
}

func (control *control) tick() {
	for name, link := range control.links {
		if control.now.Sub(link.heard) > entryTimeout {
			control.cancelEntry(name)
		}
	}
	for _, target := range control.daemon.targets {
		control.carryOut(target, target.gate.Tick(control.now, target.meter.take()))
	}
	for job, until := range control.cancelled {
		if control.now.After(until) {
			delete(control.cancelled, job)
		}
	}
	control.report(false)
}

// cancelEntry stops the batch work of an entry that is gone, paused or cut off.
func (control *control) cancelEntry(name string) {
	for _, target := range control.daemon.targets {
		control.carryOut(target, target.gate.PreemptEntry(name))
	}
	if link, ok := control.links[name]; ok {
		clear(link.backlog)
	}
}

// report tells each entry what changed: grants at once, load when it has changed much or the heartbeat is due.
func (control *control) report(urgent bool) {
	for name, link := range control.links {
		report := peer.Report{Version: control.daemon.configurations.Current().Version}
		due := urgent || control.now.Sub(link.sent) >= heartbeatPeriod
		for _, target := range control.daemon.targets {
			load := target.report()
			if due || differs(load, link.reported[load.Target]) {
				report.Loads = append(report.Loads, load)
			}
			if grant, ok := control.grant(target, name, link); ok {
				report.Grants = append(report.Grants, grant)
			}
		}
		if len(report.Loads)+len(report.Grants) == 0 {
			continue
		}
		control.deliver(link, report)
	}
}

func (control *control) deliver(link *link, report peer.Report) {
	select {
	case link.out <- report:
	default:
		return // the entry does not read; the next report tells the same
	}
	link.sent = control.now
	for _, load := range report.Loads {
		link.reported[load.Target] = load
	}
}

func (control *control) grant(target *target, entry string, link *link) (grant peer.Grant, ok bool) {
	backlog := link.backlog[target.settings.Service]
	if backlog == 0 || control.now.Sub(link.heard) > entryTimeout {
		return peer.Grant{}, false
	}
	given, ok := target.gate.Grant(control.now, entry, backlog)
	if !ok {
		return peer.Grant{}, false
	}
	return peer.Grant{ID: given.ID, Target: target.settings.Name, Slots: given.Slots, Lifetime: given.Lifetime}, true
}

func differs(a, b peer.Load) bool {
	if a.Draining != b.Draining || a.Healthy != b.Healthy || a.Slots != b.Slots {
		return true
	}
	change := (a.Online + a.Queued) - (b.Online + b.Queued)
	return max(change, -change)*loadChangeShare > a.Slots
}

func (target *target) report() peer.Load {
	status := target.status.Load()
	return peer.Load{
		Target:   target.settings.Name,
		Slots:    status.Slots,
		Online:   status.Online,
		Batch:    status.Batch,
		Queued:   status.Queued,
		Draining: status.Draining,
		Healthy:  status.Healthy,
	}
}

// arriveEvent is a new attempt.
type arriveEvent struct {
	target      *target
	work        gate.Work
	fingerprint uint64
	waiter      *waiter
}

func (event arriveEvent) apply(control *control) {
	if control.tracker.Quarantined(control.now, event.fingerprint) {
		event.waiter.decision <- gate.Action{Kind: gate.Reject, ID: event.work.ID, Reason: request.ReasonPoisonPill}
		return
	}
	if _, cancelled := control.cancelled[event.waiter.job]; cancelled {
		event.waiter.decision <- gate.Action{Kind: gate.Reject, ID: event.work.ID, Reason: request.ReasonCancelled}
		return
	}
	if event.work.Suspect {
		control.tracker.AddSuspect(control.now, event.fingerprint)
	}
	work := event.work
	work.Suspect = control.tracker.Suspect(control.now, event.fingerprint)
	event.waiter.isolated = work.Suspect
	control.waiting[work.ID] = event.waiter
	control.carryOut(event.target, event.target.gate.Submit(control.now, work))
}

// finishEvent is the end of an admitted attempt; the answer tells the load and perhaps a new grant.
type finishEvent struct {
	target      *target
	work        gate.Work
	tokens      int64
	fingerprint uint64
	crashed     bool // the engine was lost while it ran
	completed   bool
	reply       chan finishReply // nil where no answer is wanted
}

type finishReply struct {
	grant     peer.Grant
	condemned bool
}

func (event finishEvent) apply(control *control) {
	waiter, known := control.waiting[event.work.ID]
	delete(control.waiting, event.work.ID)
	isolated := known && waiter.isolated
	reply := finishReply{}
	if event.crashed {
		reply.condemned = control.crashed(event.target, event.fingerprint, isolated)
	}
	if event.completed && isolated {
		control.tracker.ClearSuspect(event.fingerprint)
	}
	control.carryOut(event.target, event.target.gate.Finish(control.now, event.work.ID, event.tokens))
	if event.reply == nil {
		return
	}
	if link, ok := control.links[event.work.Entry]; ok {
		reply.grant, _ = control.grant(event.target, event.work.Entry, link)
	}
	event.reply <- reply
}

// crashed takes the loss of an engine with a request in flight. What is lost soon after an earlier loss says
// nothing about the request: an engine may take a while to die of what it ran before.
func (control *control) crashed(target *target, fingerprint uint64, isolated bool) (condemned bool) {
	alone := isolated && control.now.Sub(control.crashes[target]) > crashQuarantine
	control.crashes[target] = control.now
	control.carryOut(target, target.gate.MarkUnavailable())
	return control.suspect(fingerprint, alone)
}

// suspect records that a request was in flight when the engine was lost and tells the entries.
func (control *control) suspect(fingerprint uint64, alone bool) (condemned bool) {
	condemned = control.tracker.RecordCrash(control.now, fingerprint, poisonpill.EngineCrash, alone)
	report := peer.Report{Version: control.daemon.configurations.Current().Version}
	if condemned {
		report.Poison = []uint64{fingerprint}
		control.daemon.Log.Warn("a request crashes its targets and is refused from now on", zap.Uint64("fingerprint", fingerprint))
	} else {
		report.Suspects = []uint64{fingerprint}
	}
	for _, link := range control.links {
		select {
		case link.out <- report:
		default:
		}
	}
	return condemned
}

// cancelEvent is an attempt whose entry has given up on it before it was admitted.
type cancelEvent struct {
	target *target
	work   gate.Work
	reply  chan bool // receives whether it was still queued
}

func (event cancelEvent) apply(control *control) {
	removed := event.target.gate.Cancel(event.work.Account, event.work.ID)
	if removed {
		delete(control.waiting, event.work.ID)
	}
	event.reply <- removed
}

// loadEvent is a load report of an engine, or the failure to get one.
type loadEvent struct {
	target *target
	load   engine.Load
	err    error
}

func (event loadEvent) apply(control *control) {
	if event.err == nil {
		control.failures[event.target] = 0
		control.carryOut(event.target, event.target.gate.ReportLoad(control.now, event.load.Running, event.load.Waiting))
		return
	}
	control.failures[event.target]++
	if control.failures[event.target] == failedReports {
		control.daemon.Log.Warn("engine does not answer", zap.String("target", event.target.settings.Name), zap.Error(event.err))
		control.carryOut(event.target, event.target.gate.MarkUnavailable())
		control.report(true)
	}
}

// helloEvent is an entry's control stream that has opened.
type helloEvent struct {
	entry string
	link  *link
}

func (event helloEvent) apply(control *control) {
	event.link.heard = control.now
	control.links[event.entry] = event.link
	control.report(true)
}

// byeEvent is an entry's control stream that has ended.
type byeEvent struct {
	entry string
	link  *link
}

func (event byeEvent) apply(control *control) {
	if control.links[event.entry] != event.link {
		return // the entry has a newer stream already
	}
	control.cancelEntry(event.entry)
	delete(control.links, event.entry)
}

// backlogEvent is the heartbeat of an entry.
type backlogEvent struct {
	entry   string
	link    *link
	message peer.Backlog
}

func (event backlogEvent) apply(control *control) {
	link := event.link
	link.heard = control.now
	clear(link.backlog)
	for _, service := range event.message.Services {
		link.backlog[service.Service] = service.Items
	}
	for _, fingerprint := range event.message.Suspects {
		control.tracker.AddSuspect(control.now, fingerprint)
	}
	for _, fingerprint := range event.message.Poison {
		control.tracker.Quarantine(control.now, fingerprint)
	}
	control.cancelJobs(event.message.Cancelled)
	if event.message.Drain {
		drainEvent{}.apply(control)
	}
	if message, behind := control.daemon.configurations.For(event.message.Version); behind {
		select {
		case link.out <- message:
		default:
		}
	}
	control.report(false)
}

// cancelJobs stops the items of batch jobs, also where their owner is paused or cut off.
func (control *control) cancelJobs(jobs []string) {
	for _, job := range jobs {
		if _, known := control.cancelled[job]; known {
			continue
		}
		control.cancelled[job] = control.now.Add(cancelMemory)
		for _, waiter := range control.waiting {
			if waiter.job == job {
				waiter.cancel(peer.ErrCancelled)
			}
		}
	}
}

// configurationEvent says that a newer configuration was adopted.
type configurationEvent struct{}

func (configurationEvent) apply(control *control) {
	current := control.daemon.configurations.Current()
	for _, target := range control.daemon.targets {
		service, ok := current.Service(target.settings.Service)
		if !ok {
			continue
		}
		target.gate.BatchLimit.FirstTokenTarget = service.FirstTokenTarget.Duration()
		target.gate.BatchLimit.TokenTarget = service.TokenTarget.Duration()
	}
	control.report(true)
}

// drainEvent begins a graceful stop.
type drainEvent struct{}

func (drainEvent) apply(control *control) {
	for _, target := range control.daemon.targets {
		control.carryOut(target, target.gate.Drain())
	}
	control.report(true)
}
