package poisonpill

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// quarantineEnds is how many engines have to end under a request, one after another, before it is quarantined.
	quarantineEnds = 3
	// EndLifetime is how long an engine's end counts against a request.
	EndLifetime = 10 * time.Minute
	// trialDelay is the time from the last end under a quarantined request until its next trial.
	trialDelay = 15 * time.Second
	// maxTrials bounds the trials of a request, each of which may end an engine.
	maxTrials = 3
	// maxEnds bounds the engine ends that are kept for a request.
	maxEnds = 64
	// clockTolerance is how much the clocks of two processes may differ before they see one end of an engine as two. It is less
	// than an engine takes to start again.
	clockTolerance = 250 * time.Millisecond
)

// EngineEnd records that an engine ended while it had a request.
type EngineEnd struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Engine      string      `json:"engine"`  // incarnation that the sender believed in; a later one may have run the request
	Request     string      `json:"request"` // ID under which the request was sent
	Process     string      `json:"process"` // member that sent the request
	Sent        time.Time   `json:"sent"`    // when the request was sent to the engine
	Ended       time.Time   `json:"ended"`   // when its response broke off
}

// Quarantine is the state of a request under which several engines have ended.
type Quarantine struct {
	Ends  []EngineEnd // in the order in which they happened
	Until time.Time   // end of the quarantine, if no other engine ends: fewer than quarantineEnds count from then on
	// Trial is the time from which the request may run once more, as one process decides for all; it equals Until if there are
	// no trials left.
	Trial  time.Time
	Trials int // trials left
}

// Clearance ends the suspicion against a request: engine ends up to its time do not count.
type Clearance struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	At          time.Time   `json:"at"`
}

// Ledger collects the engine ends that all processes of a fleet report, in any order and any number of times, and tells
// which requests are quarantined as a result. Ends count against a request only if they happened one after another: an
// outage that ends several engines at once says no more than the end of one. It must not be used concurrently.
type Ledger struct {
	MaxRequests int // requests kept; those that changed longest ago are forgotten first

	requests *simplelru.LRU[Fingerprint, record]
}

// record is what is known about a request.
type record struct {
	ends      []EngineEnd // in the order in which they happened; none is older than clearedAt
	clearedAt time.Time
}

func (ledger *Ledger) init() {
	if ledger.requests == nil {
		// NewLRU returns an error only for a size below 1.
		ledger.requests, _ = simplelru.NewLRU[Fingerprint, record](max(ledger.MaxRequests, 1), nil)
	}
}

// Len returns the number of requests in the ledger.
func (ledger *Ledger) Len() int {
	ledger.init()
	return ledger.requests.Len()
}

// Add records an engine's end. It reports whether the ledger has changed. A report of an end that adds nothing to those of the
// same engine is not kept: each sequence of ends in which it has a place has that place for the other one.
func (ledger *Ledger) Add(now time.Time, end EngineEnd) (added bool) {
	ledger.init()
	known, _ := ledger.requests.Peek(end.Fingerprint)
	if !end.Ended.After(known.clearedAt) || now.Sub(end.Ended) > EndLifetime {
		return false
	}
	if slices.ContainsFunc(known.ends, end.spans) {
		return false
	}
	ends := slices.DeleteFunc(slices.Clone(known.ends), func(other EngineEnd) bool { return other.spans(end) })
	ends = append(ends, end)
	slices.SortFunc(ends, compareEnds)
	if len(ends) > maxEnds {
		ends = ends[len(ends)-maxEnds:]
	}
	known.ends = ends
	ledger.requests.Add(end.Fingerprint, known)
	return true
}

// spans reports whether the run that ends with end includes the time of the run of other, at the same engine.
func (end EngineEnd) spans(other EngineEnd) bool {
	return end.Engine == other.Engine && !end.Sent.After(other.Sent) && !end.Ended.Before(other.Ended)
}

