package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const (
	suspicionPrefix = "suspicions/"
	clearanceName   = "cleared" // last part of the key of a clearance
	trialName       = "trial-"  // start of the last part of the key of a trial
	// suspicionCall starts a call between members that passes on suspicions; calls to the store are JSON objects.
	suspicionCall = "suspicions\n"

	maxSuspects = 4096 // requests with engine ends that are kept in memory; each end takes about 300 bytes
	// maxUnsavedEnds bounds the engine ends that wait for the store. Peers have been told of those that are dropped.
	maxUnsavedEnds = 1024
	// saveDelay is how long an engine's end waits before it is written to the store. Most requests are not the cause, are
	// served by the next engine within that time, and then cost no write.
	saveDelay      = time.Second
	saveRetryDelay = 500 * time.Millisecond
	// recheckDelay is the time after which an engine that accepted a connection is tried again: connections to a process that
	// is ending may still be accepted before its listening socket is closed.
	recheckDelay = 100 * time.Millisecond
	// confirmWithin is the time in which an engine that has ended is back and listed as a new incarnation.
	confirmWithin = 10 * time.Second
	// maxSuspectEvents is the number of events of a run from which on the end of its engine does not count against the request:
	// a request that ends its engines does so when it begins to run, and a long run meets the ends that others cause.
	maxSuspectEvents = 8
	maxBrokenRuns    = 256         // runs for which the end of their engine may still be confirmed
	shareTimeout     = time.Second // of one attempt to tell a peer
	shareAttempts    = 3           // a peer that was not told by then reads the store
	// sweepAfter is the age of the records of suspicions that are removed from the store: clocks of VMs differ by up to 5 s.
	sweepAfter = poisonpill.EndLifetime + 10*time.Second
)

// EngineRun is a run of a request at an engine.
type EngineRun struct {
	Engine      fleet.Engine
	RequestID   string
	Fingerprint poisonpill.Fingerprint
	Sent        time.Time
	Events      int // received from the engine
}

// brokenRun is a run that its engine broke off.
type brokenRun struct {
	EngineRun

	at time.Time
}

// suspicions is what members tell each other about requests under which engines ended.
type suspicions struct {
	Ends       []poisonpill.EngineEnd `json:"ends,omitempty"`
	Clearances []poisonpill.Clearance `json:"clearances,omitempty"`

	trials []trial // only read from the store
}

// trial is the record that a process runs a quarantined request once.
type trial struct {
	Fingerprint poisonpill.Fingerprint `json:"fingerprint"`
	Process     string                 `json:"process"`
	At          time.Time              `json:"at"`
}

// quarantine holds the engine ends that this process has seen or been told of, tells the other members of those it has
// seen, and writes them to the store for members that start later.
type quarantine struct {
	node     *Node
	suspects atomic.Int32 // number of requests in ledger, so that no fingerprint is computed while there are none

	mutex      sync.Mutex
	ledger     poisonpill.Ledger
	broken     []brokenRun                    // whose engines still accepted connections, oldest first
	announced  map[poisonpill.Fingerprint]int // number of ends for which a quarantine was logged
	unshared   suspicions                     // to be told to the peers
	unsaved    []poisonpill.EngineEnd         // to be written to the store, oldest first
	clearances []poisonpill.Clearance         // to be written to the store
	saved      map[string]time.Time           // times of the records in the store, by key
	wakeShare  chan struct{}                  // there is something to share
	wakeSave   chan struct{}                  // there is something to save
}

// init sets up an empty quarantine.
func (quarantine *quarantine) init(node *Node) {
	quarantine.node = node
	quarantine.ledger.MaxRequests = maxSuspects
	quarantine.announced = map[poisonpill.Fingerprint]int{}
	quarantine.saved = map[string]time.Time{}
	quarantine.wakeShare, quarantine.wakeSave = make(chan struct{}, 1), make(chan struct{}, 1)
}

// endKey returns the key of the record of an engine's end.
func (quarantine *quarantine) endKey(end poisonpill.EngineEnd) string {
	return quarantine.node.Records.OwnKey(fmt.Sprintf("%s%s/%016x", suspicionPrefix, end.Fingerprint, xxhash.Sum64String(end.Engine)))
}

// clearanceKey returns the name of the own record that clears a request.
func clearanceKey(fingerprint poisonpill.Fingerprint) (name string) {
	return suspicionPrefix + fingerprint.String() + "/" + clearanceName
}

