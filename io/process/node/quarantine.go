package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/io/process/telemetry"
)

const (
	maxSuspects   = 4096 // requests and parts of prompts with engine ends that are kept in memory; each end takes about 300 bytes
	maxSoundParts = 4096 // parts of prompts that ran lately; each takes about 200 bytes
	// maxUnsavedEnds bounds the engine ends that wait for the store. Peers have been told of those that are dropped.
	maxUnsavedEnds = 1024
)

// quarantine holds the engine ends that this process has seen or been told of, tells the other members of those it has
// seen, and writes them to the store for members that start later.
type quarantine struct {
	node     *Node
	suspects atomic.Int32 // number of requests in ledger, so that no fingerprint is computed while there are none

	mutex      sync.Mutex
	ledger     poisonpill.Ledger
	broken     []brokenRun                    // whose engines still accepted connections, oldest first
	announced  map[poisonpill.Fingerprint]int // number of ends for which a quarantine was logged
	unshared   suspicionSet                   // to be told to the peers
	shared     chan struct{}                  // closed once the peers have been told of what was shared last
	unsaved    []poisonpill.EngineEnd         // to be written to the store, oldest first
	told       []toldEnd                      // by peers, to be written to the store if they do not
	clearances []poisonpill.Clearance         // to be written to the store
	saving     bool                           // a write to the store is in progress, or its outcome is unknown
	saved      map[string]time.Time           // times of the records in the store, by key
	trials     map[poisonpill.Fingerprint]*heldTrial
	vouched    map[vouchedPart]time.Time // of the last clearance that informed other members that a part is sound
	wakeShare  chan struct{}             // there is something to share
	wakeSave   chan struct{}             // there is something to save
}

// vouchedPart is a part of prompts that is sound at a build of the engines.
type vouchedPart struct {
	fingerprint poisonpill.Fingerprint
	build       string
}

// toldEnd is an engine's end that a peer has told.
type toldEnd struct {
	poisonpill.EngineEnd

	due time.Time // when it is written to the store if the peer has not done so
}

// init sets up an empty quarantine.
func (quarantine *quarantine) init(node *Node) {
	quarantine.node = node
	quarantine.ledger.MaxRequests, quarantine.ledger.MaxSound = maxSuspects, maxSoundParts
	quarantine.vouched = map[vouchedPart]time.Time{}
	quarantine.announced = map[poisonpill.Fingerprint]int{}
	quarantine.saved = map[string]time.Time{}
	quarantine.trials = map[poisonpill.Fingerprint]*heldTrial{}
	quarantine.shared = make(chan struct{})
	close(quarantine.shared) // nothing has been shared yet
	quarantine.wakeShare, quarantine.wakeSave = make(chan struct{}, 1), make(chan struct{}, 1)
}

// RecordCompletion clears a request that has run to its end at an engine, if engines ended under it before. fingerprint is
// called only if engines have ended under any request.
func (node *Node) RecordCompletion(fingerprint func() poisonpill.Fingerprint) {
	quarantine := &node.quarantine
	if quarantine.suspects.Load() == 0 {
		return
	}
	completed := fingerprint()
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if !quarantine.ledger.Suspected(completed) {
		return
	}
	clearance := poisonpill.Clearance{Fingerprint: completed, At: time.Now()}
	quarantine.unshared.Clearances = append(quarantine.unshared.Clearances, clearance)
	if quarantine.clear(clearance, "it ran to its end") {
		quarantine.clearances = append(quarantine.clearances, clearance)
	}
	quarantine.requestFlush()
}

// RecordSound records that a run at an engine has shown that no part of its prompt ends engines of that build. Other members are informed
// if one was suspected to.
func (node *Node) RecordSound(engine fleet.Engine, parts []poisonpill.Part) {
	quarantine, build, now := &node.quarantine, engine.Build().Text(), time.Now()
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	for _, part := range parts {
		if quarantine.ledger.RecordSound(now, part.Fingerprint, build) {
			clearance := poisonpill.Clearance{Fingerprint: part.Fingerprint, At: now, Build: build}
			if quarantine.vouch(clearance, "a request with it ran") {
				quarantine.clearances = append(quarantine.clearances, clearance)
			}
		}
	}
}

// vouch informs the other members that a part of prompts is sound at a build, and removes the ends that counted against it. It reports
// whether the store may hold such ends. The mutex must be held.
func (quarantine *quarantine) vouch(clearance poisonpill.Clearance, reason string) (mayBeSaved bool) {
	if len(quarantine.vouched) >= maxSoundParts {
		clear(quarantine.vouched)
	}
	quarantine.vouched[vouchedPart{clearance.Fingerprint, clearance.Build}] = clearance.At
	quarantine.unshared.Clearances = append(quarantine.unshared.Clearances, clearance)
	mayBeSaved = quarantine.clear(clearance, reason)
	quarantine.requestFlush()
	return mayBeSaved
}

