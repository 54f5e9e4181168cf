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

// Attempt makes a target daemon execute a request once. Frames with the request's body follow it on the stream.
type Attempt struct {
	RequestID     string        `msgpack:"request"`
	AttemptID     string        `msgpack:"attempt"`
	Entry         string        `msgpack:"entry"`   // name of the sending entry
	Version       int64         `msgpack:"version"` // configuration version of the sending entry
	Class         request.Class `msgpack:"class"`
	Account       string        `msgpack:"account"`
	Service       string        `msgpack:"service"`
	Place         string        `msgpack:"place"`
	Target        string        `msgpack:"target"`
	Method        string        `msgpack:"method"`
	Path          string        `msgpack:"path"`
	Headers       []Header      `msgpack:"headers"`
	Remaining     time.Duration `msgpack:"remaining"` // time until the request's deadline
	Tokens        int64         `msgpack:"tokens"`    // estimated number of tokens of prompt and response
	Idempotent    bool          `msgpack:"idempotent"`
	Weight        float64       `msgpack:"weight"`      // weight of the account for the service
	Fingerprint   uint64        `msgpack:"fingerprint"` // hash that identifies equal requests
	Suspect       bool          `msgpack:"suspect"`     // the request was in flight when a target crashed
	GrantID       uint64        `msgpack:"grant"`       // ID of the grant that allows a batch item
	JobID         string        `msgpack:"job"`         // ID of the batch job of a batch item
	TraceParent   string        `msgpack:"trace"`
	BodySizeBytes int64         `msgpack:"body"`
}

// Head carries the status and the header fields of the response to an attempt.
type Head struct {
	Status  int      `msgpack:"status"`
	Headers []Header `msgpack:"headers"`
}

// End is the last frame of the response to an attempt. A response without it is incomplete.
type End struct {
	Disposition request.Disposition `msgpack:"disposition"`
	Reason      request.Reason      `msgpack:"reason"`
	Detail      string              `msgpack:"detail,omitempty"` // error text, for diagnosis
	RetryAfter  time.Duration       `msgpack:"retry_after,omitempty"`
	Frames      uint64              `msgpack:"frames"` // number of data frames
	Digest      uint64              `msgpack:"digest"` // XXH64 of the data
	Tokens      int64               `msgpack:"tokens"` // tokens processed; 0 unless Disposition is Done or Failed
	Load        Load                `msgpack:"load"`
	Grant       Grant               `msgpack:"grant"` // zero if none is granted
}

// Outcome returns the outcome of the attempt.
func (end End) Outcome() request.Outcome {
	return request.Outcome{Disposition: end.Disposition, Reason: end.Reason, RetryAfter: end.RetryAfter}
}

// Load is the state of a target's gate, which decides when attempts are sent to the engine.
type Load struct {
	Target   string `msgpack:"target"`
	Slots    int    `msgpack:"slots"`  // attempts that may run at once
	Online   int    `msgpack:"online"` // running online attempts
	Batch    int    `msgpack:"batch"`  // running batch attempts
	Queued   int    `msgpack:"queued"` // online attempts waiting for a slot
	Draining bool   `msgpack:"draining"`
	Healthy  bool   `msgpack:"healthy"`
}

// Grant allows an entry to send batch items to a target. For the entry, the lifetime begins when it receives the grant; the
// target daemon measures it with its own clock from the moment of granting.
type Grant struct {
	ID       uint64        `msgpack:"id"`
	Target   string        `msgpack:"target"`
	Slots    int           `msgpack:"slots"` // maximum number of batch items
	Lifetime time.Duration `msgpack:"lifetime"`
}

// Handshake is the first message in each direction of a control stream. It describes the sender.
type Handshake struct {
	Name        string       `msgpack:"name"`
	Incarnation string       `msgpack:"incarnation"`
	Place       string       `msgpack:"place"`
	Domain      string       `msgpack:"domain"`  // failure domain
	Version     int64        `msgpack:"version"` // configuration version of the sender
	Targets     []TargetInfo `msgpack:"targets"` // empty if the sender is an entry
}

// TargetInfo names a target of a target daemon and the service that the target serves.
type TargetInfo struct {
	Name    string `msgpack:"name"`
	Service string `msgpack:"service"`
}

