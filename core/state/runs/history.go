package runs

import (
	"container/list"
	"sync"
	"time"

	"github.com/google/uuid"

	"cowslipway/core/state/request"
)

// State is the state of an attempt.
type State uint8

// The states of an attempt, in their order.
const (
	Queued State = iota + 1
	Running
	Ended
)

// String returns the name of state that operators see.
func (state State) String() string {
	return [...]string{"unknown", "queued", "running", "ended"}[state]
}

// Run is the record of one attempt at a target daemon.
type Run struct {
	RequestID  string
	AttemptID  string
	Account    string
	Service    string
	Place      string
	Target     string
	Idempotent bool
	State      State
	Outcome    request.Outcome
	Started    time.Time
	Ended      time.Time
}

// maxClockSkew is the assumed maximum difference between the clocks of two VMs. It is allowed for when the timestamps of
// attempt IDs are compared.
const maxClockSkew = 5 * time.Minute

// History keeps the newest runs of a target daemon, and the tombstones of attempts that must never run. It is safe for
// concurrent use.
type History struct {
	MaxRuns       int // runs that have not ended are kept beyond this limit
	MaxTombstones int // the oldest tombstones are dropped beyond this limit

	mutex          sync.Mutex
	runs           map[string]*list.Element // elements of order by attempt ID
	requests       map[string][]string      // attempt IDs by request ID
	order          list.List                // of *Run, oldest first, except for runs that evict moved to the back
	tombstones     map[string]struct{}      // by attempt ID
	tombstoneOrder []string                 // attempt IDs of the tombstones, oldest first
	newestEvicted  time.Time                // latest start of an evicted non-idempotent run
}

// Begin records an attempt that has arrived. It reports false if the attempt has a tombstone or is recorded already.
func (history *History) Begin(run Run) (ok bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.init()
	if _, fenced := history.tombstones[run.AttemptID]; fenced {
		return false
	}
	if _, known := history.runs[run.AttemptID]; known {
		return false
	}
	run.State = Queued
	history.runs[run.AttemptID] = history.order.PushBack(&run)
	history.requests[run.RequestID] = append(history.requests[run.RequestID], run.AttemptID)
	history.evict()
	return true
}

func (history *History) init() {
	if history.runs == nil {
		history.runs = map[string]*list.Element{}
		history.requests = map[string][]string{}
		history.tombstones = map[string]struct{}{}
	}
}

// evict removes the oldest run if there are more than MaxRuns. If that run has not ended, it is moved to the back instead.
func (history *History) evict() {
	if history.order.Len() <= history.MaxRuns {
		return
	}
	oldest := history.order.Front()
	run := oldest.Value.(*Run)
	if run.State != Ended {
		history.order.MoveToBack(oldest)
		return
	}
	history.order.Remove(oldest)
	delete(history.runs, run.AttemptID)
	history.removeAttempt(run.RequestID, run.AttemptID)
	if !run.Idempotent && run.Started.After(history.newestEvicted) {
		history.newestEvicted = run.Started
	}
}

// removeAttempt removes an attempt from the attempts of its request.
func (history *History) removeAttempt(requestID, attemptID string) {
	attempts := history.requests[requestID]
	if len(attempts) <= 1 {
		delete(history.requests, requestID)
		return
	}
	remaining := make([]string, 0, len(attempts)-1)
	for _, attempt := range attempts {
		if attempt != attemptID {
			remaining = append(remaining, attempt)
		}
	}
	history.requests[requestID] = remaining
}

// Start records that an attempt is about to be sent to the engine. It reports false if the attempt has been fenced since
// Begin.
func (history *History) Start(attemptID string) (ok bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if _, fenced := history.tombstones[attemptID]; fenced {
		return false
	}
	if element, known := history.runs[attemptID]; known {
		element.Value.(*Run).State = Running
	}
	return true
}

// End records the outcome of an attempt.
func (history *History) End(attemptID string, outcome request.Outcome, now time.Time) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	element, known := history.runs[attemptID]
	if !known {
		return
	}
	run := element.Value.(*Run)
	run.State, run.Outcome, run.Ended = Ended, outcome, now
}

// Fence adds a tombstone for an attempt, so that it never runs from now on. It reports false if the attempt may have run
// already: it was started, or it may have been evicted from the history.
func (history *History) Fence(attemptID string) (fenced bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.init()
	if element, known := history.runs[attemptID]; known {
		run := element.Value.(*Run)
		if run.State == Running || run.State == Ended && run.Outcome.Disposition != request.NotRun {
			return false
		}
	} else if !history.covers(attemptID) {
		return false
	}
	history.addTombstone(attemptID)
	return true
}

// Unfinished reports whether an attempt is recorded and has not ended.
func (history *History) Unfinished(attemptID string) bool {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	element, known := history.runs[attemptID]
	return known && element.Value.(*Run).State != Ended
}

// covers reports whether the history would still contain an attempt with this ID if it were non-idempotent and had run. It
// does not cover IDs created before the latest start of an evicted run, or less than maxClockSkew after it.
func (history *History) covers(attemptID string) bool {
	if history.newestEvicted.IsZero() {
		return true
	}
	created, ok := creationTime(attemptID)
	return ok && created.After(history.newestEvicted.Add(maxClockSkew))
}

// creationTime returns the timestamp in an ID that request.NewID returned.
func creationTime(id string) (created time.Time, ok bool) {
	const uuidDigits = 32
	if len(id) < uuidDigits {
		return time.Time{}, false
	}
	parsed, err := uuid.Parse(id[len(id)-uuidDigits:])
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// addTombstone adds a tombstone for an attempt and drops the oldest one if there are more than MaxTombstones.
func (history *History) addTombstone(attemptID string) {
	if _, fenced := history.tombstones[attemptID]; fenced {
		return
	}
	history.tombstones[attemptID] = struct{}{}
	history.tombstoneOrder = append(history.tombstoneOrder, attemptID)
	if len(history.tombstoneOrder) > history.MaxTombstones {
		delete(history.tombstones, history.tombstoneOrder[0])
		history.tombstoneOrder = history.tombstoneOrder[1:]
	}
}

// RunsOf returns the recorded runs of a request.
func (history *History) RunsOf(requestID string) (runs []Run) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, attemptID := range history.requests[requestID] {
		runs = append(runs, *history.runs[attemptID].Value.(*Run))
	}
	return runs
}