// Clear removes the ends up to the time of clearance and ignores them from then on. It returns the ends removed.
func (ledger *Ledger) Clear(clearance Clearance) (removed []EngineEnd) {
	ledger.init()
	known, _ := ledger.requests.Peek(clearance.Fingerprint)
	if !clearance.At.After(known.clearedAt) {
		return nil
	}
	var kept []EngineEnd
	for _, end := range known.ends {
		if end.Ended.After(clearance.At) {
			kept = append(kept, end)
		} else {
			removed = append(removed, end)
		}
	}
	ledger.requests.Add(clearance.Fingerprint, record{ends: kept, clearedAt: clearance.At})
	return removed
}

// Suspected reports whether the end of an engine counts against a request.
func (ledger *Ledger) Suspected(fingerprint Fingerprint) bool {
	ledger.init()
	known, _ := ledger.requests.Peek(fingerprint)
	return len(known.ends) > 0
}

// Counts returns the number of ends that were reported for a request and still count in time, and how many of them count towards
// its quarantine.
func (ledger *Ledger) Counts(now time.Time, fingerprint Fingerprint) (reported, counted int) {
	ledger.init()
	known, _ := ledger.requests.Peek(fingerprint)
	for _, end := range known.ends {
		if now.Sub(end.Ended) <= EndLifetime {
			reported++
		}
	}
	return reported, len(oneAfterAnother(known.ends, now))
}

// Quarantine returns the quarantine of a request; ok reports whether it is quarantined.
func (ledger *Ledger) Quarantine(now time.Time, fingerprint Fingerprint) (quarantine Quarantine, ok bool) {
	ledger.init()
	known, _ := ledger.requests.Peek(fingerprint)
	quarantine.Ends = oneAfterAnother(known.ends, now)
	count := len(quarantine.Ends)
	if count < quarantineEnds {
		return Quarantine{}, false
	}
	quarantine.Until = quarantine.Ends[count-quarantineEnds].Ended.Add(EndLifetime)
	quarantine.Trial = quarantine.Until
	quarantine.Trials = max(0, quarantineEnds+maxTrials-count)
	if quarantine.Trials > 0 {
		quarantine.Trial = quarantine.Ends[count-1].Ended.Add(trialDelay)
	}
	return quarantine, true
}

// All returns all ends that still count, and forgets the requests without any.
func (ledger *Ledger) All(now time.Time) (all []EngineEnd) {
	ledger.init()
	for _, fingerprint := range ledger.requests.Keys() {
		known, _ := ledger.requests.Peek(fingerprint)
		var counting []EngineEnd
		for _, end := range known.ends {
			if now.Sub(end.Ended) <= EndLifetime {
				counting = append(counting, end)
			}
		}
		if known.ends = counting; len(counting) == 0 && now.Sub(known.clearedAt) > EndLifetime {
			ledger.requests.Remove(fingerprint)
			continue
		}
		ledger.requests.Add(fingerprint, known) // all are added in their order, which therefore stays
		all = append(all, counting...)
	}
	return all
}

// compareEnds orders ends as they happened.
func compareEnds(a, b EngineEnd) int {
	return cmp.Or(a.Ended.Compare(b.Ended), a.Sent.Compare(b.Sent), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Process, b.Process))
}

// oneAfterAnother returns the longest sequence of the ordered ends that still count in which each request was sent after
// the engine before it had ended.
func oneAfterAnother(ordered []EngineEnd, now time.Time) (sequence []EngineEnd) {
	for _, end := range ordered {
		if now.Sub(end.Ended) > EndLifetime {
			continue
		}
		if len(sequence) == 0 || end.follows(sequence[len(sequence)-1]) {
			sequence = append(sequence, end)
		}
	}
	return sequence
}

// follows reports whether the request of end was sent after the engine of earlier had ended. An engine that has ended runs
// requests again only as another incarnation, whichever one the sender believes in.
func (end EngineEnd) follows(earlier EngineEnd) bool {
	gap := end.Sent.Sub(earlier.Ended)
	if end.Engine == earlier.Engine && end.Process != earlier.Process {
		return gap >= clockTolerance
	}
	return gap >= 0
}
