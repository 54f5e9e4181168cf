package runs

import (
	"container/list"
	"sync"
	"time"

	"github.com/google/uuid"

	"cowslipway/core/state/request"
)

// State is how far an attempt has come.
type State uint8

// The states, in the order in which they follow.
const (
	Queued State = iota + 1
	Running
	Ended
)

// String returns the name of state as operators see it.
func (state State) String() string {
	return [...]string{"unknown", "queued", "running", "ended"}[state]
}

// Run is what a daemon knows of one attempt.
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

// maxClockSkew bounds the difference between the clocks of two VMs where identifiers are compared by time.
const maxClockSkew = 5 * time.Minute

// History keeps the newest runs of one daemon and its tombstones; it is safe for concurrent use.
type History struct {
	MaxRuns       int
	MaxTombstones int

	mutex      sync.Mutex
	runs       map[string]*list.Element // by attempt
	requests   map[string][]string      // attempts by request
	order      list.List                // of *Run, the oldest first
	tombstones map[string]struct{}
	graves     []string  // tombstones in order
	forgotten  time.Time // newest start of a non-idempotent run that fell out of the record
}

// Begin records an attempt that has arrived; it reports false for an attempt that must never run or that
// has arrived before.
func (record *History) Begin(run Run) (ok bool) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.init()
	if _, fenced := record.tombstones[run.AttemptID]; fenced {
		return false
	}
	if _, known := record.runs[run.AttemptID]; known {
		return false
	}
	run.State = Queued
	record.runs[run.AttemptID] = record.order.PushBack(&run)
	record.requests[run.RequestID] = append(record.requests[run.RequestID], run.AttemptID)
	record.evict()
	return true
}

func (record *History) init() {
	if record.runs == nil {
		record.runs = map[string]*list.Element{}
		record.requests = map[string][]string{}
		record.tombstones = map[string]struct{}{}
	}
}

// evict forgets the oldest run; one that has not ended is kept, whatever the bound.
func (record *History) evict() {
	if record.order.Len() <= record.MaxRuns {
		return
	}
	oldest := record.order.Front()
	run := oldest.Value.(*Run)
	if run.State != Ended {
		record.order.MoveToBack(oldest)
		return
	}
	record.order.Remove(oldest)
	delete(record.runs, run.AttemptID)
	record.forget(run.RequestID, run.AttemptID)
	if !run.Idempotent && run.Started.After(record.forgotten) {
		record.forgotten = run.Started
	}
}

func (record *History) forget(requestID, attemptID string) {
	attempts := record.requests[requestID]
	if len(attempts) <= 1 {
		delete(record.requests, requestID)
		return
	}
	kept := make([]string, 0, len(attempts)-1)
	for _, attempt := range attempts {
		if attempt != attemptID {
			kept = append(kept, attempt)
		}
	}
	record.requests[requestID] = kept
}

// Start records that an attempt is about to reach the engine; it reports false if it was fenced meanwhile.
func (record *History) Start(attemptID string) (ok bool) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if _, fenced := record.tombstones[attemptID]; fenced {
		return false
	}
	if element, known := record.runs[attemptID]; known {
		element.Value.(*Run).State = Running
	}
	return true
}

// End records how an attempt ended.
func (record *History) End(attemptID string, outcome request.Outcome, now time.Time) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	element, known := record.runs[attemptID]
	if !known {
		return
	}
	run := element.Value.(*Run)
	run.State, run.Outcome, run.Ended = Ended, outcome, now
}

// Fence makes sure that an attempt which has not reached the engine never will; it reports false where
// the attempt ran, or where the record does not go back far enough to tell.
func (record *History) Fence(attemptID string) (fenced bool) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.init()
	if element, known := record.runs[attemptID]; known {
		run := element.Value.(*Run)
		if run.State == Running || run.State == Ended && run.Outcome.Disposition != request.NotRun {
			return false
		}
	} else if !record.goesBackTo(attemptID) {
		return false
	}
	record.bury(attemptID)
	return true
}

// Unfinished reports whether an attempt is on record and has not ended.
func (record *History) Unfinished(attemptID string) bool {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	element, known := record.runs[attemptID]
	return known && element.Value.(*Run).State != Ended
}

// goesBackTo reports whether an attempt with this identifier, had it run, would still be on record.
func (record *History) goesBackTo(attemptID string) bool {
	if record.forgotten.IsZero() {
		return true
	}
	made, ok := madeAt(attemptID)
	return ok && made.After(record.forgotten.Add(maxClockSkew))
}

// madeAt returns the time in an identifier of request.NewID.
func madeAt(id string) (made time.Time, ok bool) {
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

func (record *History) bury(attemptID string) {
	if _, fenced := record.tombstones[attemptID]; fenced {
		return
	}
	record.tombstones[attemptID] = struct{}{}
	record.graves = append(record.graves, attemptID)
	if len(record.graves) > record.MaxTombstones {
		delete(record.tombstones, record.graves[0])
		record.graves = record.graves[1:]
	}
}

// RunsOf returns what is known of the attempts of a request.
func (record *History) RunsOf(requestID string) (found []Run) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	for _, attemptID := range record.requests[requestID] {
		found = append(found, *record.runs[attemptID].Value.(*Run))
	}
	return found
}