// CheckEngineEnd finds out whether an engine that broke off its response to a request has ended, and if so counts that
// against the request. An engine that accepts a connection is taken to be alive, unless it refuses one a moment later, or a new
// incarnation is listed at its address soon after.
func (node *Node) CheckEngineEnd(ctx context.Context, run EngineRun) {
	if run.Events >= maxSuspectEvents {
		return
	}
	broken := brokenRun{EngineRun: run, at: time.Now()}
	err := node.Upstream.Dial(ctx, run.Engine.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		node.quarantine.recordEnd(broken, err.Error())
		return
	case err != nil:
		telemetry.EngineChecks.Add("no answer", 1) // as over a cut link, or from a VM without power
		return
	}
	telemetry.EngineChecks.Add("accepted", 1)
	node.quarantine.awaitEnd(broken)
	if run.Events > 0 {
		return // an engine that a request ends has seldom sent an event by then
	}
	time.AfterFunc(recheckDelay, func() {
		if err := node.Upstream.Probe(context.WithoutCancel(ctx), run.Engine.Address); errors.Is(err, syscall.ECONNREFUSED) {
			node.quarantine.confirmEnds(err.Error(), func(other brokenRun) bool { return other == broken })
		}
	})
}

// engineListed counts runs that the engine at the address of listed broke off lately, if listed is a later incarnation.
func (quarantine *quarantine) engineListed(listed fleet.Engine) {
	quarantine.confirmEnds("a new incarnation is listed", func(broken brokenRun) bool {
		return broken.Engine.Address == listed.Address && broken.Engine.StartUnixMilli < listed.StartUnixMilli
	})
}

// awaitEnd keeps a run for confirmEnds.
func (quarantine *quarantine) awaitEnd(broken brokenRun) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if quarantine.broken = append(quarantine.broken, broken); len(quarantine.broken) > maxBrokenRuns {
		quarantine.broken = quarantine.broken[1:]
	}
}

// confirmEnds counts the ends of the engines of the runs that awaitEnd keeps and for which ended returns true.
func (quarantine *quarantine) confirmEnds(reason string, ended func(broken brokenRun) bool) {
	quarantine.mutex.Lock()
	var confirmed, rest []brokenRun
	for _, broken := range quarantine.broken {
		switch {
		case time.Since(broken.at) > confirmWithin:
		case ended(broken):
			confirmed = append(confirmed, broken)
		default:
			rest = append(rest, broken)
		}
	}
	quarantine.broken = rest
	quarantine.mutex.Unlock()
	for _, broken := range confirmed {
		quarantine.recordEnd(broken, reason)
	}
}

