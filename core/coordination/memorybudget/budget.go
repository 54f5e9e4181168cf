package memorybudget

import "time"

// rateWindow is the time over which the rate of a caller is measured.
const rateWindow = time.Second

// Budget holds the reservations of memory of a process. The exported fields must be set before its methods are called. It is not
// safe for concurrent use.
type Budget struct {
	Bytes       int64 // bound of all holdings together
	SmallBytes  int64 // size up to which a holding is small
	LargeBytes  int64 // bound of all holdings together that are not small; the rest of Bytes is left to small ones
	MaxHoldings int

	// StallTime is the time after which a caller that sends nothing may be ended to make room, and TakeTime that after which one may be
	// that takes nothing.
	StallTime, TakeTime time.Duration
	// RefillTime is the time in which a caller has to send as much as it holds, at its current rate, so as not to be ended to make room.
	RefillTime time.Duration
	// ProgressWindow is a time in which a caller has to send at least ProgressBytes, or to take something of a response, also while there is
	// room. 0 sets no limit.
	ProgressWindow time.Duration
	ProgressBytes  int64
	// IdleLimit is the time that a connection may wait for its next request. 0 sets no limit.
	IdleLimit time.Duration

	holdings map[*Holding]struct{}
	used     int64
	large    int64 // part of used
	leaving  leaving
}

// leaving sums the holdings that are being ended.
type leaving struct{ holdings, bytes, large int64 }

// State is what a holding waits for.
type State uint8

// The states of a holding.
const (
	Receiving State = iota // a request from its caller
	Serving                // the product; it is not ended, unless its caller does not take the response
	Idle                   // the next request of its caller
)

// Cause is why a holding is ended.
type Cause uint8

// The causes of an end.
const (
	NoRoom   Cause = iota // others need its memory
	TooSlow               // its caller has sent or taken too little
	TooIdle               // its caller sends no further request
	Stopping              // the process stops, and its caller has stopped within a request
)

var causeNames = [...]string{"no room", "too slow", "idle", "stopping"}

// String returns the name of the cause in logs and metrics.
func (cause Cause) String() string { return causeNames[cause] }

// Holding is the memory that is held for one connection.
type Holding struct {
	// End begins to end the connection. It must not block; Release is called later.
	End func(cause Cause)
	// Sync is called before it is decided whether the holding is ended, to record what its caller has sent and taken meanwhile. It may
	// be nil.
	Sync func()

	state      State
	bytes      int64
	ending     bool
	pausedAt   time.Time // zero unless paused
	waiting    bool      // for room, so that its caller is not to blame for a lack of progress
	since      time.Time // of the last progress, or of the last change of the state
	sending    time.Time // since when the caller has taken nothing of a response; zero if there is nothing to take
	windowFrom time.Time
	window     int64 // bytes sent since windowFrom
	rateFrom   time.Time
	rated      int64   // bytes since rateFrom
	rate       float64 // bytes per second in the last complete rateWindow
	hasRate    bool
}

// Bytes returns the size of the holding.
func (holding *Holding) Bytes() int64 { return holding.bytes }

// Ending reports whether the holding is being ended.
func (holding *Holding) Ending() bool { return holding.ending }

// sync calls Sync.
func (holding *Holding) sync() {
	if holding.Sync != nil {
		holding.Sync()
	}
}

// Verdict is the decision about a reservation.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota
	Wait            // until a holding that is being ended is released
	Refused
)

// Used returns the bytes of all holdings and their number.
func (budget *Budget) Used() (bytes int64, holdings int) { return budget.used, len(budget.holdings) }

// Open reserves bytes for a new holding, which is in the state Receiving. It may end others.
func (budget *Budget) Open(holding *Holding, bytes int64, now time.Time) (verdict Verdict) {
	if len(budget.holdings) >= budget.MaxHoldings {
		if len(budget.holdings)-int(budget.leaving.holdings) >= budget.MaxHoldings && !budget.endOne(nil, false, now) {
			return Refused
		}
		return Wait
	}
	if verdict = budget.makeRoom(nil, bytes, 0, now); verdict != Granted {
		return verdict
	}
	if budget.holdings == nil {
		budget.holdings = map[*Holding]struct{}{}
	}
	budget.holdings[holding] = struct{}{}
	budget.SetState(holding, Receiving, now)
	budget.charge(holding, bytes)
	return Granted
}

