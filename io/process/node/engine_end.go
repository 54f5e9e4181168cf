package node

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/transport/upstream"
)

const (
	// SoundEvents is the number of events of a run from which on the end of its engine does not count against the request:
	// a request that ends its engines does so when it begins to run, and a long run meets the ends that others cause.
	SoundEvents = 8
	// recheckDelay is the time after which an engine that accepted a connection is tried again: connections to a process that
	// is ending may still be accepted before its listening socket is closed.
	recheckDelay = 100 * time.Millisecond
	// confirmWithin is the time in which an engine that has ended is back and listed as a new incarnation.
	confirmWithin = 10 * time.Second
	// shareWait is how long a failed attempt waits until the peers have been told of the end of its engine, so that the end still
	// counts if this process is killed once the caller has its response.
	shareWait     = 20 * time.Millisecond
	maxBrokenRuns = 256 // runs for which the end of their engine may still be confirmed
)

// EngineRun is a run of a request at an engine.
type EngineRun struct {
	Engine    fleet.Engine
	RequestID string
	Content   poisonpill.Content
	Sent      time.Time
	Events    int // received from the engine
}

// brokenRun is a run that its engine broke off.
type brokenRun struct {
	EngineRun

	at time.Time
}

// same reports whether broken and other are of one run.
func (broken brokenRun) same(other brokenRun) bool {
	return broken.RequestID == other.RequestID && broken.Engine.ID == other.Engine.ID && broken.at.Equal(other.at)
}

// CheckEngineEnd finds out whether an engine that broke off its response to a request has ended, and if so counts that
// against the request. An engine that accepts a connection is taken to be alive, unless it refuses one a moment later, or a new
// incarnation is listed at its address soon after.
func (node *Node) CheckEngineEnd(ctx context.Context, run EngineRun) {
	if run.Events >= SoundEvents {
		return
	}
	broken := brokenRun{EngineRun: run, at: time.Now()}
	err := node.Upstream.Dial(ctx, run.Engine.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		node.quarantine.recordEnd(broken, err.Error())
		node.quarantine.shareWithin(ctx, shareWait)
		return
	case err != nil:
		telemetry.EngineChecks.Add("no answer", 1) // as over a cut link, or from a VM without power
		return
	}
	telemetry.EngineChecks.Add("accepted", 1)
	node.quarantine.awaitEnd(broken)
	if listed, ok := node.directory.engineAt(run.Engine.Address); ok {
		node.quarantine.engineListed(listed) // it may have been listed before the response was found to be broken off
	}
	if run.Events > 0 {
		return // an engine that a request ends has seldom sent an event by then
	}
	time.AfterFunc(recheckDelay, func() {
		if err := node.Upstream.Probe(context.WithoutCancel(ctx), run.Engine.Address); errors.Is(err, syscall.ECONNREFUSED) {
			node.quarantine.confirmEnds(err.Error(), broken.same)
		}
	})
}

// CheckUnframedEnd returns an error unless there is evidence that the end of a response without framing is not that of its engine. The
// engine's state and its listing tell nothing: engines end while they drain and once they are no longer listed, and may be back at once.
func (node *Node) CheckUnframedEnd(ctx context.Context, run EngineRun, exchange *upstream.Exchange) (err error) {
	defer func() { err = errors.Annotate(err, "the response may have ended with its engine") }()
	started, outcome := time.Now(), "complete"
	evidence, err := exchange.Outlived(ctx)
	if err == nil {
		// A process that stops listens no longer, and may break its responses off before it ends.
		if dialErr := node.Upstream.Dial(ctx, run.Engine.Address); errors.Is(dialErr, syscall.ECONNREFUSED) {
			err = dialErr
		}
	}
	label := string(evidence)
	if err != nil {
		outcome, label = "broken off", missingEvidence(err)
	}
	telemetry.UnframedEnds.Add(outcome+", "+label, 1)
	node.Log.Info("unframed end", zap.String("engine", run.Engine.Incarnation()), zap.String("request", run.RequestID), zap.Int("events", run.Events),
		zap.String("evidence", label), zap.String("outcome", outcome), zap.Duration("took", time.Since(started)), telemetry.Err(err))
	return err
}

