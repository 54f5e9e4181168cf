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

const itemTimeout = 10 * time.Minute // for one attempt

// grantedItem is an item with the grant that allows sending it to a target.
type grantedItem struct {
	item  segments.Item
	view  *targetView
	grant uint64 // ID of the grant
}

// grantEvent reports that a target has granted slots for batch items.
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

// dispatchItem sends an item to its target. A non-idempotent item is first marked as started by a commit. If the
// ownership of the segment is not verified, the item is queued again.
func (control *control) dispatchItem(queued queuedItem, granted grantedItem) {
	segment := queued.segment
	if !segment.ownershipVerified {
		control.enqueue(segment, queued.item)
		return
	}
	if granted.item.Idempotent || segment.tracker.Segment.Started.Has(granted.item.Number) {
		control.startItem(segment, granted)
		return
	}
	segment.startMarks = append(segment.startMarks, granted.item.Number)
	segment.unsentItems = append(segment.unsentItems, granted)
	control.commitIfDue(segment)
}

// startItem starts the goroutine that sends an item to its target.
func (control *control) startItem(segment *ownedSegment, granted grantedItem) {
	ctx, cancel := context.WithCancel(control.ctx) //nolint:gosec // itemEvent or release calls it
	segment.running[granted.item.Number] = cancel
	go control.entry.runItem(ctx, segment, granted)
}

// itemID returns the request ID of an item, by which operators can locate it.
func itemID(job openaibatch.Job, segment, number int) string {
	return fmt.Sprintf("%s.%d", job.ID, job.FirstItem(segment)+number)
}

