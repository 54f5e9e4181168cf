package poisonpill

import (
	"cmp"
	"iter"
	"math"
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
	// partTrialDelay is the time from the last end under a quarantined part until its next trial. Each failed trial multiplies it by
	// partTrialFactor: while the part may be sound all requests with it are refused, and each trial of one that is not interrupts the
	// requests beside it.
	partTrialDelay  = 2 * time.Second
	partTrialFactor = 8
	// maxCommonEnds is the number of ends up to which a request or part may have been beside the cause each time by chance.
	maxCommonEnds = 6
	// aloneLifetime is how long a request with several quarantined parts is no trial of a part after a request came that has only that one.
	aloneLifetime = 10 * time.Second
	maxAlone      = 256 // parts for which that is known
	// verdictLifetime is how long a verdict holds without new ends; it only delays the expiry of ends.
	verdictLifetime = time.Second
	// maxTrials bounds the trials of a request, each of which may end an engine.
	maxTrials = 3
	// maxEnds bounds the engine ends that are kept for a request.
	maxEnds = 64
	// clockTolerance is how much the clocks of two processes may differ before they see one end of an engine as two. It is less
	// than an engine takes to start again.
	clockTolerance = 250 * time.Millisecond
)

// EngineEnd records that an engine ended while it had a request, or a request with a part of a prompt.
type EngineEnd struct {
	Fingerprint Fingerprint `json:"fingerprint"`     // of the request or part
	Part        string      `json:"part,omitempty"`  // ID of the part; empty for a request
	Build       string      `json:"build,omitempty"` // of the engine, as text; only for a part
	Engine      string      `json:"engine"`          // incarnation that the sender believed in; a later one may have run the request
	Request     string      `json:"request"`         // ID under which the request was sent
	Process     string      `json:"process"`         // member that sent the request
	Sent        time.Time   `json:"sent"`            // when the request was sent to the engine
	Ended       time.Time   `json:"ended"`           // when its response broke off
}

// Quarantine is the state of a request, or of all requests with a part of a prompt, under which several engines have ended.
type Quarantine struct {
	Fingerprint Fingerprint // of the request or part
	Part        string      // ID of the part; empty for a request

	Ends  []EngineEnd // one for each engine that ended, in the order in which they happened
	Until time.Time   // end of the quarantine, if no other engine ends: fewer than quarantineEnds count from then on
	// Trial is the time from which an online request may run once more, as one process decides for all; it equals Until if there are
	// no trials left.
	Trial time.Time
	// ItemTrial is the time from which a batch item may run once more. Its trials do not run out: it comes once, is owed, and each of
	// its ends may have had another cause.
	ItemTrial   time.Time
	Trials      int // trials left of online requests
	TrialNumber int // of the next trial: quarantineEnds, and one more for each trial that ended an engine
	// Unproven is set while fewer than quarantineEnds of the ends happened one after another. An outage that ends several engines
	// at once looks the same to a request with a copy at each, so the next trial, which is due at once, may be any copy. It is also set
	// for a part of which all ends were under a single request, which may be the cause itself, and while another suspect was at each of
	// the ends too.
	Unproven bool
}

// Due reports whether an online request may run as a trial at a time. Callers repeat a request by themselves, so that a proven one has no
// trials; a proven part may have been beside its cause each time.
func (quarantine Quarantine) Due(now time.Time) bool {
	return quarantine.Trials > 0 && (quarantine.Unproven || quarantine.Part != "" && !now.Before(quarantine.Trial))
}

// Clearance ends the suspicion against a request: engine ends up to its time do not count. With a build it says that a part is sound
// there: no ends at engines of that build count, also later ones.
type Clearance struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	At          time.Time   `json:"at"`
	Build       string      `json:"build,omitempty"`
}

