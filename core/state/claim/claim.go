package claim

import "cowslipway/core/state/request"

// State is the state of a claimed request.
type State string

// The states of a claimed request.
const (
	// Started means that the request may have been sent to the target in the claim.
	Started State = "started"
	// Ended means that the request has ended and the claim holds its outcome.
	Ended State = "ended"
)

// Claim is the idempotency record of a non-idempotent request. It is written before the request is sent and updated when the
// request has ended.
type Claim struct {
	State       State  `json:"state"`
	RequestID   string `json:"request_id"`
	Fingerprint uint64 `json:"fingerprint"` // hash of the request, to detect a key that is used for another request
	Target      string `json:"target"`
	Daemon      string `json:"daemon"`      // name of the target daemon
	Incarnation string `json:"incarnation"` // identifies the run of the target daemon, from its start to its exit
	AttemptID   string `json:"attempt_id"`  // ID of the latest attempt

	Disposition request.Disposition `json:"disposition,omitempty"`
	Reason      request.Reason      `json:"reason,omitempty"`
	Response    *Response           `json:"answer,omitempty"` // nil if the response was too large to store
}

// Response is a stored HTTP response.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// WithAttempt returns a copy of claim for another attempt.
func (claim Claim) WithAttempt(attemptID, target, daemon, incarnation string) Claim {
	claim.AttemptID, claim.Target, claim.Daemon, claim.Incarnation = attemptID, target, daemon, incarnation
	return claim
}

// WithOutcome returns a copy of claim in state Ended with the given outcome and response.
func (claim Claim) WithOutcome(outcome request.Outcome, response *Response) Claim {
	claim.State, claim.Disposition, claim.Reason, claim.Response = Ended, outcome.Disposition, outcome.Reason, response
	return claim
}

// Action is what to do with a request whose idempotency key is already claimed.
type Action uint8

// The actions that ActionFor returns.
const (
	// Replay returns the stored outcome to the caller.
	Replay Action = iota + 1
	// Fence makes the target daemon in the claim ensure that the attempt never runs.
	Fence
	// Mismatch rejects the request, because its key was used for a different request.
	Mismatch
)

// ActionFor returns the action for a request with the given fingerprint that arrives with the key of claim.
func (claim Claim) ActionFor(fingerprint uint64) Action {
	switch {
	case claim.Fingerprint != fingerprint:
		return Mismatch
	case claim.State == Ended:
		return Replay
	}
	return Fence
}
