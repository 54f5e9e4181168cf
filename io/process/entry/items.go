package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"cowslipway/core/coordination/segments"
	"cowslipway/core/state/openaibatch"
	"cowslipway/core/state/request"
	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/peer"
)

const itemTimeout = 10 * time.Minute

// grantedItem is an item that is about to be sent under a grant.
type grantedItem struct {
	item  segments.Item
	view  *targetView
	grant uint64
}

// grantEvent is a target's permission to send batch items.
type grantEvent struct {
	view  *targetView
	grant peer.Grant
}

func (event grantEvent) apply(control *control) {
	if control.entry.draining.Load() {
		return
	}
	for range event.grant.Slots {
		queued, ok := control.dequeue(event.view)
		if !ok {
			return
		}
		control.dispatchItem(queued, grantedItem{item: queued.item, view: event.view, grant: event.grant.ID})
	}
}

// dispatchItem sends an item, after its mark if it must not run twice.
func (control *control) dispatchItem(queued queuedItem, launch grantedItem) {
	segment := queued.segment
	if !segment.verified {
		control.enqueue(segment, queued.item)
		return
	}
	if launch.item.Idempotent || segment.tracker.Segment.Started.Has(launch.item.Number) {
		control.startItem(segment, launch)
		return
	}
	segment.startMarks = append(segment.startMarks, launch.item.Number)
	segment.unsentItems = append(segment.unsentItems, launch)
	control.checkpointIfDue(segment)
}

// startItem runs an item on its target.
func (control *control) startItem(segment *ownedSegment, launch grantedItem) {
	ctx, cancel := context.WithCancel(control.ctx) //nolint:gosec // itemEvent or drop calls it
	segment.running[launch.item.Number] = cancel
	go control.entry.runItem(ctx, segment, launch)
}

// itemID names the request of an item; operators find it by that.
func itemID(open openaibatch.Job, segment, number int) string {
	return fmt.Sprintf("%s.%d", open.ID, open.FirstItem(segment)+number)
}

func (entry *Entry) runItem(ctx context.Context, segment *ownedSegment, launch grantedItem) {
	event := itemEvent{segment: segment, granted: launch, receiver: &bufferedReceiver{}}
	call, failure := entry.newItemCall(segment, launch)
	if failure != nil {
		event.failure = failure
		entry.send(event)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	event.outcome, event.end = entry.attempt(ctx, call, launch.view, event.receiver)
	entry.send(event)
}

func (entry *Entry) newItemCall(segment *ownedSegment, launch grantedItem) (made *call, failure *caller.Error) {
	open, item := segment.job.job, launch.item
	current := entry.configurations.Current()
	account, _ := current.Account(open.Account)
	service, _ := current.Service(item.Service)
	if !service.Permits(launch.view.place) || !account.MayRunIn(launch.view.place) {
		return nil, caller.InvalidRequest(http.StatusForbidden, "forbidden_place", "the place is not permitted any more")
	}
	return &call{
		id:          itemID(open, segment.number, item.Number),
		account:     account,
		service:     service,
		version:     current.Version,
		class:       request.Batch,
		method:      http.MethodPost,
		path:        item.Path,
		headers:     []peer.Header{{Name: "Content-Type", Value: "application/json"}},
		body:        item.Body,
		tokens:      itemTokens(item),
		fingerprint: fingerprint(open.Account, item.Service, item.Path, item.Body),
		idempotent:  item.Idempotent,
		weight:      current.Weight(open.Account, item.Service),
		deadline:    time.Now().Add(itemTimeout),
		grantID:     launch.grant,
		jobID:       open.ID,
	}, nil
}

func itemTokens(item segments.Item) int64 {
	return int64(len(item.Body)/bytesPerToken) + max(1, gjson.GetBytes(item.Body, "max_tokens").Int())
}

// placesOf returns where an item may run.
func (entry *Entry) placesOf(accountName string, item segments.Item) (places []string, failure *caller.Error) {
	current := entry.configurations.Current()
	account, known := current.Account(accountName)
	service, ok := current.Service(item.Service)
	if !known || !ok || !account.MayUse(item.Service) {
		return nil, caller.InvalidRequest(http.StatusNotFound, "unknown_service", "the service %q does not exist or the account may not use it", item.Service)
	}
	return entry.permittedPlaces(account, service, "")
}

// itemEvent is the end of an attempt on an item.
type itemEvent struct {
	segment  *ownedSegment
	granted  grantedItem
	outcome  request.Outcome
	end      peer.End
	receiver *bufferedReceiver
	failure  *caller.Error // where nothing was sent
}

func (event itemEvent) apply(control *control) {
	segment, item := event.segment, event.granted.item
	if event.end.Grant.Slots > 0 {
		grantEvent{view: event.granted.view, grant: event.end.Grant}.apply(control)
	}
	if cancel, ok := segment.running[item.Number]; ok {
		cancel()
		delete(segment.running, item.Number)
	}
	if segment.abandoned {
		return
	}
	if event.failure != nil {
		// The configuration has changed: where the item may run now is looked up anew.
		control.enqueue(segment, item)
		control.checkpointIfDue(segment)
		return
	}
	switch segment.tracker.Classify(item, event.outcome, event.receiver.status) {
	case segments.Retry:
		control.enqueue(segment, item)
	case segments.Success:
		segment.tracker.Record(responseResult(segment.job.job, segment.number, item, event.receiver, true))
	case segments.Failure:
		segment.tracker.Record(control.failureResult(event))
	}
	control.checkpointIfDue(segment)
}

func (control *control) failureResult(event itemEvent) segments.Result {
	segment, item := event.segment, event.granted.item
	if event.outcome.Disposition == request.Done {
		return responseResult(segment.job.job, segment.number, item, event.receiver, false)
	}
	return errorResult(segment.job.job, segment.number, item, caller.OutcomeError(event.outcome))
}

// resultLine is one line of an output or error file of the OpenAI interface.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type resultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func newResult(open openaibatch.Job, segment int, item segments.Item, line resultLine, succeeded bool) segments.Result {
	line.ID, line.CustomID = itemID(open, segment, item.Number), item.CustomID
	data, err := json.Marshal(line)
	if err != nil {
		// Only the answer's body can be at fault.
		line.Response = nil
		line.Error = &resultError{Code: "invalid_answer", Message: "the answer is not valid JSON"}
		data, _ = json.Marshal(line)
		succeeded = false
	}
	return segments.Result{Number: item.Number, Succeeded: succeeded, Line: data}
}

func responseResult(open openaibatch.Job, segment int, item segments.Item, receiver *bufferedReceiver, succeeded bool) segments.Result {
	body := receiver.body
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	response := &resultResponse{StatusCode: receiver.status, RequestID: itemID(open, segment, item.Number), Body: body}
	return newResult(open, segment, item, resultLine{Response: response}, succeeded)
}

func errorResult(open openaibatch.Job, segment int, item segments.Item, failure *caller.Error) segments.Result {
	return newResult(open, segment, item, resultLine{Error: &resultError{Code: failure.Code, Message: failure.Message}}, false)
}

// unknownResult ends a non-idempotent item that an earlier owner may have sent.
func unknownResult(open openaibatch.Job, segment int, item segments.Item) segments.Result {
	outcome := request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonTargetLost}
	return errorResult(open, segment, item, caller.OutcomeError(outcome))
}