// Ledger collects the engine ends that all processes of a fleet report, in any order and any number of times, and tells
// which requests and parts of prompts are quarantined as a result. Each engine that ended counts, also where copies of a request ran
// at several engines at the same time.
//
// An end accuses all parts of a request alike. What tells them apart is that requests run: a part is not accused by ends at engines of a
// build at which a request with it has run, while the cause never runs. It must not be used concurrently.
type Ledger struct {
	MaxRequests int // requests and parts with ends that are kept; those that changed longest ago are forgotten first
	MaxSound    int // sound parts that are kept; those that ran longest ago are forgotten first

	requests *simplelru.LRU[Fingerprint, record] // and parts
	sound    soundParts
	// ended holds the requests and parts under which an engine ended, by its ID and the time.
	ended map[moment]map[Fingerprint]bool
	// alone holds when a request came in which a quarantined part was the only one.
	alone *simplelru.LRU[Fingerprint, time.Time]
	// verdicts caches the results of Quarantine until the next change, since a caller may repeat a refused request many times a second.
	verdicts map[Fingerprint]verdict
}

// verdict is a result of Quarantine.
type verdict struct {
	at         time.Time
	quarantine Quarantine
	ok         bool
}

// moment identifies the end of an engine, as far as clocks tell: those of two processes are at most in neighboring ones.
type moment struct {
	engine string // its ID
	slot   int64  // time in units of clockTolerance
}

// moment returns the moment of an end, shifted by a number of slots.
func (end EngineEnd) moment(shift int64) moment {
	return moment{end.engineID(), end.Ended.UnixNano()/int64(clockTolerance) + shift}
}

// record is what is known about a request or part.
type record struct {
	ends      []EngineEnd // in the order in which they happened; none is older than clearedAt
	clearedAt time.Time
}

func (ledger *Ledger) init() {
	if ledger.requests == nil {
		// NewLRU returns an error only for a size below 1.
		ledger.requests, _ = simplelru.NewLRU(max(ledger.MaxRequests, 1), func(fingerprint Fingerprint, forgotten record) {
			ledger.unindex(fingerprint, forgotten.ends)
		})
		ledger.alone, _ = simplelru.NewLRU[Fingerprint, time.Time](maxAlone, nil)
		ledger.ended, ledger.verdicts = map[moment]map[Fingerprint]bool{}, map[Fingerprint]verdict{}
	}
}

// put replaces what is known about a request or part. The index of ended follows.
func (ledger *Ledger) put(fingerprint Fingerprint, next record) {
	clear(ledger.verdicts)
	known, _ := ledger.requests.Peek(fingerprint)
	ledger.unindex(fingerprint, known.ends)
	ledger.requests.Add(fingerprint, next)
	for _, end := range next.ends {
		if ledger.ended[end.moment(0)] == nil {
			ledger.ended[end.moment(0)] = map[Fingerprint]bool{}
		}
		ledger.ended[end.moment(0)][fingerprint] = true
	}
}

// unindex removes a request or part from ended.
func (ledger *Ledger) unindex(fingerprint Fingerprint, ends []EngineEnd) {
	for _, end := range ends {
		present := ledger.ended[end.moment(0)]
		if delete(present, fingerprint); len(present) == 0 {
			delete(ledger.ended, end.moment(0))
		}
	}
}

// Sound reports whether a part is known to be sound at a build, or at any build if build is empty.
func (ledger *Ledger) Sound(now time.Time, part Fingerprint, build string) bool {
	return ledger.sound.has(now, part, build)
}

// RecordSound records that a request with a part ran at an engine of a build without ending it. It reports whether an end of such an
// engine counted against the part.
func (ledger *Ledger) RecordSound(at time.Time, part Fingerprint, build string) (accused bool) {
	ledger.init()
	ledger.sound.add(ledger.MaxSound, at, part, build)
	known, _ := ledger.requests.Peek(part)
	return slices.ContainsFunc(known.ends, func(end EngineEnd) bool { return end.Build == build })
}

// Len returns the number of requests and parts in the ledger.
func (ledger *Ledger) Len() int {
	ledger.init()
	return ledger.requests.Len()
}

