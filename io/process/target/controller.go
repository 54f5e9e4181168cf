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
	entryTimeout          = 2 * time.Second // without a word, after which an entry's batch work is stopped
	crashAttributionGap   = 5 * time.Second
	cancelledJobRetention = 10 * time.Minute
	maxFailedReports      = 2 // in a row, after which an engine counts as lost
	heartbeatPeriod       = time.Second
	outgoingQueueLength   = 32
	loadChangeDivisor     = 8 // of the slots, in parts; a smaller change of load waits for the heartbeat
	maxSuspectsPerReport  = 512
)

// event is something that the control goroutine has to know.
type event interface {
	apply(controller *controller)
}

func (daemon *Daemon) postEvent(event event) { daemon.events <- event }

// controller is the state that belongs to the controller goroutine.
type controller struct {
	daemon        *Daemon
	now           time.Time
	attempts      map[string]*attemptHandle // by attempt, queued or running
	streams       map[string]*controlStream // by entry
	tracker       poisonpill.Tracker
	failedReports map[*target]int       // failed load reports in a row
	lastCrash     map[*target]time.Time // last loss of an engine with work in flight
	// cancelledUntil holds the jobs whose items are refused until their owner must have heard of it.
	cancelledUntil map[string]time.Time
}

// attemptHandle is the attempt goroutine's end of a decision.
type attemptHandle struct {
	decision chan gate.Action // receives one Admit or Reject
	cancel   context.CancelCauseFunc
	jobID    string // of a batch item
	isolated bool   // belongs to the control goroutine: runs beside no other suspect
}

// controlStream is the control stream of one entry.
type controlStream struct {
	outgoing      chan any // peer.Report or peer.Configuration
	backlog       map[string]int
	lastHeartbeat time.Time
	reportedLoads map[string]peer.Load
	lastReport    time.Time
}

func (daemon *Daemon) runControl(ctx context.Context) {
	controller := &controller{
		daemon:        daemon,
		attempts:      map[string]*attemptHandle{},
		streams:       map[string]*controlStream{},
		tracker:       poisonpill.Tracker{MaxSuspects: maxSuspects, MaxQuarantined: maxQuarantined},
		failedReports: map[*target]int{},
		lastCrash:     map[*target]time.Time{},

		cancelledUntil: map[string]time.Time{},
	}
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-daemon.events:
			controller.now = time.Now()
			event.apply(controller)
		case now := <-ticker.C:
			controller.now = now
			controller.tick()
		}
	}
}

// applyActions does what a gate decided and publishes its new state.
func (controller *controller) applyActions(target *target, actions []gate.Action) {
	for _, action := range actions {
		handle, ok := controller.attempts[action.ID]
		if !ok {
			continue
		}
		switch action.Kind {
		case gate.Admit:
			handle.decision <- action
		case gate.Reject:
			delete(controller.attempts, action.ID)
			handle.decision <- action
		case gate.Preempt:
			handle.cancel(errPreempted)
		}
	}
	status := target.gate.Status()
	target.status.Store(&status)
}

func (controller *controller) tick() {
	for name, stream := range controller.streams {
		if controller.now.Sub(stream.lastHeartbeat) > entryTimeout {
			controller.preemptEntry(name)
		}
	}
	for _, target := range controller.daemon.targets {
		controller.applyActions(target, target.gate.Tick(controller.now, target.meter.collect()))
	}
	for job, until := range controller.cancelledUntil {
		if controller.now.After(until) {
			delete(controller.cancelledUntil, job)
		}
	}
	controller.sendReports(false)
}

// preemptEntry stops the batch work of an entry that is gone, paused or cut off.
func (controller *controller) preemptEntry(name string) {
	for _, target := range controller.daemon.targets {
		controller.applyActions(target, target.gate.PreemptEntry(name))
	}
	if stream, ok := controller.streams[name]; ok {
		clear(stream.backlog)
	}
}

// sendReports tells each entry what changed: grants at once, load when it has changed much or the heartbeat is due.
func (controller *controller) sendReports(urgent bool) {
	for name, stream := range controller.streams {
		report := peer.Report{Version: controller.daemon.configurations.Current().Version}
		due := urgent || controller.now.Sub(stream.lastReport) >= heartbeatPeriod
		for _, target := range controller.daemon.targets {
			load := target.currentLoad()
			if due || loadChanged(load, stream.reportedLoads[load.Target]) {
				report.Loads = append(report.Loads, load)
			}
			if grant, ok := controller.issueGrant(target, name, stream); ok {
				report.Grants = append(report.Grants, grant)
			}
		}
		if len(report.Loads)+len(report.Grants) == 0 {
			continue
		}
		controller.sendReport(stream, report)
	}
}

