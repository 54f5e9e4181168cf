package routes

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a route responds with and whether its requests may be retried.
type Kind uint8

// The kinds of routes.
const (
	Unsafe Kind = iota // requests run at most once
	Safe               // requests may run more than once
	Stream             // the response is a stream of events; requests run at most once unless Route.Resumable is set
	Batch              // requests submit batch jobs
)

var kindNames = [...]string{Unsafe: "unsafe", Safe: "safe", Stream: "stream", Batch: "batch"}

// String returns the name of kind.
func (kind Kind) String() string { return kindNames[kind] }

// Share is the share of a service in the requests of a route.
type Share struct {
	Service string
	Weight  float64 // relative to the weights of the other shares of the route
}

// Route is a route of the routing table.
type Route struct {
	Name          string
	Host          string
	Prefix        string // path prefix; starts and ends with a slash
	Kind          Kind
	Timeout       time.Duration // maximum duration of a request; 0 means no limit
	TargetLatency time.Duration // target for the time to the first event of a stream, or to the response
	MaxPause      time.Duration // longest expected time between two events of a stream
	MaxAttempts   int           // maximum number of engines that a request is sent to
	Priority      int           // 0 is the most urgent
	Resumable     bool          // a stream may be resumed at another engine
	Shares        []Share
	BatchTarget   time.Duration // target for the time from the submission of a batch job to its last result
	BatchLifetime time.Duration // time from the submission of a batch job after which items may be abandoned
	// MaxWaitingTokens bounds the tokens of accepted items that no engine has finished; 0 means no limit.
	MaxWaitingTokens int64
	Public           bool // requests need no API key
}

// Account is a client account of the routing table.
type Account struct {
	Name     string
	Keys     []string // API keys
	Priority int      // goes before the priority of a route; 0 is the most urgent
	Rate     float64  // online requests per second of all processes together; 0 means no limit
	Burst    float64  // online requests beyond Rate that may come at once
}

// Retryable reports whether a request that may have been executed may be sent again.
func (route Route) Retryable() bool {
	return route.Kind == Safe || route.Kind == Batch || route.Kind == Stream && route.Resumable
}

// LeadsTo reports whether requests of the route may go to a service.
func (route Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(route.Shares, func(share Share) bool { return share.Service == service })
}

// SelectService returns the service for the request with the given ID, or "" if the route has no shares. The result depends
// only on the ID and the shares; over many requests, the services are chosen in proportion to their weights.
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

// Service holds the settings that are common to the engines of a service.
type Service struct {
	Name           string
	Slots          int // requests that an engine runs at once, unless its registration says otherwise
	MaxConnections int // maximum number of connections to one engine from all its clients together; 0 means no limit
}

// Limits holds the limits for requests of callers.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HasPublicJobs reports whether batch jobs of a host may be submitted without an API key.
func (table *Table) HasPublicJobs(host string) bool {
	return slices.ContainsFunc(table.Routes, func(route Route) bool {
		return route.Public && route.Kind == Batch && strings.EqualFold(HostName(route.Host), HostName(host))
	})
}

// Table is one version of the operator's routing table; it is immutable.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	Accounts []Account // sorted by name; empty if requests need no API keys

	index atomic.Pointer[index] // built at the first Match
}
