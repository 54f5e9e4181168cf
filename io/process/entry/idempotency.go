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
	maxStoredResponse     = 256 << 10              // bytes; a larger response is not kept for replay
	maxKeyBytes           = 256                    // of an idempotency key
	baseOutcomeRetryDelay = 200 * time.Millisecond // backoff of the retries that record an outcome
	maxOutcomeRetryDelay  = 5 * time.Second        // also the delay after a lease was not granted
	maxOutcomeRetries     = 40
	claimTTL              = 24 * time.Hour
	claimLeaseDivisor     = 8 // a new lease is granted every claimTTL/claimLeaseDivisor
)

// keyedCall is a non-idempotent call with an idempotency key.
type keyedCall struct {
	entry    *Entry
	call     *call
	key      string // of the claim in the store
	claim    claim.Claim
	revision int64 // of the claim in the store, 0 if there is none
}

// serveAtMostOnce runs a non-idempotent call at most once, even if it is sent several times or to several entries.
func (entry *Entry) serveAtMostOnce(session *session, call *call, key string) *caller.Error {
	if len(key) > maxKeyBytes {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_idempotency_key", "%s has more than %d characters", caller.IdempotencyKeyHeader, maxKeyBytes)
	}
	if entry.store == nil {
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable})
	}
	digest := sha256.Sum256([]byte(call.service.Name + "\x00" + key))
	keyed := &keyedCall{
		entry: entry,
		call:  call,
		key:   etcd.ClaimKey(call.account.Name, hex.EncodeToString(digest[:])),
	}
	existing, err := etcd.Read[claim.Claim](session.ctx, entry.store, etcd.ClaimCall, keyed.key)
	if err != nil {
		return caller.OutcomeError(request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable})
	}
	if existing.Revision != 0 {
		keyed.claim, keyed.revision = existing.Value, existing.Revision
		if failure, responded := keyed.handleExisting(session); responded {
			return failure
		}
	}
	// The quarantine counts only now: a request that was sent under this key before may have run.
	if failure := entry.rejectQuarantined(call); failure != nil {
		return failure
	}
	return keyed.run(session)
}

// handleExisting handles a call whose key is already claimed. responded is false if the call is safe to run now.
func (keyed *keyedCall) handleExisting(session *session) (failure *caller.Error, responded bool) {
	switch keyed.claim.ActionFor(keyed.call.fingerprint) {
	case claim.Mismatch:
		return caller.InvalidRequest(http.StatusUnprocessableEntity, "idempotency_key_reused", "%s was used for another request", caller.IdempotencyKeyHeader), true
	case claim.Replay:
		return keyed.replay(session), true
	default:
		fenced, reason := keyed.fence(session.ctx)
		if fenced {
			return nil, false
		}
		return caller.OutcomeError(request.Outcome{Disposition: request.MayHaveRun, Reason: reason}), true
	}
}

// fence calls the target daemon named in the claim to ensure that the attempt never runs. If that fails, it returns
// the reason to report to the caller.
func (keyed *keyedCall) fence(ctx context.Context) (fenced bool, reason request.Reason) {
	daemon, ok := keyed.entry.fleet.Load().daemons[keyed.claim.Daemon]
	if !ok {
		return false, request.ReasonTargetLost
	}
	conns := daemon.connections.Load()
	if conns == nil {
		return false, request.ReasonTargetLost
	}
	response, err := conns.clientFor(request.Online).Call(ctx, peer.Call{
		Kind:        peer.CallFence,
		RequestID:   keyed.claim.RequestID,
		AttemptID:   keyed.claim.AttemptID,
		Incarnation: keyed.claim.Incarnation,
	})
	switch {
	case err != nil:
		return false, request.ReasonTargetLost
	case response.Fenced:
		return true, request.ReasonNone
	case response.Found:
		return false, request.ReasonInProgress
	}
	return false, request.ReasonBrokenResponse
}

// replay responds with the outcome and the response that the claim holds.
func (keyed *keyedCall) replay(session *session) *caller.Error {
	existing := keyed.claim
	session.setHeader(caller.RequestIDHeader, existing.RequestID)
	session.setHeader(caller.TargetHeader, existing.Target)
	if existing.Disposition != request.Done || existing.Response == nil {
		outcome := request.Outcome{Disposition: existing.Disposition, Reason: existing.Reason}
		if existing.Disposition == request.Done {
			return caller.InvalidRequest(http.StatusConflict, "answer_not_kept", "the request was done; its answer was too large to be kept")
		}
		return caller.OutcomeError(outcome)
	}
	receiver := &bufferedReceiver{status: existing.Response.Status, body: existing.Response.Body}
	receiver.headers = []peer.Header{{Name: "Content-Type", Value: existing.Response.ContentType}}
	session.setHeader(caller.DispositionHeader, existing.Disposition.String())
	receiver.write(session.iris.ResponseWriter())
	return nil
}

