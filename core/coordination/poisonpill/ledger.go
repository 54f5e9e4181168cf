package poisonpill

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// quarantineEnds is how many engines have to end under a request before it is quarantined.
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
	Ends  []EngineEnd // one for each engine that ended, in the order in which they happened
	Until time.Time   // end of the quarantine, if no other engine ends: fewer than quarantineEnds count from then on
	// Trial is the time from which the request may run once more, as one process decides for all; it equals Until if there are
	// no trials left.
	Trial       time.Time
	Trials      int // trials left
	TrialNumber int // of the next trial: quarantineEnds, and one more for each trial that ended an engine
	// Unproven is set while fewer than quarantineEnds of the ends happened one after another. An outage that ends several engines
	// at once looks the same to a request with a copy at each, so the next trial, which is due at once, may be any copy.
	Unproven bool
}

// Clearance ends the suspicion against a request: engine ends up to its time do not count.
type Clearance struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	At          time.Time   `json:"at"`
}

// Ledger collects the engine ends that all processes of a fleet report, in any order and any number of times, and tells
// which requests are quarantined as a result. Each engine that ended counts, also where copies of a request ran at several
// engines at the same time. It must not be used concurrently.
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
	return reported, len(ledger.counting(fingerprint, now))
}

// Quarantine returns the quarantine of a request; ok reports whether it is quarantined.
func (ledger *Ledger) Quarantine(now time.Time, fingerprint Fingerprint) (quarantine Quarantine, ok bool) {
	ledger.init()
	quarantine.Ends = ledger.counting(fingerprint, now)
	count := len(quarantine.Ends)
	if count < quarantineEnds {
		return Quarantine{}, false
	}
	sequence := oneAfterAnother(quarantine.Ends)
	quarantine.Until = quarantine.Ends[count-quarantineEnds].Ended.Add(EndLifetime)
	quarantine.Trial = quarantine.Until
	quarantine.Unproven = len(sequence) < quarantineEnds
	// Copies that were sent before the third end were no trials: nothing was known by then.
	failed := len(oneAfterAnother(sentAfter(quarantine.Ends, quarantine.Ends[quarantineEnds-1].Ended)))
	quarantine.TrialNumber = quarantineEnds + failed
	quarantine.Trials = max(0, maxTrials-failed)
	switch {
	case quarantine.Trials == 0:
	case quarantine.Unproven:
		quarantine.Trial = quarantine.Ends[count-1].Ended
	default:
		quarantine.Trial = quarantine.Ends[count-1].Ended.Add(trialDelay)
	}
	return quarantine, true
}

// counting returns one end for each engine that ended under a request, without those that another request explains: one that was at
// the engine too, and under which more engines have ended, enough for a quarantine.
func (ledger *Ledger) counting(fingerprint Fingerprint, now time.Time) (ends []EngineEnd) {
	known, _ := ledger.requests.Peek(fingerprint)
	ends = distinctEnds(known.ends, now)
	count := len(ends)
	if count < quarantineEnds {
		return ends // whatever explains them
	}
	for _, other := range ledger.requests.Keys() {
		suspected, _ := ledger.requests.Peek(other)
		if other == fingerprint || len(suspected.ends) <= count || len(distinctEnds(suspected.ends, now)) <= count {
			continue
		}
		ends = slices.DeleteFunc(ends, func(end EngineEnd) bool { return slices.ContainsFunc(suspected.ends, end.coincides) })
	}
	return ends
}

// coincides reports whether end and other are of the same engine and of the same moment, as far as clocks tell.
func (end EngineEnd) coincides(other EngineEnd) bool {
	return end.engineID() == other.engineID() && end.Ended.Sub(other.Ended).Abs() < clockTolerance
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

// distinctEnds returns one end for each engine that ended, of the ordered ends that still count. Reports of processes whose
// requests an engine had at the same time are of the same end.
func distinctEnds(ordered []EngineEnd, now time.Time) (distinct []EngineEnd) {
	last := map[string]EngineEnd{} // by the ID of the engine
	for _, end := range ordered {
		if now.Sub(end.Ended) > EndLifetime {
			continue
		}
		if earlier, ok := last[end.engineID()]; ok && !end.follows(earlier) {
			continue
		}
		last[end.engineID()] = end
		distinct = append(distinct, end)
	}
	return distinct
}

// oneAfterAnother returns the longest sequence of the ordered ends in which each request was sent after the engine before it had
// ended.
func oneAfterAnother(ordered []EngineEnd) (sequence []EngineEnd) {
	for _, end := range ordered {
		if len(sequence) == 0 || end.follows(sequence[len(sequence)-1]) {
			sequence = append(sequence, end)
		}
	}
	return sequence
}

// sentAfter returns the ends whose requests were sent at a time or later.
func sentAfter(ends []EngineEnd, earliest time.Time) (later []EngineEnd) {
	for _, end := range ends {
		if !end.Sent.Before(earliest) {
			later = append(later, end)
		}
	}
	return later
}

// engineID returns the ID of the engine without its start time, which differs between processes that learn of a restart at
// different times.
func (end EngineEnd) engineID() string {
	id, _, _ := strings.Cut(end.Engine, "/")
	return id
}

// follows reports whether the request of end was sent after the engine of earlier had ended. An engine that has ended runs
// requests again only as another incarnation, whichever one the sender believes in.
func (end EngineEnd) follows(earlier EngineEnd) bool {
	gap := end.Sent.Sub(earlier.Ended)
	if end.engineID() == earlier.engineID() && end.Process != earlier.Process {
		return gap >= clockTolerance
	}
	return gap >= 0
}
