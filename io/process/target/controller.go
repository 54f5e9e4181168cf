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
	entryTimeout          = 2 * time.Second  // time without a heartbeat after which an entry's batch work is preempted
	crashAttributionGap   = 5 * time.Second  // a crash sooner after the previous one is not attributed to a request
	cancelledJobRetention = 10 * time.Minute // how long items of a cancelled job are rejected
	maxFailedReports      = 2                // consecutive failed load reports after which an engine is marked unavailable
	maxReportInterval     = time.Second      // an entry that was sent no report for this long is sent all loads
	sendQueueLength       = 32               // messages per control stream
	loadChangeDivisor     = 8                // a change of load above 1/8 of the slots is reported before maxReportInterval has passed
	maxSuspectsPerReport  = 512
)

// event is an input of the control goroutine, which calls apply to process it.
type event interface {
	apply(controller *controller)
}

// postEvent queues event for the control goroutine. It blocks while the queue is full.
func (daemon *Daemon) postEvent(event event) { daemon.events <- event }

// controller holds the state that only the control goroutine accesses.
type controller struct {
	daemon        *Daemon
	now           time.Time
	attempts      map[string]*attemptHandle // queued and running attempts by attempt ID
	streams       map[string]*controlStream // by entry name
	tracker       poisonpill.Tracker
	failedReports map[*target]int       // consecutive failed load reports
	lastCrash     map[*target]time.Time // time of the last crash of an engine with a request in flight
	// cancelledUntil holds the cancelled jobs and the time until which their items are rejected. By then the owner of the
	// job has received the cancellation.
	cancelledUntil map[string]time.Time
}

// attemptHandle connects the controller with the goroutine that runs an attempt.
type attemptHandle struct {
	decision chan gate.Action // receives one action, Admit or Reject
	cancel   context.CancelCauseFunc
	jobID    string // job of a batch item, empty for online work
	isolated bool   // does not run at the same time as another suspect; only the control goroutine accesses it
}

// controlStream is the state of the control stream of one entry.
type controlStream struct {
	sendQueue     chan any       // peer.Report or peer.ConfigurationUpdate
	backlog       map[string]int // waiting batch items by service
	lastHeartbeat time.Time
	reportedLoads map[string]peer.Load // last load sent, by target
	lastReport    time.Time
}

