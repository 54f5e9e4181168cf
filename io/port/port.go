package port

import (
	"net/http"
	"time"

	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
)

// RecordKind says what lies under a key of the store.
type RecordKind uint8

// The kinds of record.
const (
	OtherRecord         RecordKind = iota
	ConfigurationRecord            // the routing table
	EngineRecord                   // one engine, under its ID
	RetirementRecord               // a VM that is to be emptied, under its name
	OwnRecord                      // the system's own
)

// Records reads what the platform keeps in the store.
type Records interface {
	// Classify tells what lies under key, and the rest of the key that names it.
	Classify(key string) (kind RecordKind, name string)
	// Prefixes returns what all records' keys begin with, the most urgent first; own is a prefix of the system's own
	// records that is urgent too.
	Prefixes(own string) (prefixes []string)
	// OwnKey returns the key of one of the system's own records.
	OwnKey(name string) (key string)
	// Configuration reads a routing table.
	Configuration(value []byte) (table *routes.Table, err error)
	// Engine reads what an engine says of itself; an entry that names no usable engine is an error.
	Engine(id string, value []byte) (engine fleet.Engine, err error)
	// RetirementStatus returns the record that reports how far the emptying of a VM has come.
	RetirementStatus(name string, done bool) (key string, value []byte)
}

// CallKind says what a caller wants.
type CallKind uint8

// The kinds of call.
const (
	RequestCall   CallKind = iota // a request for an engine, or a batch job, as its route says
	ResultsCall                   // results of a batch job
	ItemBodyCall                  // the body of an item of a batch job
	CancelJobCall                 // the end of a batch job
)

// Call is a caller's request, decoded.
type Call struct {
	Kind      CallKind
	RequestID string
	Remaining time.Duration // how long the caller will wait; 0 where it does not say
	LastEvent string        // the caller has had the stream up to this event; empty: none of it
	JobID     string
	ItemID    string
	After     int           // results that the caller has had
	Wait      time.Duration // it accepts to wait for a further result
}

// Attempt is what the system adds to a request on its way to an engine.
type Attempt struct {
	RequestID string
	Engine    string // the ID of the engine that is meant; another one refuses
	Remaining time.Duration
	LastEvent string // the stream goes on after this event; empty: from its start
}

// Load is an engine's own word on its load.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what an engine's response head says beside its status.
type Answer struct {
	RequestID   string
	Signed      bool // it bears the engine's signature
	NotExecuted bool // the engine has not run the request and will not
	WrongEngine bool // another engine than the one that was meant has the address
	Load        Load
	HasLoad     bool
}

// Callers reads and writes the messages of callers.
type Callers interface {
	// Call decodes the head of a request.
	Call(request *http.Request) (call Call, err error)
	// Job decodes the body of a batch job.
	Job(body []byte) (items []jobrecord.Item, err error)
	// Results encodes a page of results.
	Results(total int, results []jobrecord.Result, next int) (body []byte, err error)
}

// Engines reads and writes the heads of messages to and from engines.
type Engines interface {
	// Apply sets the fields of attempt on header.
	Apply(header http.Header, attempt Attempt)
	// Answer decodes the head of a response.
	Answer(response *http.Response) Answer
	// ReportURL returns where an engine tells its load.
	ReportURL(address string) (url string)
	// Report decodes an engine's word on its load; it leaves out the slots.
	Report(body []byte) (load Load, err error)
}