func (controller *controller) sendReport(stream *controlStream, report peer.Report) {
	select {
	case stream.outgoing <- report:
	default:
		return // the entry does not read; the next report tells the same
	}
	stream.lastReport = controller.now
	for _, load := range report.Loads {
		stream.reportedLoads[load.Target] = load
	}
}

func (controller *controller) issueGrant(target *target, entry string, stream *controlStream) (grant peer.Grant, ok bool) {
	backlog := stream.backlog[target.settings.Service]
	if backlog == 0 || controller.now.Sub(stream.lastHeartbeat) > entryTimeout {
		return peer.Grant{}, false
	}
	issued, ok := target.gate.Grant(controller.now, entry, backlog)
	if !ok {
		return peer.Grant{}, false
	}
	return peer.Grant{ID: issued.ID, Target: target.settings.Name, Slots: issued.Slots, Lifetime: issued.Lifetime}, true
}

func loadChanged(a, b peer.Load) bool {
	if a.Draining != b.Draining || a.Healthy != b.Healthy || a.Slots != b.Slots {
		return true
	}
	change := (a.Online + a.Queued) - (b.Online + b.Queued)
	return max(change, -change)*loadChangeDivisor > a.Slots
}

func (target *target) currentLoad() peer.Load {
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

// submitEvent is a new attempt.
type submitEvent struct {
	target      *target
	work        gate.Work
	fingerprint uint64
	handle      *attemptHandle
}

func (event submitEvent) apply(controller *controller) {
	if controller.tracker.Quarantined(controller.now, event.fingerprint) {
		event.handle.decision <- gate.Action{Kind: gate.Reject, ID: event.work.ID, Reason: request.ReasonPoisonPill}
		return
	}
	if _, cancelled := controller.cancelledUntil[event.handle.jobID]; cancelled {
		event.handle.decision <- gate.Action{Kind: gate.Reject, ID: event.work.ID, Reason: request.ReasonCancelled}
		return
	}
	if event.work.Suspect {
		controller.tracker.AddSuspect(controller.now, event.fingerprint)
	}
	work := event.work
	work.Suspect = controller.tracker.Suspect(controller.now, event.fingerprint)
	event.handle.isolated = work.Suspect
	controller.attempts[work.ID] = event.handle
	controller.applyActions(event.target, event.target.gate.Submit(controller.now, work))
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
	grant       peer.Grant
	quarantined bool
}

func (event finishEvent) apply(controller *controller) {
	handle, known := controller.attempts[event.work.ID]
	delete(controller.attempts, event.work.ID)
	isolated := known && handle.isolated
	reply := finishReply{}
	if event.crashed {
		reply.quarantined = controller.recordEngineCrash(event.target, event.fingerprint, isolated)
	}
	if event.completed && isolated {
		controller.tracker.ClearSuspect(event.fingerprint)
	}
	controller.applyActions(event.target, event.target.gate.Finish(controller.now, event.work.ID, event.tokens))
	if event.reply == nil {
		return
	}
	if stream, ok := controller.streams[event.work.Entry]; ok {
		reply.grant, _ = controller.issueGrant(event.target, event.work.Entry, stream)
	}
	event.reply <- reply
}

// recordEngineCrash takes the loss of an engine with a request in flight. What is lost soon after an earlier loss says
// nothing about the request: an engine may take a while to die of what it ran before.
func (controller *controller) recordEngineCrash(target *target, fingerprint uint64, isolated bool) (condemned bool) {
	alone := isolated && controller.now.Sub(controller.lastCrash[target]) > crashAttributionGap
	controller.lastCrash[target] = controller.now
	controller.applyActions(target, target.gate.MarkUnavailable())
	return controller.recordCrash(fingerprint, alone)
}

// recordCrash records that a request was in flight when the engine was lost and tells the entries.
func (controller *controller) recordCrash(fingerprint uint64, alone bool) (condemned bool) {
	condemned = controller.tracker.RecordCrash(controller.now, fingerprint, poisonpill.EngineCrash, alone)
	report := peer.Report{Version: controller.daemon.configurations.Current().Version}
	if condemned {
		report.Poison = []uint64{fingerprint}
		controller.daemon.Log.Warn("a request crashes its targets and is refused from now on", zap.Uint64("fingerprint", fingerprint))
	} else {
		report.Suspects = []uint64{fingerprint}
	}
	for _, stream := range controller.streams {
		select {
		case stream.outgoing <- report:
		default:
		}
	}
	return condemned
}

// cancelEvent is an attempt whose entry has issued up on it before it was admitted.
type cancelEvent struct {
	target *target
	work   gate.Work
	reply  chan bool // receives whether it was still queued
}

func (event cancelEvent) apply(controller *controller) {
	removed := event.target.gate.Cancel(event.work.Account, event.work.ID)
	if removed {
		delete(controller.attempts, event.work.ID)
	}
	event.reply <- removed
}

// loadEvent is a load report of an engine, or the failure to get one.
type loadEvent struct {
	target *target
	load   engine.Load
	err    error
}

func (event loadEvent) apply(controller *controller) {
	if event.err == nil {
		controller.failedReports[event.target] = 0
		controller.applyActions(event.target, event.target.gate.ReportLoad(controller.now, event.load.Running, event.load.Waiting))
		return
	}
	controller.failedReports[event.target]++
	if controller.failedReports[event.target] == maxFailedReports {
		controller.daemon.Log.Warn("engine does not answer", zap.String("target", event.target.settings.Name), zap.Error(event.err))
		controller.applyActions(event.target, event.target.gate.MarkUnavailable())
		controller.sendReports(true)
	}
}

// streamOpenedEvent is an entry's control stream that has opened.
type streamOpenedEvent struct {
	entry  string
	stream *controlStream
}

func (event streamOpenedEvent) apply(controller *controller) {
	event.stream.lastHeartbeat = controller.now
	controller.streams[event.entry] = event.stream
	controller.sendReports(true)
}

// streamClosedEvent is an entry's control stream that has ended.
type streamClosedEvent struct {
	entry  string
	stream *controlStream
}

func (event streamClosedEvent) apply(controller *controller) {
	if controller.streams[event.entry] != event.stream {
		return // the entry has a newer stream already
	}
	controller.preemptEntry(event.entry)
	delete(controller.streams, event.entry)
}

// backlogEvent is the heartbeat of an entry.
type backlogEvent struct {
	entry   string
	stream  *controlStream
	message peer.Backlog
}

func (event backlogEvent) apply(controller *controller) {
	stream := event.stream
	stream.lastHeartbeat = controller.now
	clear(stream.backlog)
	for _, service := range event.message.Services {
		stream.backlog[service.Service] = service.Items
	}
	for _, fingerprint := range event.message.Suspects {
		controller.tracker.AddSuspect(controller.now, fingerprint)
	}
	for _, fingerprint := range event.message.Poison {
		controller.tracker.Quarantine(controller.now, fingerprint)
	}
	controller.cancelJobs(event.message.Cancelled)
	if event.message.Drain {
		drainEvent{}.apply(controller)
	}
	if message, behind := controller.daemon.configurations.For(event.message.Version); behind {
		select {
		case stream.outgoing <- message:
		default:
		}
	}
	controller.sendReports(false)
}

// cancelJobs stops the items of batch jobs, also where their owner is paused or cut off.
func (controller *controller) cancelJobs(jobs []string) {
	for _, job := range jobs {
		if _, known := controller.cancelledUntil[job]; known {
			continue
		}
		controller.cancelledUntil[job] = controller.now.Add(cancelledJobRetention)
		for _, handle := range controller.attempts {
			if handle.jobID == job {
				handle.cancel(peer.ErrCancelled)
			}
		}
	}
}

// configurationEvent says that a newer configuration was adopted.
type configurationEvent struct{}

func (configurationEvent) apply(controller *controller) {
	current := controller.daemon.configurations.Current()
	for _, target := range controller.daemon.targets {
		service, ok := current.Service(target.settings.Service)
		if !ok {
			continue
		}
		target.gate.BatchLimit.FirstTokenTarget = service.FirstTokenTarget.Duration()
		target.gate.BatchLimit.TokenTarget = service.TokenTarget.Duration()
	}
	controller.sendReports(true)
}

// drainEvent begins a graceful stop.
type drainEvent struct{}

func (drainEvent) apply(controller *controller) {
	for _, target := range controller.daemon.targets {
		controller.applyActions(target, target.gate.Drain())
	}
	controller.sendReports(true)
}
