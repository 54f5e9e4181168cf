package routes

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what the answers of a route are and what may be repeated.
type Kind uint8

// The kinds of route.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // may run more than once
	Stream             // a stream of events; runs at most once unless it can be resumed
	Batch              // takes batch jobs
)

var kindNames = [...]string{Unsafe: "unsafe", Safe: "safe", Stream: "stream", Batch: "batch"}

// String returns the kind's name.
func (kind Kind) String() string { return kindNames[kind] }

// Share is a service's part of the requests of a route.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares of the route
}

// Route is one entry of the table.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // the longest that a caller is kept waiting; 0 sets no limit
	TargetLatency time.Duration // to the first event, or to the answer
	MaxPause      time.Duration // between two events of a stream
	MaxAttempts   int           // engines that one request may be sent to
	Priority      int           // 0 is the most urgent
	Resumable     bool          // a stream may continue at another engine
	Shares        []Share
	BatchTarget   time.Duration // from submission to the last result of a batch job
	BatchLifetime time.Duration // from submission until items may be abandoned
}

// Retryable reports whether a request that may have run may be sent again.
func (route Route) Retryable() bool {
	return route.Kind == Safe || route.Kind == Batch || route.Kind == Stream && route.Resumable
}

// SelectService returns the service for the request with the given identifier: the same one each time, in proportion
// to the weights over many requests.
func (route Route) SelectService(id string) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	if len(route.Shares) == 0 {
		return ""
	}
	const resolution = 1 << 20
	point := float64(xxhash.Sum64String(id)%resolution) / resolution * total
	for _, share := range route.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return route.Shares[len(route.Shares)-1].Service
}

// Service is what is common to the engines of a service.
type Service struct {
	Name           string
	Slots          int // requests that an engine runs at once, where its own entry does not say
	MaxConnections int // from all callers together, to one engine; 0 sets no limit
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the operator's configuration; it is never changed.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Match returns the route of host with the longest prefix that begins path.
func (table *Table) Match(host, path string) (route Route, ok bool) {
	longest := -1
	for _, candidate := range table.Routes {
		if len(candidate.Prefix) > longest && strings.EqualFold(candidate.Host, host) && strings.HasPrefix(path, candidate.Prefix) {
			route, longest, ok = candidate, len(candidate.Prefix), true
		}
	}
	return route, ok
}
