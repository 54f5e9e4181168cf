package request

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// Class is the urgency class of a request.
type Class uint8

// The classes, most urgent first.
const (
	Online Class = iota
	Batch
)

// String returns the name of class used in logs and test scripts.
func (class Class) String() string {
	if class == Batch {
		return "batch"
	}
	return "online"
}

// Disposition says whether the engine executed the request of an attempt.
type Disposition uint8

// The dispositions. A non-idempotent request may be sent again only after NotRun.
const (
	// MayHaveRun means that it is unknown whether the engine executed the request.
	MayHaveRun Disposition = iota
	// NotRun means that the engine did not execute the request: no byte of it reached the engine, or the engine rejected it
	// as an outdated order.
	NotRun
	// Done means that the response was received completely.
	Done
	// Failed means that the engine executed the request but is known not to have completed its response.
	Failed
)

var dispositionNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Done: "done", Failed: "failed"}

// String returns the name of disposition that callers see. Unknown values are reported as MayHaveRun.
func (disposition Disposition) String() string {
	if int(disposition) < len(dispositionNames) {
		return dispositionNames[disposition]
	}
	return dispositionNames[MayHaveRun]
}

// Reason says why an attempt or a request was rejected or aborted.
type Reason string

// The reasons for which attempts and requests end.
const (
	ReasonNone             Reason = ""
	ReasonOverloaded       Reason = "overloaded"
	ReasonAccountLimit     Reason = "account_limit"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonForbiddenPlace   Reason = "forbidden_place"
	ReasonNoConfiguration  Reason = "no_configuration" // the process has not received a configuration yet
	ReasonStaleVersion     Reason = "stale_version"    // the target daemon has an older configuration than the entry, or an order is outdated
	ReasonWrongService     Reason = "wrong_service"    // the target daemon does not have the target, or the target serves another service
	ReasonNoTarget         Reason = "no_target"
	ReasonNoGrant          Reason = "no_grant"  // a batch item had no valid grant, with which a target daemon allows an entry to send batch items
	ReasonPreempted        Reason = "preempted" // the target daemon stopped a batch item, or could not start it immediately
	ReasonCancelled        Reason = "cancelled"
	ReasonTombstoned       Reason = "tombstoned" // the attempt was fenced before it was sent to the engine, or arrived twice
	ReasonPoisonPill       Reason = "poison"
	ReasonEngineLost       Reason = "engine_lost" // the engine failed or is unreachable for the target daemon
	ReasonTargetLost       Reason = "target_lost" // the target daemon failed or is unreachable for the entry
	ReasonBrokenResponse   Reason = "broken_answer"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonInProgress       Reason = "in_progress" // a request with the same idempotency key has not ended
)

// Outcome describes how an attempt or a request ended.
type Outcome struct {
	Disposition Disposition
	Reason      Reason
	RetryAfter  time.Duration // delay after which the caller may retry; zero if a retry would not help
}

// Retryable reports whether a request may be sent to another target after an attempt that ended with outcome.
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

// NewID returns a new identifier: prefix followed by a version 7 UUID without hyphens, which is unique across processes and
// starts with a timestamp.
func NewID(prefix string) string {
	id, err := uuid.NewV7()
	if err != nil {
		// Without the operating system's source of randomness, identifiers would not be unique.
		panic(err)
	}
	return prefix + strings.ReplaceAll(id.String(), "-", "")
}
