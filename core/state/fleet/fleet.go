package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Engine is one incarnation of an engine, as it describes itself.
type Engine struct {
	ID             string
	StartUnixMilli int64 // Unix milliseconds of its start: an engine may start again under its former ID
	Service        string
	Address        string // IP and port
	FailureDomain  string
	Slots          int
	Draining       bool
	Warmup         time.Duration // it stays slow for this long after its start
	ListedRevision int64         // revision of the store at which this incarnation was first seen
}

// NewestByAddress returns the engines, sorted by ID, without those whose address has a newer one: an engine that crashed is
// listed for some seconds beside the one that took its place.
func NewestByAddress(engines []Engine) (newest []Engine) {
	at := map[string]Engine{}
	for _, engine := range engines {
		if known, ok := at[engine.Address]; !ok || engine.ListedRevision > known.ListedRevision {
			at[engine.Address] = engine
		}
	}
	return slices.SortedFunc(maps.Values(at), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// Incarnation names one start of one engine.
func (engine Engine) Incarnation() string {
	return engine.ID + "/" + strconv.FormatInt(engine.StartUnixMilli, 10)
}

// Digest is a short form of the incarnation's name for messages between processes.
func (engine Engine) Digest() uint64 { return xxhash.Sum64String(engine.Incarnation()) }

// Role says what a process of the system does.
type Role string

// The roles.
const (
	IngressRole Role = "ingress" // callers' HTTP, online requests
	WorkerRole  Role = "worker"  // batch jobs
	// ReporterRole tells the others what the engine on its VM is doing.
	ReporterRole Role = "reporter"
)

// Member is a running process of the system.
type Member struct {
	Name          string `json:"name"`
	Incarnation   string `json:"boot"` // drawn anew at each start
	Role          Role   `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`     // UDP, for peers
	Fingerprint   string `json:"fingerprint"` // SHA-256 of its TLS certificate, in hexadecimal
	Leaving       bool   `json:"leaving,omitempty"`
	Engine        string `json:"engine,omitempty"` // address of the engine that a reporter is beside
}

// ID names one start of a member, as the owner of batch jobs.
func (member Member) ID() string { return member.Name + "/" + member.Incarnation }