// Resize changes the size of a holding. A smaller size is always granted. It may end other holdings.
func (budget *Budget) Resize(holding *Holding, bytes int64, now time.Time) (verdict Verdict) {
	if bytes > holding.bytes {
		if holding.ending {
			return Refused
		}
		large := int64(0)
		if bytes > budget.SmallBytes {
			large = bytes - budget.largePart(holding.bytes)
		}
		verdict = budget.makeRoom(holding, bytes-holding.bytes, large, now)
		if holding.waiting && verdict != Wait { // it could not make progress meanwhile
			holding.since, holding.windowFrom, holding.window = now, now, 0
		}
		if holding.waiting = verdict == Wait; verdict != Granted {
			return verdict
		}
	}
	budget.charge(holding, bytes)
	return Granted
}

// Fits reports whether a holding of so many bytes has room once all others that may ever be ended have been.
func (budget *Budget) Fits(holding *Holding, bytes int64) bool {
	used, large := bytes, int64(0)
	if bytes > budget.SmallBytes {
		large = bytes
	}
	for other := range budget.holdings {
		if other != holding && other.state == Serving {
			used, large = used+other.bytes, large+budget.largePart(other.bytes)
		}
	}
	return used <= budget.Bytes && large <= budget.LargeBytes
}

// SetState changes what a holding waits for. Its rate and its progress count from now on.
func (budget *Budget) SetState(holding *Holding, state State, now time.Time) {
	holding.state, holding.since, holding.windowFrom, holding.window = state, now, now, 0
	holding.rateFrom, holding.rated, holding.hasRate, holding.pausedAt = now, 0, false, time.Time{}
}

// Pause changes the state to Serving until Resume is called.
func (budget *Budget) Pause(holding *Holding, now time.Time) {
	holding.state, holding.pausedAt = Serving, now
}

// Resume changes the state to Receiving. The time since Pause does not count against the caller.
func (budget *Budget) Resume(holding *Holding, now time.Time) {
	paused := time.Duration(0)
	if !holding.pausedAt.IsZero() {
		paused = now.Sub(holding.pausedAt)
	}
	holding.state, holding.pausedAt = Receiving, time.Time{}
	holding.since, holding.windowFrom, holding.rateFrom = holding.since.Add(paused), holding.windowFrom.Add(paused), holding.rateFrom.Add(paused)
}

// SetSending records since when a caller has taken nothing of a response; zero if there is nothing to take.
func (budget *Budget) SetSending(holding *Holding, since time.Time) { holding.sending = since }

// Progress records that a caller has sent bytes.
func (budget *Budget) Progress(holding *Holding, bytes int64, now time.Time) {
	if holding.state == Idle {
		budget.SetState(holding, Receiving, now)
	}
	holding.since = now
	holding.window += bytes
	holding.rated += bytes
	if elapsed := now.Sub(holding.rateFrom); elapsed >= rateWindow {
		holding.rate, holding.hasRate = float64(holding.rated)/elapsed.Seconds(), true
		holding.rateFrom, holding.rated = now, 0
	}
}

// Forgive counts what callers send from now on, after a time in which the process did not run and could not read what they had sent.
func (budget *Budget) Forgive(now time.Time) {
	for holding := range budget.holdings {
		holding.sync()
		holding.since, holding.windowFrom, holding.rateFrom = now, now, now
		holding.window, holding.rated = 0, 0
	}
}

// Release removes a holding.
func (budget *Budget) Release(holding *Holding) {
	if _, ok := budget.holdings[holding]; !ok {
		return
	}
	budget.charge(holding, 0)
	if holding.ending {
		budget.leaving.holdings--
	}
	delete(budget.holdings, holding)
}

// EndOverdue ends the holdings whose callers have made too little progress, or were idle for too long.
func (budget *Budget) EndOverdue(now time.Time) {
	for holding := range budget.holdings {
		if holding.ending || holding.waiting {
			continue
		}
		holding.sync()
		if cause, ok := budget.overdue(holding, now); ok {
			budget.end(holding, cause)
		}
	}
}

// EndStalled ends the holdings whose callers have stopped within a request, as before a stop of the process.
func (budget *Budget) EndStalled(now time.Time) {
	for holding := range budget.holdings {
		holding.sync()
		if !holding.ending && !holding.waiting && holding.state == Receiving && now.Sub(holding.since) >= budget.StallTime {
			budget.end(holding, Stopping)
		}
	}
}

