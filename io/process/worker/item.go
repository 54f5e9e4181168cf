package worker

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/io/port"
	"cowslipway/io/transport/upstream"
)

// silenceLimit ends a run whose engine is silent: events come every 30 ms, and an engine that was preempting its
// runs for others still sends one within a second or two.
const silenceLimit = 2500 * time.Millisecond

// runItem runs an item at an engine from where its former runs have come.
func (worker *Worker) runItem(running context.Context, work jobrunner.Work, engine fleet.Engine) (verdict jobrunner.Verdict, progress jobrecord.Progress, cause error) {
	progress = jobrecord.Progress{LastEvent: work.Progress.LastEvent, Data: slices.Clone(work.Progress.Data)}
	ctx, cancel := context.WithCancel(running)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	header := http.Header{}
	for name, value := range work.Item.Header {
		header.Set(name, value)
	}
	exchange, err := worker.Node.Upstream.Send(ctx, upstream.Request{
		Address: engine.Address,
		Method:  http.MethodPost,
		URI:     work.Item.Path,
		Host:    work.Job.Host,
		Header:  header,
		Body:    work.Item.Body,
		Attempt: port.Attempt{RequestID: work.Item.ID, Engine: engine.ID, LastEvent: progress.LastEvent},
	})
	if errors.Is(err, upstream.ErrNotSent) {
		if running.Err() == nil {
			worker.Node.RecordFailure(engine)
		}
		return jobrunner.Refused, progress, err
	}
	if err != nil {
		return jobrunner.Broken, progress, err
	}
	defer exchange.Abort()
	status := exchange.Response.StatusCode
	full := worker.Node.RecordReportedLoad(engine, exchange.Answer, exchange.Answer.NotExecuted)
	switch {
	case exchange.Answer.NotExecuted:
		exchange.Drain()
		if exchange.Answer.WrongEngine {
			worker.Node.RecordReplaced(engine)
		} else if !full {
			worker.Node.RecordFailure(engine)
		}
		return jobrunner.Refused, progress, errors.Errorf("status %d, not run", status)
	case !exchange.Answer.Signed:
		return jobrunner.Broken, progress, errors.Errorf("status %d without the engine's signature", status)
	case status == http.StatusUnprocessableEntity:
		exchange.Drain()
		return jobrunner.Rejected, progress, nil
	case status == http.StatusInternalServerError:
		exchange.Drain()
		return jobrunner.Errored, progress, errors.Errorf("status %d", status)
	case status != http.StatusOK:
		exchange.Drain()
		return jobrunner.Broken, progress, errors.Errorf("status %d", status)
	}
	return worker.readEvents(exchange, silence, work, progress)
}

// step tells the disk what an item has had beyond kept events, and returns how many it then knows of.
func (worker *Worker) step(work jobrunner.Work, progress jobrecord.Progress, kept int) int {
	if len(progress.Data) > kept {
		worker.kept.add(jobrecord.Checkpoint{Job: work.Job.ID, Item: work.Item.ID, Offset: kept, LastEvent: progress.LastEvent, Data: progress.Data[kept:len(progress.Data):len(progress.Data)]})
	}
	return len(progress.Data)
}

func (worker *Worker) readEvents(exchange *upstream.Exchange, silence *time.Timer, work jobrunner.Work, progress jobrecord.Progress) (verdict jobrunner.Verdict, after jobrecord.Progress, cause error) {
	events := upstream.NewEvents(exchange.Response.Body)
	kept, keptAt := 0, time.Now() // the first step of a run tells all, so that no earlier file is needed
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			exchange.Finish()
			return jobrunner.Finished, progress, nil
		}
		if err != nil {
			worker.step(work, progress, kept)
			return jobrunner.Broken, progress, err
		}
		silence.Reset(silenceLimit)
		if event.ID == "" {
			continue // a comment that keeps the connection open
		}
		if !upstream.Follows(progress.LastEvent, event.ID) {
			return jobrunner.Broken, progress, errors.Errorf("event %q after event %q", event.ID, progress.LastEvent)
		}
		progress.LastEvent = event.ID
		progress.Data = append(progress.Data, event.Data())
		if time.Since(keptAt) >= checkpointPeriod {
			kept, keptAt = worker.step(work, progress, kept), time.Now()
		}
	}
}
