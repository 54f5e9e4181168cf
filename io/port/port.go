package port

import (
	"net/http"
	"time"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
)

// RecordKind is the kind of a record in the store.
type RecordKind uint8

// The kinds of record.
const (
	OtherRecord         RecordKind = iota // not used by the system
	ConfigurationRecord                   // the routing table
	EngineRecord                          // one engine, under its ID
	RetirementRecord                      // a VM to be emptied, under its name
	OwnRecord                             // written by the system itself
)

// Records decodes and encodes the platform's records in the store.
type Records interface {
	// Classify returns the kind of the record under key, and its name: the key without the prefix of its kind.
	Classify(key string) (kind RecordKind, name string)
	// Prefixes returns key prefixes that cover all records, in the order in which to read them. Of the own records, those
	// whose names start with one of own come first, in that order.
	Prefixes(own ...string) (prefixes []string)
	// OwnKey returns the key of the own record called name.
	OwnKey(name string) (key string)
	// Configuration decodes a routing table.
	Configuration(value []byte) (table *routes.Table, err error)
	// Engine decodes the record of the engine called id. A record that does not describe a usable engine is an error.
	Engine(id string, value []byte) (engine fleet.Engine, err error)
	// RetirementStatus encodes the record that reports to the platform whether the VM called name has been emptied.
	RetirementStatus(name string, done bool) (key string, value []byte)
}

// CallKind is the operation that a caller requests.
type CallKind uint8

// The kinds of call.
const (
	RequestCall   CallKind = iota // runs an online request or submits a batch job, depending on the route
	ResultsCall                   // reads results of a batch job
	ItemBodyCall                  // reads the body of an item of a batch job
	CancelJobCall                 // cancels a batch job
)

// Call is the decoded head of a caller's request.
type Call struct {
	Kind        CallKind
	RequestID   string
	Remaining   time.Duration // time until the caller's deadline; 0 if it has none
	LastEventID string        // ID of the last event that the caller received; the stream resumes after it, or starts if it is empty
	BegunBy     string        // ID of the request that brought the first event of a stream that the caller resumes
	JobID       string
	ItemID      string
	After       int           // number of results that the caller already has
	Wait        time.Duration // longest time to wait for more results
	// Prefix is the part of the prompt that other requests share, which an engine may have cached.
	Prefix placement.Prefix
	Key    string // API key of the caller's client account; empty if there is none. It must not be logged or sent on
	Size   Size
}

// Size is the size that a generation declares, in tokens; 0 means unknown.
type Size struct {
	PromptTokens    int
	MaxOutputTokens int
}

// Attempt holds the header values that the system sets on a request to an engine.
type Attempt struct {
	RequestID   string
	Engine      string        // ID of the addressed engine; any other engine rejects the request
	Remaining   time.Duration // time until the caller's deadline; 0 if it has none
	LastEventID string        // ID of the event after which the stream resumes; empty: from the start
	Account     string        // name of the client account; empty if there is none
	HasAccounts bool          // there are client accounts: Account goes in place of what the caller sent, and its key is not sent on
}

// Load is the load that an engine reports for itself.
type Load struct {
	Running, Waiting, Slots int // in requests

	// Slowdown is how much longer than usual work takes on the engine's VM at this moment: 1 is as usual; 0 means not stated.
	Slowdown float64
}

// Report is what an engine reports of itself.
type Report struct {
	Load           Load  // without the number of slots, which reports do not contain
	StartUnixMilli int64 // start time of the engine in Unix milliseconds; 0 if it is not stated
}

// ResponseHead is the decoded head of an engine's response, without its status.
type ResponseHead struct {
	RequestID   string
	Signed      bool // the response has the engine's signature, with which it names itself; the value is not checked
	NotExecuted bool // the engine has not executed the request and will not
	WrongEngine bool // another engine than the addressed one responded
	Leaving     bool // the engine is about to end and takes no further requests
	Load        Load
	HasLoad     bool    // Load is set
	Limit       float64 // requests per second that the engine takes from all processes together
	HasLimit    bool    // Limit is set; a response without one says that there is none
	// LimitUnreadable is set if the response has a limit that can't be read, so that it says nothing about it.
	LimitUnreadable bool
}

// Callers decodes callers' requests and encodes the responses to them.
type Callers interface {
	// Call decodes the head of a request.
	Call(request *http.Request) (call Call, err error)
	// Job decodes the body of a request that submits a batch job of at most maxItems items. It takes no more memory than the body does.
	Job(body []byte, maxItems int) (items []jobrecord.Item, err error)
	// Results encodes a page of the results of a batch job with total items; next is the value of Call.After for the
	// next page.
	Results(total int, results []jobrecord.Result, next int) (body []byte, err error)
}

// Engines encodes the heads of requests to engines and decodes engines' responses.
type Engines interface {
	// Apply sets the fields of attempt on header.
	Apply(header http.Header, attempt Attempt)
	// PromptParts returns the IDs of the parts of a request's prompt that other requests may have too, in their order. Their number is
	// bounded.
	PromptParts(header http.Header) (ids []string)
	// Size decodes the size that the header of a request or item declares.
	Size(header http.Header) Size
	// ResponseHead decodes the head of a response.
	ResponseHead(response *http.Response) ResponseHead
	// ReportURL returns the URL at which the engine at address reports its load.
	ReportURL(address string) (url string)
	// Report decodes an engine's load report.
	Report(body []byte) (report Report, err error)
	// Expect sets the field of a request that makes any other engine than the one called engine reject it.
	Expect(header http.Header, engine string)
}
