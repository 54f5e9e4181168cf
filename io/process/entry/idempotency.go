package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/retry"
	"cowslipway/core/state/claim"
	"cowslipway/core/state/request"
	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
)

const (
	maxStoredResponse = 256 << 10 // bytes
	maxKeyBytes       = 256
	outcomeRetryBase  = 200 * time.Millisecond
	outcomeRetryLimit = 5 * time.Second
	maxOutcomeRetries = 40
	claimTTL          = 24 * time.Hour
	claimLeaseDivisor = 8 // a new lease for claims is taken after this part of the lifetime
)

// keyedCall is a non-idempotent call with a key, on its way through claim, attempt and end.
type keyedCall struct {
	entry    *Entry
	call     *call
	key      string // in the store
	claim    claim.Claim
	revision int64 // of the claim in the store, 0 before it exists
}

// serveAtMostOnce runs a non-idempotent call at most once, however often and wherever it is sent.
func (entry *Entry) serveAtMostOnce(session *session, call *call, key string) *caller.Error {
	if len(key) > maxKeyBytes {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_idempotency_key", "%s has more than %d characters", caller.IdempotencyKeyHeader, maxKeyBytes)
	}
	if entry.store == nil {
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable})
	}
	digest := sha256.Sum256([]byte(call.service.Name + "\x00" + key))
	claimed := &keyedCall{
		entry: entry,
		call:  call,
		key:   etcd.ClaimKey(call.account.Name, hex.EncodeToString(digest[:])),
	}
	found, err := etcd.Read[claim.Claim](session.ctx, entry.store, etcd.ClaimCall, claimed.key)
	if err != nil {
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable})
	}
	if found.Revision != 0 {
		claimed.claim, claimed.revision = found.Value, found.Revision
		if failure, answered := claimed.handleExisting(session); answered {
			return failure
		}
	}
	return claimed.run(session)
}

// handleExisting deals with a claim that exists; answered is false where the request is safe to run now.
func (claimed *keyedCall) handleExisting(session *session) (failure *caller.Error, answered bool) {
	switch claimed.claim.ActionFor(claimed.call.fingerprint) {
	case claim.Mismatch:
		return caller.InvalidRequest(http.StatusUnprocessableEntity, "idempotency_key_reused", "%s was used for another request", caller.IdempotencyKeyHeader), true
	case claim.Replay:
		return claimed.replay(session), true
	default:
		fenced, reason := claimed.fence(session.ctx)
		if fenced {
			return nil, false
		}
		return caller.OutcomeError(request.Outcome{Disposition: request.MayHaveRun, Reason: reason}), true
	}
}

// fence asks the daemon that was to run the request to make sure that it never will; otherwise it returns
// what to tell the caller.
func (claimed *keyedCall) fence(ctx context.Context) (fenced bool, reason request.Reason) {
	link, ok := claimed.entry.fleet.Load().daemons[claimed.claim.Daemon]
	if !ok {
		return false, request.ReasonTargetLost
	}
	opened := link.connections.Load()
	if opened == nil {
		return false, request.ReasonTargetLost
	}
	answer, err := opened.clientFor(request.Online).Call(ctx, peer.Call{
		Kind:        peer.CallFence,
		RequestID:   claimed.claim.RequestID,
		AttemptID:   claimed.claim.AttemptID,
		Incarnation: claimed.claim.Incarnation,
	})
	switch {
	case err != nil:
		return false, request.ReasonTargetLost
	case answer.Fenced:
		return true, request.ReasonNone
	case answer.Found:
		return false, request.ReasonInProgress
	}
	return false, request.ReasonBrokenResponse
}

// replay answers with what the claim holds.
func (claimed *keyedCall) replay(session *session) *caller.Error {
	found := claimed.claim
	session.setHeader(caller.RequestIDHeader, found.RequestID)
	session.setHeader(caller.TargetHeader, found.Target)
	if found.Disposition != request.Done || found.Response == nil {
		outcome := request.Outcome{Disposition: found.Disposition, Reason: found.Reason}
		if found.Disposition == request.Done {
			return caller.InvalidRequest(http.StatusConflict, "answer_not_kept", "the request was done; its answer was too large to be kept")
		}
		return caller.OutcomeError(outcome)
	}
	receiver := &bufferedReceiver{status: found.Response.Status, body: found.Response.Body}
	receiver.headers = []peer.Header{{Name: "Content-Type", Value: found.Response.ContentType}}
	session.setHeader(caller.DispositionHeader, found.Disposition.String())
	receiver.write(session.iris.ResponseWriter())
	return nil
}