// Add records an engine's end. It reports whether the ledger has changed. A report of an end that adds nothing to those of the
// same engine is not kept: each sequence of ends in which it has a place has that place for the other one.
func (ledger *Ledger) Add(now time.Time, end EngineEnd) (added bool) {
	ledger.init()
	known, _ := ledger.requests.Peek(end.Fingerprint)
	if !end.Ended.After(known.clearedAt) || now.Sub(end.Ended) > EndLifetime || end.Part != "" && ledger.Sound(now, end.Fingerprint, end.Build) {
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
	ledger.put(end.Fingerprint, known)
	return true
}

// spans reports whether the run that ends with end includes the time of the run of other, at the same engine.
func (end EngineEnd) spans(other EngineEnd) bool {
	return end.Engine == other.Engine && !end.Sent.After(other.Sent) && !end.Ended.Before(other.Ended)
}

// Clear removes the ends to which clearance applies and ignores them from then on. It returns the ends removed.
func (ledger *Ledger) Clear(clearance Clearance) (removed []EngineEnd) {
	ledger.init()
	known, _ := ledger.requests.Peek(clearance.Fingerprint)
	next := record{clearedAt: known.clearedAt}
	switch {
	case clearance.Build != "":
		ledger.sound.add(ledger.MaxSound, clearance.At, clearance.Fingerprint, clearance.Build)
	case clearance.At.After(known.clearedAt):
		next.clearedAt = clearance.At
	default:
		return nil
	}
	for _, end := range known.ends {
		if clearance.Covers(end) {
			removed = append(removed, end)
		} else {
			next.ends = append(next.ends, end)
		}
	}
	if len(removed) > 0 || clearance.Build == "" {
		ledger.put(clearance.Fingerprint, next)
	}
	return removed
}

// Covers reports whether an end of the request or part of clearance no longer counts.
func (clearance Clearance) Covers(end EngineEnd) bool {
	if clearance.Build != "" {
		return end.Build == clearance.Build
	}
	return !end.Ended.After(clearance.At)
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

// Quarantines returns the quarantines that apply to a request at engines of a build; with an empty build, those that apply at any. ambiguous
// reports whether the request is no trial of them, as another of its parts may be the cause as well: one of which others explain the
// ends, or one that is quarantined too while requests without it come.
func (ledger *Ledger) Quarantines(now time.Time, content Content, build string) (found []Quarantine, ambiguous bool) {
	ledger.init()
	if quarantine, ok := ledger.Quarantine(now, content.Request); ok {
		found = append(found, quarantine)
	}
	var parts []Fingerprint // that are quarantined
	for _, part := range content.Parts {
		if ledger.Sound(now, part.Fingerprint, build) {
			continue
		}
		if quarantine, ok := ledger.Quarantine(now, part.Fingerprint); ok {
			found, parts = append(found, quarantine), append(parts, part.Fingerprint)
		} else if known, _ := ledger.requests.Peek(part.Fingerprint); len(distinctEnds(known.ends, now)) >= quarantineEnds {
			ambiguous = true
		}
	}
	if len(parts) == 1 && !ambiguous {
		ledger.alone.Add(parts[0], now)
	}
	for _, part := range parts {
		if at, ok := ledger.alone.Peek(part); ok && len(parts) > 1 && now.Sub(at) < aloneLifetime {
			ambiguous = true
		}
	}
	for index := range found {
		if quarantine := &found[index]; !quarantine.Unproven && ledger.otherwiseExplained(now, *quarantine, content) {
			quarantine.Unproven = true
			if quarantine.Trials > 0 {
				quarantine.Trial = quarantine.Ends[len(quarantine.Ends)-1].Ended
				quarantine.ItemTrial = quarantine.Trial
			}
		}
	}
	return found, ambiguous
}

// otherwiseExplained reports whether a request or part that does not belong to a request was at the engine at each of the ends of a
// quarantine, and has no fewer ends: one of the two may only have been beside the other.
func (ledger *Ledger) otherwiseExplained(now time.Time, quarantine Quarantine, content Content) bool {
	if len(quarantine.Ends) > maxCommonEnds {
		return false
	}
	for other := range ledger.present(quarantine.Ends[0]) {
		own := other == quarantine.Fingerprint || other == content.Request || slices.ContainsFunc(content.Parts, func(part Part) bool { return part.Fingerprint == other })
		known, _ := ledger.requests.Peek(other)
		if own || len(distinctEnds(known.ends, now)) < len(quarantine.Ends) {
			continue
		}
		if !slices.ContainsFunc(quarantine.Ends, func(end EngineEnd) bool { return !slices.ContainsFunc(known.ends, end.coincides) }) {
			return true
		}
	}
	return false
}

// Quarantine returns the quarantine of a request or part; ok reports whether it is quarantined.
func (ledger *Ledger) Quarantine(now time.Time, fingerprint Fingerprint) (quarantine Quarantine, ok bool) {
	ledger.init()
	if known, _ := ledger.requests.Peek(fingerprint); len(known.ends) < quarantineEnds {
		return Quarantine{}, false
	}
	cached, known := ledger.verdicts[fingerprint]
	if !known || now.Sub(cached.at) >= verdictLifetime {
		cached.at = now
		cached.quarantine, cached.ok = ledger.judge(now, fingerprint)
		ledger.verdicts[fingerprint] = cached
	}
	return cached.quarantine, cached.ok
}

// judge is Quarantine without the cache of verdicts.
func (ledger *Ledger) judge(now time.Time, fingerprint Fingerprint) (quarantine Quarantine, ok bool) {
	quarantine.Ends = ledger.counting(fingerprint, now)
	count := len(quarantine.Ends)
	if count < quarantineEnds {
		return Quarantine{}, false
	}
	quarantine.Fingerprint, quarantine.Part = fingerprint, quarantine.Ends[0].Part
	sequence := oneAfterAnother(quarantine.Ends)
	quarantine.Until = quarantine.Ends[count-quarantineEnds].Ended.Add(EndLifetime)
	quarantine.Trial = quarantine.Until
	quarantine.Unproven = len(sequence) < quarantineEnds || quarantine.Part != "" && ledger.underOneRequest(quarantine.Ends)
	// Copies that were sent before the third end were no trials: nothing was known by then.
	failed := len(oneAfterAnother(sentAfter(quarantine.Ends, quarantine.Ends[quarantineEnds-1].Ended)))
	quarantine.TrialNumber = quarantineEnds + failed
	quarantine.Trials = max(0, maxTrials-failed)
	switch {
	case quarantine.Trials == 0:
	case quarantine.Unproven:
		quarantine.Trial = quarantine.Ends[count-1].Ended
	default:
		delay := trialDelay
		if quarantine.Part != "" {
			delay = partTrialDelay * time.Duration(math.Pow(partTrialFactor, float64(failed)))
		}
		quarantine.Trial = quarantine.Ends[count-1].Ended.Add(delay)
	}
	quarantine.ItemTrial = quarantine.Ends[count-1].Ended.Add(trialDelay)
	if quarantine.Trial.Before(quarantine.ItemTrial) {
		quarantine.ItemTrial = quarantine.Trial
	}
	return quarantine, true
}

// underOneRequest reports whether a single request was at the engine at each of the ends.
func (ledger *Ledger) underOneRequest(ends []EngineEnd) bool {
	for request := range ledger.present(ends[0]) {
		known, _ := ledger.requests.Peek(request)
		isRequest := len(known.ends) > 0 && known.ends[0].Part == ""
		if isRequest && !slices.ContainsFunc(ends, func(end EngineEnd) bool { return !slices.ContainsFunc(known.ends, end.coincides) }) {
			return true
		}
	}
	return false
}

// present returns the requests and parts that were at the engine at an end, and possibly some that were there shortly before or after.
func (ledger *Ledger) present(end EngineEnd) iter.Seq[Fingerprint] {
	return func(yield func(Fingerprint) bool) {
		for shift := int64(-1); shift <= 1; shift++ {
			for fingerprint := range ledger.ended[end.moment(shift)] {
				if !yield(fingerprint) {
					return
				}
			}
		}
	}
}

// counting returns one end for each engine that ended under a request or part, without those that another one explains: one that was
// at the engine too, and under which more engines have ended, enough for a quarantine.
func (ledger *Ledger) counting(fingerprint Fingerprint, now time.Time) (ends []EngineEnd) {
	known, _ := ledger.requests.Peek(fingerprint)
	ends = distinctEnds(known.ends, now)
	count := len(ends)
	if count < quarantineEnds {
		return ends // whatever explains them
	}
	explains := map[Fingerprint]bool{} // whether more engines have ended under another request or part
	return slices.DeleteFunc(ends, func(end EngineEnd) bool {
		for other := range ledger.present(end) {
			suspected, _ := ledger.requests.Peek(other)
			more, known := explains[other]
			if !known {
				more = len(suspected.ends) > count && len(distinctEnds(suspected.ends, now)) > count
				explains[other] = more
			}
			if more && slices.ContainsFunc(suspected.ends, end.coincides) {
				return true
			}
		}
		return false
	})
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
		ledger.put(fingerprint, known) // all are added in their order, which therefore stays
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