// recordEnd counts the end of an engine against the request of a run, and has it told to the other members.
func (quarantine *quarantine) recordEnd(broken brokenRun, reason string) {
	telemetry.EngineChecks.Add("ended", 1)
	node := quarantine.node
	end := poisonpill.EngineEnd{
		Fingerprint: broken.Fingerprint, Engine: broken.Engine.Incarnation(), Request: broken.RequestID, Process: node.self.Name, Sent: broken.Sent, Ended: broken.at,
	}
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	node.Log.Info("engine ended during a request", zap.String("engine", broken.Engine.ID), zap.String("request", broken.RequestID),
		zap.Stringer("fingerprint", broken.Fingerprint), zap.Duration("ran", broken.at.Sub(broken.Sent)), zap.String("reason", reason))
	if !quarantine.add(end) {
		return
	}
	quarantine.unshared.Ends = append(quarantine.unshared.Ends, end)
	if quarantine.unsaved = append(quarantine.unsaved, end); len(quarantine.unsaved) > maxUnsavedEnds {
		quarantine.unsaved = quarantine.unsaved[1:]
	}
	quarantine.requestFlush()
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

// Quarantined returns the quarantine of a request; ok reports whether it is quarantined. fingerprint is called only if
// engines have ended under any request.
func (node *Node) Quarantined(fingerprint func() poisonpill.Fingerprint) (found poisonpill.Quarantine, ok bool) {
	quarantine := &node.quarantine
	if quarantine.suspects.Load() == 0 {
		return found, false
	}
	digest := fingerprint()
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	return quarantine.ledger.Quarantine(time.Now(), digest)
}

// ExpiredSuspicions returns the keys of up to limit records of suspicions in the store that no longer count.
func (node *Node) ExpiredSuspicions(now time.Time, limit int) (keys []string) {
	quarantine := &node.quarantine
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	for key, at := range quarantine.saved {
		if now.Sub(at) > sweepAfter && len(keys) < limit {
			keys = append(keys, key)
		}
	}
	return keys
}

// add adds an engine's end to the ledger and logs the quarantine that results from it. It reports whether the end is new.
// The mutex must be held.
func (quarantine *quarantine) add(end poisonpill.EngineEnd) (added bool) {
	now := time.Now()
	if !quarantine.ledger.Add(now, end) {
		return false
	}
	quarantine.suspects.Store(int32(quarantine.ledger.Len())) //nolint:gosec // at most maxSuspects
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
	quarantine.node.Log.Warn("request quarantined", zap.Stringer("fingerprint", end.Fingerprint), zap.String("request", end.Request),
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
	unsaved := quarantine.unsaved[:0]
	waiting := 0
	for _, end := range quarantine.unsaved {
		if end.Fingerprint == clearance.Fingerprint && !end.Ended.After(clearance.At) {
			waiting++
			continue
		}
		unsaved = append(unsaved, end)
	}
	quarantine.unsaved = unsaved
	delete(quarantine.announced, clearance.Fingerprint)
	if quarantined {
		telemetry.Quarantines.Add("lifted", 1)
		quarantine.node.Log.Info("quarantine lifted", zap.Stringer("fingerprint", clearance.Fingerprint), zap.String("reason", reason), zap.Int("ends", len(removed)))
	}
	return waiting < len(removed)
}

// merge applies what a peer has told.
func (quarantine *quarantine) merge(told suspicions) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	for _, end := range told.Ends {
		quarantine.add(end)
	}
	for _, clearance := range told.Clearances {
		quarantine.clear(clearance, "another member cleared it")
	}
}

// applyRecord applies a changed record below suspicionPrefix.
func (quarantine *quarantine) applyRecord(item store.Item) (err error) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if item.Deleted {
		delete(quarantine.saved, item.Key) // the ledger forgets ends by itself
		return nil
	}
	read, err := decodeSuspicion(item)
	if err != nil {
		return err
	}
	for _, end := range read.Ends {
		quarantine.saved[item.Key] = end.Ended
		quarantine.add(end)
	}
	for _, trial := range read.trials {
		quarantine.saved[item.Key] = trial.At
	}
	for _, clearance := range read.Clearances {
		quarantine.saved[item.Key] = clearance.At
		quarantine.clear(clearance, "the store has a clearance")
	}
	return nil
}

// ClaimTrial claims the next trial of a request under which a number of engines have ended, so that it runs once in the whole
// fleet. The cause of its error is store.ErrConflict if the trial was claimed before.
func (node *Node) ClaimTrial(ctx context.Context, fingerprint poisonpill.Fingerprint, ends int) (err error) {
	defer func() { err = errors.Annotatef(err, "claiming trial %d of %s", ends, fingerprint) }()
	value, err := json.Marshal(trial{Fingerprint: fingerprint, Process: node.self.Name, At: time.Now()})
	if err != nil {
		return err
	}
	key := node.Records.OwnKey(fmt.Sprintf("%s%s/%s%d", suspicionPrefix, fingerprint, trialName, ends))
	_, _, err = node.Store.Commit(ctx, store.Txn{Conditions: []store.Condition{{Key: key}}, Writes: []store.Write{{Key: key, Value: value}}})
	return err
}

// decodeSuspicion decodes the record of an engine's end, of a clearance or of a trial.
func decodeSuspicion(item store.Item) (read suspicions, err error) {
	defer func() { err = errors.Annotatef(err, "decoding %q", item.Key) }()
	if strings.HasSuffix(item.Key, "/"+clearanceName) {
		read.Clearances = make([]poisonpill.Clearance, 1)
		return read, json.Unmarshal(item.Value, &read.Clearances[0])
	}
	if strings.Contains(item.Key, "/"+trialName) {
		read.trials = make([]trial, 1)
		return read, json.Unmarshal(item.Value, &read.trials[0])
	}
	read.Ends = make([]poisonpill.EngineEnd, 1)
	return read, json.Unmarshal(item.Value, &read.Ends[0])
}

// serveCall serves a call of a peer: it merges suspicions, and passes on calls to the store.
func (node *Node) serveCall(ctx context.Context, request []byte) (response []byte) {
	data, ok := bytes.CutPrefix(request, []byte(suspicionCall))
	if !ok {
		return node.relay.Serve(ctx, request)
	}
	var told suspicions
	if err := json.Unmarshal(data, &told); err != nil {
		node.Log.Warn("suspicions of a member could not be read", telemetry.Err(err))
	}
	node.quarantine.merge(told)
	return []byte(suspicionCall)
}