// run claims one target after another until one has run the request, or none will.
func (claimed *keyedCall) run(session *session) *caller.Error {
	call, entry := claimed.call, claimed.entry
	ctx, cancel := context.WithDeadline(session.ctx, call.deadline)
	defer cancel()
	plan := &retry.Plan{MaxAttempts: entry.Settings.MaxAttempts, Deadline: call.deadline}
	entry.retryBudget.Deposit()
	receiver := &bufferedReceiver{}
	result := result{Outcome: request.Outcome{Disposition: request.NotRun, Reason: request.ReasonNoTarget}}
	for {
		view, refusal := entry.chooseTarget(call, plan)
		if view == nil {
			if plan.Attempts() == 0 {
				result.Outcome = refusal
			}
			break
		}
		plan.Begin(view.name)
		call.attemptID = request.NewID("attempt-")
		if err := claimed.claimAttempt(ctx, view); err != nil {
			return claimed.claimError(err)
		}
		result.target, result.place = view.name, view.place
		result.Outcome, result.end = entry.attempt(ctx, call, view, receiver)
		if !plan.ShouldRetry(time.Now(), result.Outcome, &entry.retryBudget) {
			break
		}
	}
	result.attempts = plan.Attempts()
	claimed.recordOutcome(session.ctx, result.Outcome, receiver)
	return entry.respondBuffered(session, call, result, receiver)
}

// claimError answers for a claim that could not be written: nothing was sent.
func (claimed *keyedCall) claimError(err error) *caller.Error {
	outcome := request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable}
	if errors.Is(err, etcd.ErrConflict) {
		// The same request came in elsewhere at the same time; that one has the claim.
		outcome = request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonInProgress}
	}
	return caller.OutcomeError(outcome)
}

// claimAttempt writes the claim for an attempt on view.
func (claimed *keyedCall) claimAttempt(ctx context.Context, view *targetView) (err error) {
	defer func() { err = errors.Annotate(err, "claiming a request") }()
	if claimed.revision == 0 {
		claimed.claim = claim.Claim{
			State:       claim.Started,
			RequestID:   claimed.call.id,
			Fingerprint: claimed.call.fingerprint,
		}
	}
	hello := view.daemon.hello.Load()
	claimed.claim = claimed.claim.WithAttempt(claimed.call.attemptID, view.name, hello.Name, hello.Incarnation)
	claimed.claim.RequestID = claimed.call.id
	return claimed.write(ctx)
}

// write puts the claim as it is now into the store, if it is still the one that was read or written last.
func (claimed *keyedCall) write(ctx context.Context) (err error) {
	operation := etcd.NewOperation()
	data, err := etcd.Encode(operation, claimed.claim)
	if err != nil {
		return err
	}
	put := etcd.Put(claimed.key, data)
	put.Put.Lease = claimed.entry.claimLease.Load()
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(claimed.key, claimed.revision)},
		Success: []etcd.RequestOp{put},
	}
	revision, err := etcd.Commit(ctx, claimed.entry.store, etcd.ClaimCall, txn, claimed.key, operation)
	if err != nil {
		return err
	}
	claimed.revision = revision
	return nil
}

// recordOutcome writes how the request ended, also when the caller is gone or the store is not reached for a while.
func (claimed *keyedCall) recordOutcome(ctx context.Context, outcome request.Outcome, receiver *bufferedReceiver) {
	if claimed.revision == 0 {
		return
	}
	if outcome.Disposition == request.NotRun {
		// The claim stays: the next one with the key fences the attempt and runs.
		return
	}
	claimed.claim = claimed.claim.WithOutcome(outcome, storedResponse(receiver))
	ctx = context.WithoutCancel(ctx)
	err := claimed.write(ctx)
	if err == nil || errors.Is(err, etcd.ErrConflict) {
		return
	}
	go claimed.retryRecordOutcome(ctx)
}

func storedResponse(receiver *bufferedReceiver) *claim.Response {
	if len(receiver.body) > maxStoredResponse {
		return nil
	}
	answer := &claim.Response{Status: receiver.status, Body: receiver.body}
	for _, header := range receiver.headers {
		if header.Name == "Content-Type" {
			answer.ContentType = header.Value
		}
	}
	return answer
}

func (claimed *keyedCall) retryRecordOutcome(ctx context.Context) {
	random := newRand()
	for attempt := 1; attempt <= maxOutcomeRetries; attempt++ {
		time.Sleep(retry.Backoff(random, outcomeRetryBase, outcomeRetryLimit, attempt))
		err := claimed.write(ctx)
		if err == nil || errors.Is(err, etcd.ErrConflict) {
			return
		}
	}
	claimed.entry.Log.Error("the end of a claimed request could not be stored", zap.String("request_id", claimed.claim.RequestID))
}

// renewClaimLease takes a new lease for claims now and then: claims are forgotten after about a day.
func (entry *Entry) renewClaimLease(ctx context.Context) {
	for ctx.Err() == nil {
		wait := outcomeRetryLimit
		if id, err := entry.store.GrantLease(ctx, claimTTL+claimTTL/claimLeaseDivisor); err == nil {
			entry.claimLease.Store(id)
			wait = claimTTL / claimLeaseDivisor
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}