// overdue reports whether a holding is to be ended although there may be room, and why.
func (budget *Budget) overdue(holding *Holding, now time.Time) (cause Cause, ok bool) {
	switch {
	case !holding.sending.IsZero():
		return TooSlow, budget.ProgressWindow > 0 && now.Sub(holding.sending) >= budget.ProgressWindow
	case holding.state == Serving:
		return 0, false
	case holding.state == Idle:
		return TooIdle, budget.IdleLimit > 0 && now.Sub(holding.since) >= budget.IdleLimit
	}
	if budget.ProgressWindow <= 0 || now.Sub(holding.windowFrom) < budget.ProgressWindow {
		return 0, false
	}
	enough := holding.window >= budget.ProgressBytes
	holding.windowFrom, holding.window = now, 0
	return TooSlow, !enough
}

// largePart returns which part of a size counts as large.
func (budget *Budget) largePart(bytes int64) int64 {
	if bytes > budget.SmallBytes {
		return bytes
	}
	return 0
}

// charge sets the size of a holding.
func (budget *Budget) charge(holding *Holding, bytes int64) {
	used, large := bytes-holding.bytes, budget.largePart(bytes)-budget.largePart(holding.bytes)
	budget.used, budget.large = budget.used+used, budget.large+large
	if holding.ending {
		budget.leaving.bytes, budget.leaving.large = budget.leaving.bytes+used, budget.leaving.large+large
	}
	holding.bytes = bytes
}

// makeRoom decides about more bytes for a holding, of which so many count as large. It ends others while those that are being ended do
// not leave enough.
func (budget *Budget) makeRoom(requester *Holding, bytes, large int64, now time.Time) (verdict Verdict) {
	for {
		lacksLarge := large > 0 && budget.large-budget.leaving.large+large > budget.LargeBytes
		if !lacksLarge && budget.used-budget.leaving.bytes+bytes <= budget.Bytes {
			break
		}
		if !budget.endOne(requester, lacksLarge, now) {
			return Refused
		}
	}
	if budget.used+bytes > budget.Bytes || large > 0 && budget.large+large > budget.LargeBytes {
		return Wait
	}
	return Granted
}

// endOne ends the holding that is the first to go, if there is one. onlyLarge is set if a small one would leave no room.
func (budget *Budget) endOne(requester *Holding, onlyLarge bool, now time.Time) (ok bool) {
	var first *Holding
	var firstRank rank
	for holding := range budget.holdings {
		if holding == requester || holding.ending || holding.waiting || onlyLarge && budget.largePart(holding.bytes) == 0 {
			continue
		}
		holding.sync()
		if rank, ok := budget.rank(holding, now); ok && (first == nil || firstRank.less(rank)) {
			first, firstRank = holding, rank
		}
	}
	if first != nil {
		budget.end(first, NoRoom)
	}
	return first != nil
}

// rank orders holdings by how soon they are ended to make room.
type rank struct {
	class    uint8   // the highest is ended first
	position float64 // within the class, the highest is ended first
}

// The classes of a rank.
const (
	slowClass uint8 = iota
	idleClass
	stalledClass
)

func (a rank) less(b rank) bool {
	return a.class < b.class || a.class == b.class && a.position < b.position
}

// rank returns the rank of a holding, if it may be ended to make room.
func (budget *Budget) rank(holding *Holding, now time.Time) (found rank, ok bool) {
	waited := now.Sub(holding.since)
	switch {
	case !holding.sending.IsZero():
		waited = now.Sub(holding.sending)
		return rank{class: stalledClass, position: waited.Seconds() * float64(holding.bytes)}, waited >= budget.TakeTime
	case holding.state == Serving:
		return rank{}, false
	case holding.state == Idle:
		return rank{class: idleClass, position: waited.Seconds()}, true
	case waited >= budget.StallTime:
		return rank{class: stalledClass, position: waited.Seconds() * float64(holding.bytes)}, true
	case holding.hasRate && holding.currentRate()*budget.RefillTime.Seconds() < float64(holding.bytes):
		return rank{class: slowClass, position: float64(holding.bytes) / max(holding.currentRate(), 1)}, true
	}
	return rank{}, false
}

// currentRate returns the bytes per second in the last complete rateWindow, or in the present one if these are more already.
func (holding *Holding) currentRate() float64 {
	return max(holding.rate, float64(holding.rated)/rateWindow.Seconds())
}

// end begins to end a holding.
func (budget *Budget) end(holding *Holding, cause Cause) {
	holding.ending = true
	budget.leaving.holdings++
	budget.leaving.bytes += holding.bytes
	budget.leaving.large += budget.largePart(holding.bytes)
	if holding.End != nil {
		holding.End(cause)
	}
}