// greet tells a member that has connected of all engine ends that count.
func (node *Node) greet(ctx context.Context, memberID string) {
	node.quarantine.mutex.Lock()
	known := suspicions{Ends: node.quarantine.ledger.All(time.Now())}
	node.quarantine.mutex.Unlock()
	if len(known.Ends) > 0 {
		node.tell(ctx, []string{memberID}, known)
	}
}

// tell sends suspicions to members. A member that can't be reached reads them from the store, or is told when it connects.
func (node *Node) tell(ctx context.Context, memberIDs []string, known suspicions) {
	message, err := json.Marshal(known)
	if err != nil {
		node.Log.Error("suspicions could not be encoded", telemetry.Err(err))
		return
	}
	message = append([]byte(suspicionCall), message...)
	var group sync.WaitGroup
	for _, memberID := range memberIDs {
		group.Go(func() {
			for range shareAttempts {
				if err := node.tellMember(ctx, memberID, message); err == nil {
					return
				}
			}
		})
	}
	group.Wait()
}

// tellMember makes one attempt to send an encoded message about suspicions to a member.
func (node *Node) tellMember(ctx context.Context, memberID string, message []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if _, err = node.mesh.CallMember(ctx, memberID, message); err != nil {
		node.Log.Info("member not told of suspicions", zap.String("member", memberID), telemetry.Err(err))
	}
	return err
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

// runSharing tells peers of new suspicions until ctx ends.
func (quarantine *quarantine) runSharing(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-quarantine.wakeShare:
			quarantine.share(ctx)
		}
	}
}

// runSaving writes suspicions to the store, a little after they were recorded, until ctx ends.
func (quarantine *quarantine) runSaving(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-quarantine.wakeSave:
		case <-timer.C:
		}
		if next, ok := quarantine.save(ctx); ok {
			timer.Reset(next)
		}
	}
}

// share tells all connected members of the suspicions that are new.
func (quarantine *quarantine) share(ctx context.Context) {
	quarantine.mutex.Lock()
	known := quarantine.unshared
	quarantine.unshared = suspicions{}
	quarantine.mutex.Unlock()
	if len(known.Ends)+len(known.Clearances) > 0 {
		go quarantine.node.tell(ctx, quarantine.node.mesh.Connected(), known) // a peer that does not answer delays no other suspicion
	}
}

// save writes to the store what has waited for saveDelay. ok reports whether there is more to write, after the time next.
func (quarantine *quarantine) save(ctx context.Context) (next time.Duration, ok bool) {
	quarantine.mutex.Lock()
	txn, ends, clearances := quarantine.nextTxn(time.Now())
	waiting := len(quarantine.unsaved)+len(quarantine.clearances) > 0
	quarantine.mutex.Unlock()
	if txn.Entries() == 0 {
		return saveDelay, waiting
	}
	if _, _, err := quarantine.node.Store.Commit(ctx, txn); err != nil {
		quarantine.node.Log.Warn("suspicions not written yet", zap.Int("writes", len(txn.Writes)), telemetry.Err(err))
		return saveRetryDelay, true
	}
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.unsaved = without(quarantine.unsaved, ends)
	quarantine.clearances = without(quarantine.clearances, clearances)
	return 0, len(quarantine.unsaved)+len(quarantine.clearances) > 0
}

// without returns the values that are not among removed.
func without[V comparable](values, removed []V) (rest []V) {
	gone := make(map[V]bool, len(removed))
	for _, value := range removed {
		gone[value] = true
	}
	for _, value := range values {
		if !gone[value] {
			rest = append(rest, value)
		}
	}
	return rest
}

// nextTxn returns the next transaction to write, and what it contains; it is empty if nothing has waited for saveDelay. The
// writes have no conditions: records of the same end are the same, and a later clearance covers an earlier one. The mutex
// must be held.
func (quarantine *quarantine) nextTxn(now time.Time) (txn store.Txn, ends []poisonpill.EngineEnd, clearances []poisonpill.Clearance) {
	for _, clearance := range quarantine.clearances {
		if txn.Entries() < store.MaxTxnEntries {
			value, _ := json.Marshal(clearance) // strings and times only
			txn.Writes = append(txn.Writes, store.Write{Key: quarantine.node.Records.OwnKey(clearanceKey(clearance.Fingerprint)), Value: value})
			clearances = append(clearances, clearance)
		}
	}
	for _, end := range quarantine.unsaved {
		if now.Sub(end.Ended) >= saveDelay && txn.Entries() < store.MaxTxnEntries {
			value, _ := json.Marshal(end) // strings and times only
			txn.Writes = append(txn.Writes, store.Write{Key: quarantine.endKey(end), Value: value})
			ends = append(ends, end)
		}
	}
	return txn, ends, clearances
}
