package shares

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the time constant over which service counts. It spans several requests of an account of one request a second.
	window = 5 * time.Second
	// maxReportAge is the age up to which a usage that was reported for all processes goes before what this process has counted.
	maxReportAge = 2 * time.Second
	// usageStep is the difference from which on usages count as unequal. Accounts that take about their usual are served by deadline: among
	// them, a strict order would let the same few wait each time.
	usageStep = 0.5
	// maxIdle is the number of new accounts after which those without service are forgotten.
	maxIdle = 1024
	// negligible is the service, in requests, from which on an account is forgotten.
	negligible = 0.01
)

// Tracker counts what accounts are served. It is not safe for concurrent use.
type Tracker struct {
	accounts map[string]*service
}

// service is what an account has been served.
type service struct {
	weight     float64
	served     float64   // requests, decaying by window
	at         time.Time // of served
	reported   float64   // usage of all processes together
	reportedAt time.Time
	since      float64 // requests served here after reportedAt
}

// Entry is what the order of waiting requests goes by.
type Entry struct {
	Account  string
	Priority int // 0 goes first
	Deadline time.Time
}

// of returns what is known of an account at a time.
func (tracker *Tracker) of(now time.Time, account string) (known *service) {
	known = tracker.accounts[account]
	if known == nil {
		if tracker.accounts == nil {
			tracker.accounts = map[string]*service{}
		}
		if len(tracker.accounts)%maxIdle == maxIdle-1 {
			for name, idle := range tracker.accounts {
				if idle.decay(now); idle.served < negligible {
					delete(tracker.accounts, name)
				}
			}
		}
		known = &service{weight: 1, at: now}
		tracker.accounts[account] = known
	}
	known.decay(now)
	return known
}

func (service *service) decay(now time.Time) {
	if elapsed := now.Sub(service.at); elapsed > 0 {
		service.served *= math.Exp(-elapsed.Seconds() / window.Seconds())
		service.at = now
	}
}

// Report records the weight of an account, which is in requests per second, and its usage by all processes together relative to it; known
// reports whether there is such a figure.
func (tracker *Tracker) Report(now time.Time, account string, weight, usage float64, known bool) {
	service := tracker.of(now, account)
	if weight > 0 {
		service.weight = weight
	}
	if known {
		service.reported, service.reportedAt, service.since = usage, now, 0
	}
}

// Serve records that a request of an account got a slot.
func (tracker *Tracker) Serve(now time.Time, account string) {
	service := tracker.of(now, account)
	service.served++
	service.since++
}

// usage returns what an account has been served relative to its weight.
func (service *service) usage(now time.Time) float64 {
	if now.Sub(service.reportedAt) <= maxReportAge {
		return service.reported + service.since/(service.weight*window.Seconds())
	}
	return service.served / (service.weight * window.Seconds())
}

// Sort orders waiting requests: by priority, then so that the account that takes least of its share goes first, and by deadline within an
// account. Each request of an account counts towards its share before the next one.
func Sort[T any](tracker *Tracker, now time.Time, waiting []T, entry func(T) Entry) {
	slices.SortStableFunc(waiting, func(a, b T) int { return entry(a).Deadline.Compare(entry(b).Deadline) })
	type ranked struct {
		item  T
		entry Entry
		usage float64
	}
	ranks, ahead := make([]ranked, len(waiting)), map[string]float64{}
	// Requests of a higher priority are served before, and count first.
	slices.SortStableFunc(waiting, func(a, b T) int { return cmp.Compare(entry(a).Priority, entry(b).Priority) })
	for index, item := range waiting {
		described := entry(item)
		service := tracker.of(now, described.Account)
		usage, ok := ahead[described.Account]
		if !ok {
			usage = service.usage(now)
		}
		ranks[index] = ranked{item: item, entry: described, usage: math.Floor(usage / usageStep)}
		ahead[described.Account] = usage + 1/(service.weight*window.Seconds())
	}
	slices.SortStableFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.entry.Priority, b.entry.Priority), cmp.Compare(a.usage, b.usage), a.entry.Deadline.Compare(b.entry.Deadline))
	})
	for index, ranked := range ranks {
		waiting[index] = ranked.item
	}
}
