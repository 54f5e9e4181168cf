package claim

import "cowslipway/core/state/request"

// State is how far a claimed request has come.
type State string

// The states.
const (
	// Started means that the request was about to be sent to the target named.
	Started State = "started"
	// Ended means that the claim holds how the request ended.
	Ended State = "ended"
)

// Claim is written before a non-idempotent request is sent, and once more when it has ended.
type Claim struct {
	State       State  `json:"state"`
	RequestID   string `json:"request_id"`
	Fingerprint uint64 `json:"fingerprint"`
	Target      string `json:"target"`
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"` // of the daemon
	AttemptID   string `json:"attempt_id"`

	Disposition request.Disposition `json:"disposition,omitempty"`
	Reason      request.Reason      `json:"reason,omitempty"`
	Response    *Response           `json:"answer,omitempty"` // nil where it was too large to be kept
}

// Response is a stored answer.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// WithAttempt returns a copy of claim for a further attempt.
func (claim Claim) WithAttempt(attemptID, target, daemon, incarnation string) Claim {
	claim.AttemptID, claim.Target, claim.Daemon, claim.Incarnation = attemptID, target, daemon, incarnation
	return claim
}

// WithOutcome returns a copy of claim that tells how the request ended.
func (claim Claim) WithOutcome(outcome request.Outcome, answer *Response) Claim {
	claim.State, claim.Disposition, claim.Reason, claim.Response = Ended, outcome.Disposition, outcome.Reason, answer
	return claim
}

// Action is what to do with a request whose key is claimed already.
type Action uint8

// The steps.
const (
	// Replay answers with what is stored.
	Replay Action = iota + 1
	// Fence asks the daemon named to make sure that the attempt never runs.
	Fence
	// Mismatch refuses the request: the key belongs to another one.
	Mismatch
)

// ActionFor returns what to do with a request of fingerprint that finds claim.
func (claim Claim) ActionFor(fingerprint uint64) Action {
	switch {
	case claim.Fingerprint != fingerprint:
		return Mismatch
	case claim.State == Ended:
		return Replay
	}
	return Fence
}
