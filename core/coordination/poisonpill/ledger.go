package poisonpill

import (
	"slices"
	"strings"
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
)

// EngineEnd records that an engine ended while it had a request.
type EngineEnd struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Engine      string      `json:"engine"`  // incarnation of the engine
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
	ends      map[string]EngineEnd // by engine; none is older than clearedAt
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

// Add records an engine's end. It reports whether the ledger has changed.
func (ledger *Ledger) Add(now time.Time, end EngineEnd) (added bool) {
	ledger.init()
	known, _ := ledger.requests.Peek(end.Fingerprint)
	if _, reported := known.ends[end.Engine]; reported || !end.Ended.After(known.clearedAt) || now.Sub(end.Ended) > EndLifetime {
		return false
	}
	if known.ends == nil {
		known.ends = map[string]EngineEnd{}
	}
	known.ends[end.Engine] = end
	ledger.requests.Add(end.Fingerprint, known)
	return true
}

// Clear removes the ends up to the time of clearance and ignores them from then on. It returns the ends removed.
func (ledger *Ledger) Clear(clearance Clearance) (removed []EngineEnd) {
	ledger.init()
	known, _ := ledger.requests.Peek(clearance.Fingerprint)
	if !clearance.At.After(known.clearedAt) {
		return nil
	}
	for _, end := range inOrder(known.ends) {
		if !end.Ended.After(clearance.At) {
			removed = append(removed, end)
			delete(known.ends, end.Engine)
		}
	}
	known.clearedAt = clearance.At
	ledger.requests.Add(clearance.Fingerprint, known)
	return removed
}

// Suspected reports whether the end of an engine counts against a request.
func (ledger *Ledger) Suspected(fingerprint Fingerprint) bool {
	ledger.init()
	known, _ := ledger.requests.Peek(fingerprint)
	return len(known.ends) > 0
}

// Quarantine returns the quarantine of a request; ok reports whether it is quarantined.
func (ledger *Ledger) Quarantine(now time.Time, fingerprint Fingerprint) (quarantine Quarantine, ok bool) {
	ledger.init()
	known, _ := ledger.requests.Peek(fingerprint)
	quarantine.Ends = oneAfterAnother(inOrder(known.ends), now)
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
		for engine, end := range known.ends {
			if now.Sub(end.Ended) > EndLifetime {
				delete(known.ends, engine)
			}
		}
		if len(known.ends) == 0 && now.Sub(known.clearedAt) > EndLifetime {
			ledger.requests.Remove(fingerprint)
		}
		all = append(all, inOrder(known.ends)...)
	}
	return all
}

// inOrder returns ends in the order in which they happened.
func inOrder(ends map[string]EngineEnd) (ordered []EngineEnd) {
	for _, end := range ends {
		ordered = append(ordered, end)
	}
	slices.SortFunc(ordered, func(a, b EngineEnd) int {
		if order := a.Ended.Compare(b.Ended); order != 0 {
			return order
		}
		return strings.Compare(a.Engine, b.Engine)
	})
	return ordered
}

// oneAfterAnother returns the longest sequence of the ordered ends that still count in which each request was sent after
// the engine before it had ended.
func oneAfterAnother(ordered []EngineEnd, now time.Time) (sequence []EngineEnd) {
	last := time.Time{}
	for _, end := range ordered {
		if now.Sub(end.Ended) <= EndLifetime && !end.Sent.Before(last) {
			sequence = append(sequence, end)
			last = end.Ended
		}
	}
	return sequence
}
