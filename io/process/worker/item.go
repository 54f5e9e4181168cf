package worker

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/process/node"
	"cowslipway/io/transport/upstream"
)

// idleTimeout ends a run whose engine sends nothing. Events come every 30 ms, and an engine that preempts its runs for
// other requests still sends one within one to two seconds.
const idleTimeout = 2500 * time.Millisecond

const (
	// outputTimeout ends a run whose engine sends comments only.
	outputTimeout = 20 * time.Second
	// maxOutputBytes bounds the output of an item; the longest that an engine's memory has room for is smaller.
	maxOutputBytes = 8 << 20
)

// runItem runs an item at engine from its last event on, until it ends or parent is cancelled. It returns the item's
// progress over all its runs, and the cause of a run that did not finish the item. output is the memory of this progress.
func (worker *Worker) runItem(parent context.Context, itemRun jobrunner.ItemRun, engine fleet.Engine, output *upstream.Buffer) (outcome jobrunner.Outcome, progress jobrecord.Progress, cause error) {
	progress = jobrecord.Progress{LastEventID: itemRun.Progress.LastEventID, Data: slices.Clone(itemRun.Progress.Data), Build: engine.Build()}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	run := node.EngineRun{Engine: engine, RequestID: itemRun.Item.ID, Content: worker.contentOf(itemRun), Sent: time.Now()}
	defer func() {
		brokenOff := outcome == jobrunner.Interrupted && ctx.Err() == nil // by the engine
		run.Events = len(progress.Data) - len(itemRun.Progress.Data)
		if brokenOff {
			worker.Node.CheckEngineEnd(ctx, run)
		}
		if outcome != jobrunner.Finished && itemRun.Progress.LastEventID == "" && worker.Node.BegunElsewhere(engine, run.Sent) {
			progress = jobrecord.Progress{} // it may be of another software version than the engine was taken for
		}
	}()
	request := requestOf(itemRun)
	request.Address, request.StartUnixMilli, request.GoesOn = engine.Address, engine.StartUnixMilli, progress.LastEventID != ""
	request.Attempt = port.Attempt{RequestID: itemRun.Item.ID, Engine: engine.ID, LastEventID: progress.LastEventID, Account: itemRun.Job.Account, HasAccounts: worker.Node.Accounts().HasAccounts()}
	exchange, err := worker.Node.Upstream.Send(ctx, request)
	if errors.Is(err, upstream.ErrRestarted) {
		worker.Node.RecordReplaced(engine)
		return jobrunner.NotExecuted, progress, err
	}
	if errors.Is(err, upstream.ErrNotSent) {
		if parent.Err() == nil && !errors.Is(err, upstream.ErrUnverified) {
			worker.Node.RecordFailure(engine)
		}
		return jobrunner.NotExecuted, progress, err
	}
	if err != nil {
		return jobrunner.Interrupted, progress, err
	}
	defer exchange.Abort()
	status := exchange.Response.StatusCode
	engineFull := worker.Node.RecordResponseHead(engine, run.Sent, exchange.Head, exchange.Head.NotExecuted)
	switch {
	case exchange.Head.NotExecuted:
		exchange.Discard()
		if exchange.Head.WrongEngine {
			worker.Node.RecordReplaced(engine)
		} else if !engineFull {
			worker.Node.RecordFailure(engine)
		}
		return jobrunner.NotExecuted, progress, errors.Errorf("status %d, not run", status)
	case !exchange.Head.Signed:
		return jobrunner.Interrupted, progress, errors.Errorf("status %d without the engine's signature", status)
	case status == http.StatusUnprocessableEntity:
		exchange.Discard()
		return jobrunner.Invalid, progress, nil
	case status == http.StatusInternalServerError:
		exchange.Discard()
		return jobrunner.Errored, progress, errors.Errorf("status %d", status)
	case status != http.StatusOK:
		exchange.Discard()
		return jobrunner.Interrupted, progress, errors.Errorf("status %d", status)
	}
	outcome, progress, cause = worker.readEvents(engine, exchange, idleTimer, itemRun, progress, output)
	if outcome != jobrunner.Finished {
		return outcome, progress, cause
	}
	run.Events = len(progress.Data) - len(itemRun.Progress.Data)
	if !exchange.Framed() {
		if cause = worker.Node.CheckUnframedEnd(ctx, run, exchange); cause != nil {
			return jobrunner.Interrupted, progress, cause
		}
	}
	worker.Node.RecordOutput(worker.kindOf(itemRun.Job), worker.declaredOutput(itemRun), len(progress.Data))
	if exchange.Framed() || run.Events >= node.SoundEvents {
		worker.Node.RecordCompletion(func() poisonpill.Fingerprint { return run.Content.Request })
		worker.Node.RecordSound(engine, run.Content.Parts)
	}
	return outcome, progress, nil
}

