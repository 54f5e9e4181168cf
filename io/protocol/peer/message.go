package peer

import (
	"time"

	"cowslipway/core/state/order"
	"cowslipway/core/state/request"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Attempt asks a target to run a request once.
type Attempt struct {
	RequestID     string        `msgpack:"request"`
	AttemptID     string        `msgpack:"attempt"`
	Entry         string        `msgpack:"entry"`   // name of the sender
	Version       int64         `msgpack:"version"` // of the sender's configuration
	Class         request.Class `msgpack:"class"`
	Account       string        `msgpack:"account"`
	Service       string        `msgpack:"service"`
	Place         string        `msgpack:"place"`
	Target        string        `msgpack:"target"`
	Method        string        `msgpack:"method"`
	Path          string        `msgpack:"path"`
	Headers       []Header      `msgpack:"headers"`
	Remaining     time.Duration `msgpack:"remaining"`
	Tokens        int64         `msgpack:"tokens"` // estimate
	Idempotent    bool          `msgpack:"idempotent"`
	Weight        float64       `msgpack:"weight"` // share of the account on the service
	Fingerprint   uint64        `msgpack:"fingerprint"`
	Suspect       bool          `msgpack:"suspect"` // was in flight when a target crashed
	GrantID       uint64        `msgpack:"grant"`
	JobID         string        `msgpack:"job"` // of a batch item
	TraceParent   string        `msgpack:"trace"`
	BodySizeBytes int64         `msgpack:"body"`
}

// Head carries the status and header fields of the target's answer.
type Head struct {
	Status  int      `msgpack:"status"`
	Headers []Header `msgpack:"headers"`
}

// End is the last frame of an answer; an answer without it is not whole.
type End struct {
	Disposition request.Disposition `msgpack:"disposition"`
	Reason      request.Reason      `msgpack:"reason"`
	Detail      string              `msgpack:"detail,omitempty"`
	RetryAfter  time.Duration       `msgpack:"retry_after,omitempty"`
	Frames      uint64              `msgpack:"frames"`
	Digest      uint64              `msgpack:"digest"`
	Tokens      int64               `msgpack:"tokens"`
	Load        Load                `msgpack:"load"`
	Grant       Grant               `msgpack:"grant"`
}

// Outcome returns what end says of the attempt.
func (end End) Outcome() request.Outcome {
	return request.Outcome{Disposition: end.Disposition, Reason: end.Reason, RetryAfter: end.RetryAfter}
}

// Load is the state of one target's gate.
type Load struct {
	Target   string `msgpack:"target"`
	Slots    int    `msgpack:"slots"`
	Online   int    `msgpack:"online"`
	Batch    int    `msgpack:"batch"`
	Queued   int    `msgpack:"queued"`
	Draining bool   `msgpack:"draining"`
	Healthy  bool   `msgpack:"healthy"`
}

// Grant allows an entry to send batch items to a target; the lifetime counts from its receipt, while the
// target judges it by its own clock from the moment it was given.
type Grant struct {
	ID       uint64        `msgpack:"id"`
	Target   string        `msgpack:"target"`
	Slots    int           `msgpack:"slots"`
	Lifetime time.Duration `msgpack:"lifetime"`
}

// Handshake opens the control stream of a connection and names the sender.
type Handshake struct {
	Name        string       `msgpack:"name"`
	Incarnation string       `msgpack:"incarnation"`
	Place       string       `msgpack:"place"`
	Domain      string       `msgpack:"domain"`
	Version     int64        `msgpack:"version"`
	Targets     []TargetInfo `msgpack:"targets"`
}

// TargetInfo names one target behind a daemon and the service that it serves.
type TargetInfo struct {
	Name    string `msgpack:"name"`
	Service string `msgpack:"service"`
}

// Report tells an entry the load of a daemon's targets and grants it batch slots.
type Report struct {
	Version     int64    `msgpack:"version"`
	Loads       []Load   `msgpack:"loads"`
	Grants      []Grant  `msgpack:"grants"`
	Suspects    []uint64 `msgpack:"suspects"`
	Quarantined []uint64 `msgpack:"poison"`
}

// Heartbeat tells a daemon how many batch items an entry could send for each service; it also keeps the
// entry's running batch items alive.
type Heartbeat struct {
	Version  int64            `msgpack:"version"`
	Services []ServiceBacklog `msgpack:"services"`
	// Cancelled names batch jobs whose items must stop at once, whoever sent them.
	Cancelled []string `msgpack:"cancelled"`
	// Drain asks the daemon to refuse new work from now on.
	Drain       bool     `msgpack:"drain"`
	Suspects    []uint64 `msgpack:"suspects"`
	Quarantined []uint64 `msgpack:"poison"`
}

// ServiceBacklog is the number of batch items that wait for one service.
type ServiceBacklog struct {
	Service string `msgpack:"service"`
	Items   int    `msgpack:"items"`
}

// ConfigurationUpdate carries an encoded configuration, or a delta to one, to a peer that is behind.
type ConfigurationUpdate struct {
	Version int64  `msgpack:"version"`
	Delta   bool   `msgpack:"delta"`
	Data    []byte `msgpack:"data"` // JSON, compressed with zstd
}

// CallKind says what an Ask wants.
type CallKind uint8

// The kinds of questions.
const (
	// CallFindRuns asks what became of a request.
	CallFindRuns CallKind = iota + 1
	// CallFence asks to make sure that an attempt never runs from now on.
	CallFence
	// CallOrder passes an operator's order to the engine of a target on.
	CallOrder
)

// Call is a question to a daemon.
type Call struct {
	Kind        CallKind    `msgpack:"kind"`
	RequestID   string      `msgpack:"request"`
	AttemptID   string      `msgpack:"attempt"`
	Incarnation string      `msgpack:"incarnation"`
	Target      string      `msgpack:"target"`
	Order       order.Order `msgpack:"order"`
}

// CallResponse is what a daemon says to an Ask.
type CallResponse struct {
	Found   bool    `msgpack:"found"`
	Fenced  bool    `msgpack:"fenced"` // the attempt never ran here and never will
	Runs    []Run   `msgpack:"runs"`
	Outcome Outcome `msgpack:"outcome"` // of an order
}

// Outcome is how an order ended.
type Outcome struct {
	Disposition request.Disposition `msgpack:"disposition"`
	Reason      request.Reason      `msgpack:"reason"`
}

// NewOutcome returns outcome as it is sent.
func NewOutcome(outcome request.Outcome) Outcome {
	return Outcome{Disposition: outcome.Disposition, Reason: outcome.Reason}
}

// Run is one line of a daemon's record of runs.
type Run struct {
	RequestID   string    `msgpack:"request" json:"request_id"`
	AttemptID   string    `msgpack:"attempt" json:"attempt_id"`
	Account     string    `msgpack:"account" json:"account"`
	Service     string    `msgpack:"service" json:"service"`
	Place       string    `msgpack:"place" json:"place"`
	Target      string    `msgpack:"target" json:"target"`
	Daemon      string    `msgpack:"daemon" json:"daemon"`
	State       string    `msgpack:"state" json:"state"`
	Disposition string    `msgpack:"disposition" json:"disposition,omitempty"`
	Reason      string    `msgpack:"reason" json:"reason,omitempty"`
	Started     time.Time `msgpack:"started" json:"started"`
	Ended       time.Time `msgpack:"ended" json:"ended,omitzero"`
}