// run makes attempts, each of which is written to the claim first, until one is not to be retried or no target is left.
func (keyed *keyedCall) run(session *session) *caller.Error {
	call, entry := keyed.call, keyed.entry
	ctx, cancel := context.WithDeadline(session.ctx, call.deadline)
	defer cancel()
	plan := &retry.Plan{MaxAttempts: entry.Settings.MaxAttempts, Deadline: call.deadline}
	entry.retryBudget.Deposit()
	receiver := newReceiver(session, call)
	result := result{Outcome: request.Outcome{Disposition: request.NotRun, Reason: request.ReasonNoTarget}}
	for {
		view, outcome := entry.chooseTarget(call, plan)
		if view == nil {
			if plan.Attempts() == 0 {
				result.Outcome = outcome
			}
			break
		}
		plan.Begin(view.name)
		call.attemptID = request.NewID("attempt-")
		if err := keyed.claimAttempt(ctx, view); err != nil {
			return keyed.claimError(err)
		}
		result.target, result.place = view.name, view.place
		result.Outcome, result.end = entry.attempt(ctx, call, view, receiver)
		if !plan.ShouldRetry(time.Now(), result.Outcome, &entry.retryBudget) {
			break
		}
	}
	result.attempts = plan.Attempts()
	keyed.recordOutcome(session.ctx, result.Outcome, receiver)
	return entry.respondBuffered(session, call, result, receiver)
}

// claimError returns the error for a claim that could not be written. The request was not sent.
func (keyed *keyedCall) claimError(err error) *caller.Error {
	outcome := request.Outcome{Disposition: request.NotRun, Reason: request.ReasonStoreUnavailable}
	if errors.Is(err, etcd.ErrConflict) {
		// Another call with the same key has written its claim in the meantime.
		outcome = request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonInProgress}
	}
	return caller.OutcomeError(outcome)
}

// claimAttempt writes an attempt on the target of view to the claim.
func (keyed *keyedCall) claimAttempt(ctx context.Context, view *targetView) (err error) {
	defer func() { err = errors.Annotate(err, "writing the claim of a request") }()
	if keyed.revision == 0 {
		keyed.claim = claim.Claim{
			State:       claim.Started,
			RequestID:   keyed.call.id,
			Fingerprint: keyed.call.fingerprint,
		}
	}
	handshake := view.daemon.handshake.Load()
	keyed.claim = keyed.claim.WithAttempt(keyed.call.attemptID, view.name, handshake.Name, handshake.Incarnation)
	keyed.claim.RequestID = keyed.call.id
	return keyed.write(ctx)
}

// write stores the claim. It returns [etcd.ErrConflict] if the stored claim has changed since it was last read or
// written.
func (keyed *keyedCall) write(ctx context.Context) (err error) {
	operationID := etcd.NewOperation()
	data, err := etcd.Encode(operationID, keyed.claim)
	if err != nil {
		return err
	}
	put := etcd.Put(keyed.key, data)
	put.Put.Lease = keyed.entry.claimLease.Load()
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(keyed.key, keyed.revision)},
		Success: []etcd.RequestOp{put},
	}
	revision, err := etcd.Commit(ctx, keyed.entry.store, etcd.ClaimCall, txn, keyed.key, operationID)
	if err != nil {
		return err
	}
	keyed.revision = revision
	return nil
}

// recordOutcome stores the outcome of the request in the claim, even if the caller has disconnected. If the
// store is unavailable, it retries in the background.
func (keyed *keyedCall) recordOutcome(ctx context.Context, outcome request.Outcome, receiver *bufferedReceiver) {
	if keyed.revision == 0 {
		return
	}
	if outcome.Disposition == request.NotRun {
		// The claim stays as it is: the next call with the key fences the attempt and runs.
		return
	}
	keyed.claim = keyed.claim.WithOutcome(outcome, storedResponse(receiver))
	ctx = context.WithoutCancel(ctx)
	err := keyed.write(ctx)
	if err == nil || errors.Is(err, etcd.ErrConflict) {
		return
	}
	go keyed.retryRecordOutcome(ctx)
}

// storedResponse returns the response to store in a claim, or nil if its body is larger than maxStoredResponse.
func storedResponse(receiver *bufferedReceiver) *claim.Response {
	if len(receiver.body) > maxStoredResponse {
		return nil
	}
	response := &claim.Response{Status: receiver.status, Body: receiver.body}
	for _, header := range receiver.headers {
		if header.Name == "Content-Type" {
			response.ContentType = header.Value
		}
	}
	return response
}

// retryRecordOutcome writes the claim until it succeeds or another call has changed it, at most maxOutcomeRetries
// times.
func (keyed *keyedCall) retryRecordOutcome(ctx context.Context) {
	random := newRand()
	for attempt := 1; attempt <= maxOutcomeRetries; attempt++ {
		time.Sleep(retry.Backoff(random, baseOutcomeRetryDelay, maxOutcomeRetryDelay, attempt))
		err := keyed.write(ctx)
		if err == nil || errors.Is(err, etcd.ErrConflict) {
			return
		}
	}
	keyed.entry.Log.Error("cannot store the outcome of a claimed request", zap.String("request_id", keyed.claim.RequestID))
}

// renewClaimLease regularly grants a new lease for claims, so that a claim is deleted about claimTTL after it was
// written.
func (entry *Entry) renewClaimLease(ctx context.Context) {
	for ctx.Err() == nil {
		wait := maxOutcomeRetryDelay
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
