package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Engine is one incarnation of an engine, as it registered itself in the store.
type Engine struct {
	ID             string
	StartUnixMilli int64 // start time in Unix milliseconds; an engine may restart with the same ID
	Service        string
	Address        string // IP address and port
	FailureDomain  string
	// SoftwareVersion is the version of the engine's software. What one version streams does not continue the stream of another.
	SoftwareVersion string
	Slots           int // requests that the engine runs at once
	Draining        bool
	Warmup          time.Duration // time after the start during which the engine is slow
	ListedRevision  int64         // revision of the store at which this incarnation was first seen
}

// NewestByAddress returns the engine with the highest ListedRevision at each address, sorted by ID. An engine that crashed
// remains registered for some seconds together with the engine that replaced it at its address. Engines that are refuted, as another one
// answers at their address, come after those that are not.
func NewestByAddress(engines []Engine, isRefuted func(Engine) bool) (newest []Engine) {
	byAddress := map[string]Engine{}
	for _, engine := range engines {
		known, ok := byAddress[engine.Address]
		refuted, knownRefuted := isRefuted(engine), ok && isRefuted(known)
		if !ok || knownRefuted && !refuted || refuted == knownRefuted && engine.ListedRevision > known.ListedRevision {
			byAddress[engine.Address] = engine
		}
	}
	return slices.SortedFunc(maps.Values(byAddress), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// Incarnation returns a name for one run of an engine, made of its ID and its start time.
func (engine Engine) Incarnation() string {
	return engine.ID + "/" + strconv.FormatInt(engine.StartUnixMilli, 10)
}

// Build identifies what an engine streams: a service at a software version.
type Build struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Text returns the build as text, as in records.
func (build Build) Text() (text string) { return build.Service + " " + build.Version }

// Build returns the build of the engine.
func (engine Engine) Build() Build {
	return Build{Service: engine.Service, Version: engine.SoftwareVersion}
}

// Digest returns a hash of the incarnation, which identifies it in messages between processes.
func (engine Engine) Digest() uint64 { return xxhash.Sum64String(engine.Incarnation()) }

// Role is the role of a process of the system.
type Role string

// The roles of a process.
const (
	IngressRole Role = "ingress" // serves callers and sends online requests to engines
	WorkerRole  Role = "worker"  // runs batch jobs
	// ReporterRole reports the load of the engine on its VM to the other processes.
	ReporterRole Role = "reporter"
)

// Member is a running process of the system.
type Member struct {
	Name          string `json:"name"`
	Incarnation   string `json:"boot"` // random ID of the run of the process, from its start to its exit
	Role          Role   `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`             // UDP address for peers
	Fingerprint   string `json:"fingerprint"`         // SHA-256 digest of the TLS certificate, in hexadecimal
	Leaving       bool   `json:"leaving,omitempty"`   // the process is shutting down
	Engine        string `json:"engine,omitempty"`    // address of the engine on the VM of a reporter
	JobBytes      int64  `json:"job_bytes,omitempty"` // of the records of batch jobs for which the process has room; 0 if it has not said so
}

// ID returns the member ID, made of name and incarnation. Ownership records of batch jobs refer to members by it.
func (member Member) ID() string { return member.Name + "/" + member.Incarnation }