// contentOf returns what engines read of an item.
func (worker *Worker) contentOf(itemRun jobrunner.ItemRun) poisonpill.Content {
	return poisonpill.Content{Request: fingerprintOf(itemRun), Parts: poisonpill.PartsOf(worker.Node.Engines.PromptParts(headerOf(itemRun)))}
}

// declaredOutput returns the largest output that an item declares, in tokens; 0 means unknown.
func (worker *Worker) declaredOutput(itemRun jobrunner.ItemRun) (tokens int) {
	return worker.Node.Engines.Size(headerOf(itemRun)).MaxOutputTokens
}

// requestOf returns the request that an item is run as, without what depends on the engine.
func requestOf(itemRun jobrunner.ItemRun) (request upstream.Request) {
	return upstream.Request{
		Method: http.MethodPost, URI: itemRun.Item.Path, Host: routes.HostName(itemRun.Job.Host), Header: upstream.EndToEnd(headerOf(itemRun)), Body: itemRun.Item.Body,
		Attempt: port.Attempt{RequestID: itemRun.Item.ID},
	}
}

// headerOf returns the header with which the caller submitted an item.
func headerOf(itemRun jobrunner.ItemRun) (header http.Header) {
	header = http.Header{}
	for name, value := range itemRun.Item.Header {
		header.Set(name, value)
	}
	return header
}

// fingerprintOf returns the fingerprint of an item's request.
func fingerprintOf(itemRun jobrunner.ItemRun) poisonpill.Fingerprint {
	return poisonpill.FingerprintOf(http.MethodPost, itemRun.Job.Host, itemRun.Item.Path, itemRun.Item.Body)
}

// saveProgress queues a checkpoint of the events of progress from index saved on, and returns the number of events that are
// then saved.
func (worker *Worker) saveProgress(itemRun jobrunner.ItemRun, progress jobrecord.Progress, saved int) int {
	if len(progress.Data) > saved {
		worker.checkpoints.add(jobrecord.Checkpoint{Job: itemRun.Job.ID, Item: itemRun.Item.ID, Offset: saved, LastEventID: progress.LastEventID, Data: progress.Data[saved:len(progress.Data):len(progress.Data)], Build: progress.Build})
	}
	return len(progress.Data)
}

// readEvents appends the events of a response to progress until the response ends, and returns the extended progress.
func (worker *Worker) readEvents(engine fleet.Engine, exchange *upstream.Exchange, idleTimer *time.Timer, itemRun jobrunner.ItemRun, progress jobrecord.Progress, output *upstream.Buffer) (outcome jobrunner.Outcome, extended jobrecord.Progress, cause error) {
	events := upstream.NewEventReader(exchange.Response.Body)
	events.Buffer.Pool = worker.Node.Upstream.Memory
	defer events.Close()
	outputAt, size := time.Now(), outputBytes(progress)
	pace := worker.Node.Pace(engine, worker.kindOf(itemRun.Job))
	saved, savedAt := 0, time.Now() // the first checkpoint of a run holds all events, so that files rotated away are not needed
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && progress.LastEventID == "" && !exchange.Framed() {
			return jobrunner.Interrupted, progress, errors.New("the connection ended before the first event")
		}
		if errors.Is(err, io.EOF) {
			exchange.Release()
			return jobrunner.Finished, progress, nil
		}
		if err != nil {
			worker.saveProgress(itemRun, progress, saved)
			return jobrunner.Interrupted, progress, err
		}
		idleTimer.Reset(idleTimeout)
		if event.ID == "" && event.HasData() {
			return jobrunner.Interrupted, progress, errors.Errorf("an event without an ID after event %q", progress.LastEventID)
		}
		if event.ID == "" {
			if time.Since(outputAt) > outputTimeout {
				return jobrunner.Interrupted, progress, errors.Errorf("no output for %s", outputTimeout)
			}
			continue // the engine sends comments, which have no ID, to keep the connection open
		}
		if !upstream.Follows(progress.LastEventID, event.ID) {
			return jobrunner.Interrupted, progress, errors.Errorf("event %q after event %q", event.ID, progress.LastEventID)
		}
		data := event.Data()
		if size += int64(len(data)); size > maxOutputBytes {
			return jobrunner.Interrupted, itemRun.Progress, errors.Errorf("the output exceeds %d bytes", maxOutputBytes)
		}
		if err = output.Resize(size); err != nil { // the item starts anew, so that not all items wait for memory that others of them hold
			return jobrunner.Interrupted, jobrecord.Progress{}, err
		}
		outputAt = time.Now()
		pace.Received(outputAt)
		progress.LastEventID = event.ID
		progress.Data = append(progress.Data, data)
		if len(progress.Data)-len(itemRun.Progress.Data) == node.SoundEvents {
			worker.Node.RecordSound(engine, worker.contentOf(itemRun).Parts)
		}
		if time.Since(savedAt) >= checkpointInterval {
			saved, savedAt = worker.saveProgress(itemRun, progress, saved), time.Now()
		}
	}
}