// Report is sent by a target daemon to an entry. It carries the load of the daemon's targets and grants for batch items.
type Report struct {
	Version     int64    `msgpack:"version"` // configuration version of the target daemon
	Loads       []Load   `msgpack:"loads"`
	Grants      []Grant  `msgpack:"grants"`
	Suspects    []uint64 `msgpack:"suspects"` // fingerprints of requests that were in flight when a target crashed
	Quarantined []uint64 `msgpack:"poison"`   // fingerprints of requests that must not be executed again
}

// Heartbeat is sent periodically by an entry to a target daemon. If it fails to arrive, the target daemon preempts the
// entry's batch items.
type Heartbeat struct {
	Version  int64            `msgpack:"version"`  // configuration version of the entry
	Services []ServiceBacklog `msgpack:"services"` // the entry's batch backlog
	// Cancelled holds the IDs of batch jobs whose items must be cancelled, including items sent by other entries.
	Cancelled []string `msgpack:"cancelled"`
	// Drain makes the target daemon reject new work from now on.
	Drain       bool     `msgpack:"drain"`
	Suspects    []uint64 `msgpack:"suspects"` // as in Report
	Quarantined []uint64 `msgpack:"poison"`   // as in Report
}

// ServiceBacklog is the number of batch items of one service that wait for a slot.
type ServiceBacklog struct {
	Service string `msgpack:"service"`
	Items   int    `msgpack:"items"`
}

// ConfigurationUpdate updates the configuration of a peer to Version.
type ConfigurationUpdate struct {
	Version int64  `msgpack:"version"`
	Delta   bool   `msgpack:"delta"` // Data is a config.Delta, not a whole config.Configuration
	Data    []byte `msgpack:"data"`  // JSON, compressed with zstd
}

// CallKind identifies the operation of a Call.
type CallKind uint8

// The kinds of calls; their values are part of the wire format.
const (
	// CallFindRuns returns the recorded runs of a request.
	CallFindRuns CallKind = iota + 1
	// CallFence ensures that an attempt is never executed from now on.
	CallFence
	// CallOrder forwards an operator's order to the engine of a target.
	CallOrder
)

// Call is a remote procedure call from an entry to a target daemon.
type Call struct {
	Kind        CallKind    `msgpack:"kind"`
	RequestID   string      `msgpack:"request"`     // for CallFindRuns and CallFence
	AttemptID   string      `msgpack:"attempt"`     // for CallFence
	Incarnation string      `msgpack:"incarnation"` // for CallFence: incarnation of the target daemon that the attempt was sent to
	Target      string      `msgpack:"target"`      // for CallOrder
	Order       order.Order `msgpack:"order"`       // for CallOrder
}

// CallResponse is a target daemon's response to a Call.
type CallResponse struct {
	// Found reports whether runs exist (CallFindRuns), the attempt is unfinished (CallFence) or the target exists (CallOrder).
	Found   bool    `msgpack:"found"`
	Fenced  bool    `msgpack:"fenced"`  // for CallFence: the attempt was not and will not be executed
	Runs    []Run   `msgpack:"runs"`    // for CallFindRuns
	Outcome Outcome `msgpack:"outcome"` // for CallOrder
}

// Outcome is the outcome of an order.
type Outcome struct {
	Disposition request.Disposition `msgpack:"disposition"`
	Reason      request.Reason      `msgpack:"reason"`
}

// NewOutcome converts outcome to its wire form.
func NewOutcome(outcome request.Outcome) Outcome {
	return Outcome{Disposition: outcome.Disposition, Reason: outcome.Reason}
}

// Run is the record of one attempt in the history of an entry or target daemon.
type Run struct {
	RequestID   string    `msgpack:"request" json:"request_id"`
	AttemptID   string    `msgpack:"attempt" json:"attempt_id"`
	Account     string    `msgpack:"account" json:"account"`
	Service     string    `msgpack:"service" json:"service"`
	Place       string    `msgpack:"place" json:"place"`
	Target      string    `msgpack:"target" json:"target"`
	Daemon      string    `msgpack:"daemon" json:"daemon"` // name of the process that recorded the run
	State       string    `msgpack:"state" json:"state"`
	Disposition string    `msgpack:"disposition" json:"disposition,omitempty"`
	Reason      string    `msgpack:"reason" json:"reason,omitempty"`
	Started     time.Time `msgpack:"started" json:"started"`
	Ended       time.Time `msgpack:"ended" json:"ended,omitzero"`
}