// runItem makes one attempt on an item and sends an itemEvent with its result.
func (entry *Entry) runItem(ctx context.Context, segment *ownedSegment, granted grantedItem) {
	event := itemEvent{segment: segment, granted: granted}
	event.receiver, event.release = entry.itemReceiver()
	call, failure := entry.newItemCall(segment, granted)
	if failure != nil {
		event.failure = failure
		entry.send(event)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	event.outcome, event.end = entry.attempt(ctx, call, granted.view, event.receiver)
	entry.send(event)
}

// newItemCall returns the call for an item. It fails if the current configuration no longer permits the target's place.
func (entry *Entry) newItemCall(segment *ownedSegment, granted grantedItem) (itemCall *call, failure *caller.Error) {
	job, item := segment.job.record, granted.item
	current := entry.configurations.Current()
	account, _ := current.Account(job.Account)
	service, _ := current.Service(item.Service)
	if !service.Permits(granted.view.place) || !account.MayRunIn(granted.view.place) {
		return nil, caller.InvalidRequest(http.StatusForbidden, "forbidden_place", "place is no longer permitted for this account and service")
	}
	itemCall = &call{
		id:         itemID(job, segment.number, item.Number),
		account:    account,
		service:    service,
		version:    current.Version,
		class:      request.Batch,
		method:     http.MethodPost,
		path:       item.Path,
		headers:    []peer.Header{{Name: "Content-Type", Value: "application/json"}},
		body:       item.Body,
		tokens:     itemTokens(item),
		idempotent: item.Idempotent,
		weight:     current.Weight(job.Account, item.Service),
		deadline:   time.Now().Add(itemTimeout),
		grantID:    granted.grant,
		jobID:      job.ID,
	}
	itemCall.fingerprint = fingerprint(itemCall)
	return itemCall, nil
}

// itemTokens returns the estimated number of prompt and output tokens of an item.
func itemTokens(item segments.Item) int64 {
	return int64(len(item.Body)/bytesPerToken) + max(1, gjson.GetBytes(item.Body, "max_tokens").Int())
}

// placesOf returns the places where an item of the account may run.
func (entry *Entry) placesOf(accountName string, item segments.Item) (places []string, failure *caller.Error) {
	current := entry.configurations.Current()
	account, accountExists := current.Account(accountName)
	service, serviceExists := current.Service(item.Service)
	if !accountExists || !serviceExists || !account.MayUse(item.Service) {
		return nil, caller.InvalidRequest(http.StatusNotFound, "unknown_service", "the service %q does not exist or the account may not use it", item.Service)
	}
	return entry.permittedPlaces(account, service, "")
}

// itemEvent is the result of an attempt on an item.
type itemEvent struct {
	segment  *ownedSegment
	granted  grantedItem
	outcome  request.Outcome
	end      peer.End
	receiver *bufferedReceiver
	release  func()        // gives the memory of receiver back
	failure  *caller.Error // set if the item was not sent
}

func (event itemEvent) apply(control *control) {
	defer event.release()
	segment, item := event.segment, event.granted.item
	if event.end.Grant.Slots > 0 {
		grantEvent{view: event.granted.view, grant: event.end.Grant}.apply(control)
	}
	if cancel, ok := segment.running[item.Number]; ok {
		cancel()
		delete(segment.running, item.Number)
	}
	if segment.released {
		return
	}
	if event.failure != nil {
		// The configuration has changed since the item was queued: enqueue determines the permitted places again.
		control.enqueue(segment, item)
		control.commitIfDue(segment)
		return
	}
	switch segment.tracker.Classify(item, event.outcome, event.receiver.status) {
	case segments.Retry:
		control.enqueue(segment, item)
	case segments.Success:
		segment.tracker.Record(responseResult(segment.job.record, segment.number, item, event.receiver, true))
	case segments.Failure:
		segment.tracker.Record(control.failureResult(event))
	}
	control.commitIfDue(segment)
}

// failureResult returns the result of an item whose attempt failed: its response, or an error result if there is none.
func (control *control) failureResult(event itemEvent) segments.Result {
	segment, item := event.segment, event.granted.item
	if event.outcome.Disposition == request.Done {
		return responseResult(segment.job.record, segment.number, item, event.receiver, false)
	}
	return errorResult(segment.job.record, segment.number, item, caller.OutcomeError(event.outcome))
}

// resultLine is one line of an output or error file of the OpenAI interface.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

// resultResponse is the response of the service to an item.
type resultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// resultError reports why an item has no response.
type resultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// newResult returns the result with the encoded line. If the response body cannot be encoded, the result is an error.
func newResult(job openaibatch.Job, segment int, item segments.Item, line resultLine, succeeded bool) segments.Result {
	line.ID, line.CustomID = itemID(job, segment, item.Number), item.CustomID
	data, err := json.Marshal(line)
	if err != nil {
		// Only the response body can fail to encode.
		line.Response = nil
		line.Error = &resultError{Code: "invalid_answer", Message: "the answer is not valid JSON"}
		data, _ = json.Marshal(line)
		succeeded = false
	}
	return segments.Result{Number: item.Number, Succeeded: succeeded, Line: data}
}

// responseResult returns the result of an item with a response. A body that is not JSON becomes a JSON string.
func responseResult(job openaibatch.Job, segment int, item segments.Item, receiver *bufferedReceiver, succeeded bool) segments.Result {
	body := receiver.body
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	response := &resultResponse{StatusCode: receiver.status, RequestID: itemID(job, segment, item.Number), Body: body}
	return newResult(job, segment, item, resultLine{Response: response}, succeeded)
}

// errorResult returns the result of an item without a response.
func errorResult(job openaibatch.Job, segment int, item segments.Item, failure *caller.Error) segments.Result {
	return newResult(job, segment, item, resultLine{Error: &resultError{Code: failure.Code, Message: failure.Message}}, false)
}

// unknownResult returns the result of a non-idempotent item that a previous owner of the segment may have sent.
func unknownResult(job openaibatch.Job, segment int, item segments.Item) segments.Result {
	outcome := request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonTargetLost}
	return errorResult(job, segment, item, caller.OutcomeError(outcome))
}