// missingEvidence describes why there is no evidence that an engine has outlived its response.
func missingEvidence(err error) (description string) {
	switch {
	case errors.Is(err, upstream.ErrNoEvidence):
		return "none"
	case errors.Is(err, upstream.ErrRestarted):
		return "restarted"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "other connection closed"
	}
	return "no answer"
}

// engineListed counts runs that the engine at the address of listed broke off lately, if listed is a later incarnation. One that
// had started before the run was sent ran the request itself, and this process has merely learned of it late.
func (quarantine *quarantine) engineListed(listed fleet.Engine) {
	quarantine.confirmEnds("a new incarnation is listed", func(broken brokenRun) bool {
		later := broken.Engine.StartUnixMilli < listed.StartUnixMilli && broken.Sent.UnixMilli() <= listed.StartUnixMilli
		return broken.Engine.Address == listed.Address && later
	})
}

// awaitEnd keeps a run for confirmEnds.
func (quarantine *quarantine) awaitEnd(broken brokenRun) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if quarantine.broken = append(quarantine.broken, broken); len(quarantine.broken) > maxBrokenRuns {
		quarantine.broken = quarantine.broken[1:]
	}
}

// confirmEnds counts the ends of the engines of the runs that awaitEnd keeps and for which ended returns true.
func (quarantine *quarantine) confirmEnds(reason string, ended func(broken brokenRun) bool) {
	quarantine.mutex.Lock()
	var confirmed, rest []brokenRun
	for _, broken := range quarantine.broken {
		switch {
		case time.Since(broken.at) > confirmWithin:
		case ended(broken):
			confirmed = append(confirmed, broken)
		default:
			rest = append(rest, broken)
		}
	}
	quarantine.broken = rest
	quarantine.mutex.Unlock()
	for _, broken := range confirmed {
		quarantine.recordEnd(broken, reason)
	}
}

// recordEnd counts the end of an engine against the request of a run, and has it told to the other members.
func (quarantine *quarantine) recordEnd(broken brokenRun, reason string) {
	telemetry.EngineChecks.Add("ended", 1)
	node := quarantine.node
	end := poisonpill.EngineEnd{
		Fingerprint: broken.Content.Request, Engine: broken.Engine.Incarnation(), Request: broken.RequestID, Process: node.self.Name, Sent: broken.Sent, Ended: broken.at,
	}
	parts := make([]string, 0, len(broken.Content.Parts))
	for _, part := range broken.Content.Parts {
		parts = append(parts, part.ID)
	}
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	node.Log.Info("engine ended during a request", zap.String("engine", broken.Engine.ID), zap.String("request", broken.RequestID),
		zap.Stringer("fingerprint", end.Fingerprint), zap.Strings("parts", parts), zap.Int("events", broken.Events), zap.Duration("ran", broken.at.Sub(broken.Sent)), zap.String("reason", reason))
	quarantine.report(end)
	end.Build = broken.Engine.Build().Text()
	for _, part := range broken.Content.Parts {
		end.Fingerprint, end.Part = part.Fingerprint, part.ID
		quarantine.report(end)
	}
}

// report adds an engine's end that this process has seen, unless it is known or does not count, and has it told to the other members. The
// mutex must be held.
func (quarantine *quarantine) report(end poisonpill.EngineEnd) {
	if !quarantine.add(end) {
		return
	}
	quarantine.unshared.Ends = append(quarantine.unshared.Ends, end)
	if quarantine.unsaved = append(quarantine.unsaved, end); len(quarantine.unsaved) > maxUnsavedEnds {
		quarantine.unsaved = quarantine.unsaved[1:]
	}
	quarantine.requestFlush()
}