// vouchAgainst informs the other members that the part of an end which another member reported is sound, if this process knows that and
// has not done so since the end. saved reports whether the end is in the store. The mutex must be held.
func (quarantine *quarantine) vouchAgainst(end poisonpill.EngineEnd, saved bool) {
	now := time.Now()
	if end.Part == "" || now.Sub(end.Ended) > poisonpill.EndLifetime || !quarantine.ledger.Sound(now, end.Fingerprint, end.Build) {
		return
	}
	if vouched, ok := quarantine.vouched[vouchedPart{end.Fingerprint, end.Build}]; !ok || end.Ended.After(vouched) {
		clearance := poisonpill.Clearance{Fingerprint: end.Fingerprint, At: now, Build: end.Build}
		if quarantine.vouch(clearance, "a request with it ran before") || saved {
			quarantine.clearances = append(quarantine.clearances, clearance)
		}
	}
}

// Quarantines returns the quarantines that apply to a request at engine, or at any engine if that is the zero value. content is
// called only if engines have ended under any request. ambiguous is as [poisonpill.Ledger.Quarantines] returns it.
func (node *Node) Quarantines(content func() poisonpill.Content, engine fleet.Engine) (found []poisonpill.Quarantine, ambiguous bool) {
	quarantine := &node.quarantine
	if quarantine.suspects.Load() == 0 {
		return nil, false
	}
	build := ""
	if engine.ID != "" {
		build = engine.Build().Text()
	}
	read := content()
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	return quarantine.ledger.Quarantines(time.Now(), read, build)
}

// add adds an engine's end to the ledger and logs the quarantine that results from it. It reports whether the end is new.
// The mutex must be held.
func (quarantine *quarantine) add(end poisonpill.EngineEnd) (added bool) {
	now := time.Now()
	if !quarantine.ledger.Add(now, end) {
		return false
	}
	quarantine.suspects.Store(int32(quarantine.ledger.Len())) //nolint:gosec // at most maxSuspects
	reported, counted := quarantine.ledger.Counts(now, end.Fingerprint)
	quarantine.node.Log.Info("engine end learned", zap.Stringer("fingerprint", end.Fingerprint), zap.String("part", end.Part), zap.String("request", end.Request), zap.String("engine", end.Engine),
		zap.String("member", end.Process), zap.Duration("age", now.Sub(end.Ended)), zap.Int("reported", reported), zap.Int("counted", counted))
	found, quarantined := quarantine.ledger.Quarantine(now, end.Fingerprint)
	if !quarantined || len(found.Ends) <= quarantine.announced[end.Fingerprint] {
		return true
	}
	if len(quarantine.announced) > maxSuspects {
		clear(quarantine.announced)
	}
	quarantine.announced[end.Fingerprint] = len(found.Ends)
	engines := make([]string, 0, len(found.Ends))
	for _, end := range found.Ends {
		engines = append(engines, end.Engine)
	}
	telemetry.Quarantines.Add("quarantined", 1)
	quarantine.node.Log.Warn("request quarantined", zap.Stringer("fingerprint", end.Fingerprint), zap.String("part", end.Part), zap.String("request", end.Request),
		zap.Strings("engines", engines), zap.Time("until", found.Until))
	return true
}

// clear applies a clearance and logs it. It reports whether the store may hold ends that it removes. The mutex must be held.
func (quarantine *quarantine) clear(clearance poisonpill.Clearance, reason string) (mayBeSaved bool) {
	_, quarantined := quarantine.ledger.Quarantine(time.Now(), clearance.Fingerprint)
	removed := quarantine.ledger.Clear(clearance)
	if len(removed) == 0 {
		return false
	}
	quarantine.told = slices.DeleteFunc(quarantine.told, func(told toldEnd) bool {
		return told.Fingerprint == clearance.Fingerprint && clearance.Covers(told.EngineEnd)
	})
	unsaved := quarantine.unsaved[:0]
	waiting := 0
	for _, end := range quarantine.unsaved {
		if end.Fingerprint == clearance.Fingerprint && clearance.Covers(end) {
			waiting++
			continue
		}
		unsaved = append(unsaved, end)
	}
	quarantine.unsaved = unsaved
	delete(quarantine.announced, clearance.Fingerprint)
	if quarantined {
		telemetry.Quarantines.Add("lifted", 1)
		quarantine.node.Log.Info("quarantine lifted", zap.Stringer("fingerprint", clearance.Fingerprint), zap.String("part", removed[0].Part), zap.String("reason", reason), zap.Int("ends", len(removed)))
	}
	return waiting < len(removed) || quarantine.saving
}

// requestFlush makes what is new be told to the peers and written to the store.
func (quarantine *quarantine) requestFlush() {
	for _, wake := range []chan struct{}{quarantine.wakeShare, quarantine.wakeSave} {
		select {
		case wake <- struct{}{}:
		default: // already requested
		}
	}
}
