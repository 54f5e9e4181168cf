package request

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// Class says how urgent a request is.
type Class uint8

// The classes, the more urgent first.
const (
	Online Class = iota
	Batch
)

// String returns the name of class as it stands in logs and scripts.
func (class Class) String() string {
	if class == Batch {
		return "batch"
	}
	return "online"
}

// Disposition says what became of an attempt.
type Disposition uint8

// The dispositions; only NotRun allows a non-idempotent request to be sent again.
const (
	// MayHaveRun covers every end that neither side can vouch for.
	MayHaveRun Disposition = iota
	// NotRun means that no byte of the request reached the engine.
	NotRun
	// Done means that the whole answer was received.
	Done
	// Failed means that the request ran and is known to have ended without a whole answer.
	Failed
)

var dispositionNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Done: "done", Failed: "failed"}

// String returns the name of disposition as callers see it.
func (disposition Disposition) String() string {
	if int(disposition) < len(dispositionNames) {
		return dispositionNames[disposition]
	}
	return dispositionNames[MayHaveRun]
}

// Reason says why an attempt or a request was refused or broken off.
type Reason string

// The reasons that attempts and requests end with.
const (
	ReasonNone             Reason = ""
	ReasonOverloaded       Reason = "overloaded"
	ReasonAccountLimit     Reason = "account_limit"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonForbiddenPlace   Reason = "forbidden_place"
	ReasonNoConfiguration  Reason = "no_configuration"
	ReasonStaleVersion     Reason = "stale_version"
	ReasonWrongService     Reason = "wrong_service"
	ReasonNoTarget         Reason = "no_target"
	ReasonNoGrant          Reason = "no_grant"
	ReasonPreempted        Reason = "preempted"
	ReasonCancelled        Reason = "cancelled"
	ReasonTombstoned       Reason = "tombstoned"
	ReasonPoisonPill       Reason = "poison"
	ReasonEngineLost       Reason = "engine_lost"
	ReasonTargetLost       Reason = "target_lost"
	ReasonBrokenResponse   Reason = "broken_answer"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonInProgress       Reason = "in_progress"
)

// Outcome is how one attempt ended.
type Outcome struct {
	Disposition Disposition
	Reason      Reason
	RetryAfter  time.Duration // zero where coming back does not help
}

// Retryable reports whether a request may be sent to a further target after outcome.
func (outcome Outcome) Retryable(idempotent bool) bool {
	switch outcome.Reason {
	case ReasonPoisonPill, ReasonCancelled, ReasonTombstoned, ReasonBrokenResponse:
		return false
	default:
		if outcome.Disposition == NotRun {
			return true
		}
		return idempotent && outcome.Disposition != Done && outcome.Reason != ReasonNone
	}
}

// NewID returns a fresh identifier, unique over all processes and ordered by time.
func NewID(prefix string) string {
	id, err := uuid.NewV7()
	if err != nil {
		// The system's source of randomness is gone; nothing can be told apart from here on.
		panic(err)
	}
	return prefix + strings.ReplaceAll(id.String(), "-", "")
}