// runController processes events and ticks until ctx ends.
func (daemon *Daemon) runController(ctx context.Context) {
	controller := &controller{
		daemon:        daemon,
		attempts:      map[string]*attemptHandle{},
		streams:       map[string]*controlStream{},
		tracker:       poisonpill.Tracker{MaxSuspects: maxSuspects, MaxQuarantined: maxQuarantined},
		failedReports: map[*target]int{},
		lastCrash:     map[*target]time.Time{},

		cancelledUntil: map[string]time.Time{},
	}
	ticker := time.NewTicker(tickInterval)
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

// applyActions passes the actions of the gate of target to the attempts and publishes the gate's status.
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

// tick runs the periodic work: it preempts the batch work of entries without heartbeats, updates the gates, removes
// expired cancellations and sends reports.
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

// preemptEntry preempts the batch work of an entry that has exited, is paused or is unreachable, and clears its backlog.
func (controller *controller) preemptEntry(name string) {
	for _, target := range controller.daemon.targets {
		controller.applyActions(target, target.gate.PreemptEntry(name))
	}
	if stream, ok := controller.streams[name]; ok {
		clear(stream.backlog)
	}
}

// sendReports sends each entry new grants and the loads that differ enough from those last sent, as loadChanged decides.
// It sends all loads if maxReportInterval has passed since the last report or urgent is set.
func (controller *controller) sendReports(urgent bool) {
	for name, stream := range controller.streams {
		report := peer.Report{Version: controller.daemon.configurations.Current().Version}
		due := urgent || controller.now.Sub(stream.lastReport) >= maxReportInterval
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

// sendReport queues report for stream and remembers the loads in it. It drops the report if the queue is full.
func (controller *controller) sendReport(stream *controlStream, report peer.Report) {
	select {
	case stream.sendQueue <- report:
	default:
		return // the entry has stopped reading; the loads are sent in the next report, and dropped grants expire
	}
	stream.lastReport = controller.now
	for _, load := range report.Loads {
		stream.reportedLoads[load.Target] = load
	}
}

// issueGrant issues a grant of target to an entry. It reports false if the entry has no backlog for the target's service
// or sends no heartbeats, or if the gate issues none.
func (controller *controller) issueGrant(target *target, entryName string, stream *controlStream) (grant peer.Grant, ok bool) {
	backlog := stream.backlog[target.settings.Service]
	if backlog == 0 || controller.now.Sub(stream.lastHeartbeat) > entryTimeout {
		return peer.Grant{}, false
	}
	issued, ok := target.gate.Grant(controller.now, entryName, backlog)
	if !ok {
		return peer.Grant{}, false
	}
	return peer.Grant{ID: issued.ID, Target: target.settings.Name, Slots: issued.Slots, Lifetime: issued.Lifetime}, true
}

// loadChanged reports whether a and b differ enough to be reported before maxReportInterval has passed.
func loadChanged(a, b peer.Load) bool {
	if a.Draining != b.Draining || a.Healthy != b.Healthy || a.Slots != b.Slots {
		return true
	}
	change := (a.Online + a.Queued) - (b.Online + b.Queued)
	return max(change, -change)*loadChangeDivisor > a.Slots
}

// currentLoad returns the load of target as of the last published gate status. It is safe for concurrent use.
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

// submitEvent submits a new attempt to the gate of its target.
type submitEvent struct {
	target      *target
	work        gate.Work
	fingerprint uint64
	handle      *attemptHandle
}

// apply rejects attempts of quarantined requests and of cancelled jobs, and submits all others to the gate.
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

// finishEvent reports the end of an admitted attempt. The reply may contain a new grant.
type finishEvent struct {
	target      *target
	work        gate.Work
	tokens      int64 // cost of the attempt: counted here, or as the engine reported it
	fingerprint uint64
	crashed     bool             // the engine was lost while it ran the request
	completed   bool             // the request ran to its end
	reply       chan finishReply // nil if no reply is needed
}

// finishReply is the reply to a finishEvent.
type finishReply struct {
	grant       peer.Grant // zero if none was issued
	quarantined bool       // the crash has put the request into quarantine
}

// apply records a crash, clears the suspicion against a request that ran to its end in isolation, and releases the slot.
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

// recordEngineCrash records the crash of an engine with a request in flight and marks the engine unavailable. A crash within
// crashAttributionGap of the previous one cannot quarantine the request, since an engine may crash with a delay because
// of a request that it ran before.
func (controller *controller) recordEngineCrash(target *target, fingerprint uint64, isolated bool) (quarantined bool) {
	alone := isolated && controller.now.Sub(controller.lastCrash[target]) > crashAttributionGap
	controller.lastCrash[target] = controller.now
	controller.applyActions(target, target.gate.MarkUnavailable())
	return controller.recordCrash(fingerprint, alone)
}

// recordCrash records that a request was in flight at an engine crash and reports it to the entries as a suspect or, if
// that puts it into quarantine, as a poison pill. alone reports whether no other request can have caused the crash.
func (controller *controller) recordCrash(fingerprint uint64, alone bool) (quarantined bool) {
	quarantined = controller.tracker.RecordCrash(controller.now, fingerprint, poisonpill.EngineCrash, alone)
	report := peer.Report{Version: controller.daemon.configurations.Current().Version}
	if quarantined {
		report.Quarantined = []uint64{fingerprint}
		controller.daemon.Log.Warn("request quarantined after repeated engine crashes", zap.Uint64("fingerprint", fingerprint))
	} else {
		report.Suspects = []uint64{fingerprint}
	}
	for _, stream := range controller.streams {
		select {
		case stream.sendQueue <- report:
		default:
		}
	}
	return quarantined
}

// cancelEvent removes an attempt from the queue of its target if it has not been admitted.
type cancelEvent struct {
	target *target
	work   gate.Work
	reply  chan bool // receives true if the attempt was still queued
}

func (event cancelEvent) apply(controller *controller) {
	removed := event.target.gate.Cancel(event.work.Account, event.work.ID)
	if removed {
		delete(controller.attempts, event.work.ID)
	}
	event.reply <- removed
}

// loadEvent is a load report of an engine, or the error of reading one.
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
		controller.daemon.Log.Warn("engine unavailable: no load report", zap.String("target", event.target.settings.Name), zap.Error(event.err))
		controller.applyActions(event.target, event.target.gate.MarkUnavailable())
		controller.sendReports(true)
	}
}

// streamOpenedEvent reports that an entry has opened its control stream.
type streamOpenedEvent struct {
	entryName string
	stream    *controlStream
}

func (event streamOpenedEvent) apply(controller *controller) {
	event.stream.lastHeartbeat = controller.now
	controller.streams[event.entryName] = event.stream
	controller.sendReports(true)
}

// streamClosedEvent reports that an entry's control stream has ended.
type streamClosedEvent struct {
	entryName string
	stream    *controlStream
}

func (event streamClosedEvent) apply(controller *controller) {
	if controller.streams[event.entryName] != event.stream {
		return // the entry has already opened a new stream
	}
	controller.preemptEntry(event.entryName)
	delete(controller.streams, event.entryName)
}

// heartbeatEvent is a heartbeat of an entry.
type heartbeatEvent struct {
	entryName string
	stream    *controlStream
	message   peer.Heartbeat
}

// apply updates the entry's backlog, suspects, quarantined requests and cancelled jobs. It sends the entry the configuration
// if the entry has an older one.
func (event heartbeatEvent) apply(controller *controller) {
	stream := event.stream
	stream.lastHeartbeat = controller.now
	clear(stream.backlog)
	for _, service := range event.message.Services {
		stream.backlog[service.Service] = service.Items
	}
	for _, fingerprint := range event.message.Suspects {
		controller.tracker.AddSuspect(controller.now, fingerprint)
	}
	for _, fingerprint := range event.message.Quarantined {
		controller.tracker.Quarantine(controller.now, fingerprint)
	}
	controller.cancelJobs(event.message.Cancelled)
	if event.message.Drain {
		drainEvent{}.apply(controller)
	}
	if message, outdated := controller.daemon.configurations.UpdateSince(event.message.Version); outdated {
		select {
		case stream.sendQueue <- message:
		default:
		}
	}
	controller.sendReports(false)
}

// cancelJobs cancels the running and queued items of batch jobs, even if the owner of a job is paused or unreachable.
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

// configurationEvent reports that a newer configuration was adopted.
type configurationEvent struct{}

// apply sets the latency targets of the gates from the current configuration.
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

// drainEvent starts a graceful shutdown: all gates drain.
type drainEvent struct{}

func (drainEvent) apply(controller *controller) {
	for _, target := range controller.daemon.targets {
		controller.applyActions(target, target.gate.Drain())
	}
	controller.sendReports(true)
}
