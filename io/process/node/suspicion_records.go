package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const (
	suspicionPrefix = "suspicions/"
	clearanceName   = "cleared" // start of the last part of the key of a clearance
	trialName       = "trial-"  // start of the last part of the key of a trial

	// saveDelay is how long an engine's end waits before it is written to the store. Most requests are not the cause, are
	// served by the next engine within that time, and then cost no write.
	saveDelay      = time.Second
	saveRetryDelay = 500 * time.Millisecond
	// peerSaveDelay is the shortest time after which a process writes an end to the store in place of the peer that saw it, which
	// does so after saveDelay; the record is in all views within 1.6 s. The longest time is twice that.
	peerSaveDelay = 4 * time.Second
	// sweepAfter is the age of the records of suspicions that are removed from the store: clocks of VMs differ by up to 5 s.
	sweepAfter = poisonpill.EndLifetime + 10*time.Second
	// maxClockDifference is twice the difference of the clocks of two VMs.
	maxClockDifference = 10 * time.Second
)

// endKey returns the key of the record of an engine's end. Each run has a key of its own: the engine may have started again
// since the incarnation that the sender believed in.
func (quarantine *quarantine) endKey(end poisonpill.EngineEnd) string {
	run := fmt.Sprintf("%s %s %s %d", end.Engine, end.Process, end.Request, end.Sent.UnixNano())
	return quarantine.node.Records.OwnKey(fmt.Sprintf("%s%s/%016x", suspicionPrefix, end.Fingerprint, xxhash.Sum64String(run)))
}

// clearanceKey returns the name of the own record of a clearance. Those for different builds do not replace each other.
func clearanceKey(clearance poisonpill.Clearance) (name string) {
	name = suspicionPrefix + clearance.Fingerprint.String() + "/" + clearanceName
	if clearance.Build != "" {
		name += fmt.Sprintf("-%016x", xxhash.Sum64String(clearance.Build))
	}
	return name
}

// decodeSuspicion decodes the record of an engine's end, of a clearance or of a trial. What is said to happen later than clocks differ is
// an error: it would count for ever.
func decodeSuspicion(now time.Time, item store.Item) (read suspicionSet, err error) {
	defer func() {
		if err == nil && read.isLaterThan(now.Add(maxClockDifference)) {
			err = errors.New("its time is in the future")
		}
		err = errors.Annotatef(err, "decoding %q", item.Key)
	}()
	if strings.Contains(item.Key, "/"+clearanceName) {
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

// isLaterThan reports whether a time in a set is later than limit.
func (set suspicionSet) isLaterThan(limit time.Time) bool {
	return slices.ContainsFunc(set.Ends, func(end poisonpill.EngineEnd) bool { return end.Ended.After(limit) || end.Sent.After(limit) }) ||
		slices.ContainsFunc(set.Clearances, func(clearance poisonpill.Clearance) bool { return clearance.At.After(limit) }) ||
		slices.ContainsFunc(set.trials, func(trial trial) bool { return trial.At.After(limit) })
}

// applyRecord applies a changed record below suspicionPrefix.
func (quarantine *quarantine) applyRecord(item store.Item) (err error) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if item.Deleted {
		delete(quarantine.saved, item.Key) // the ledger forgets ends by itself
		return nil
	}
	read, err := decodeSuspicion(time.Now(), item)
	if err != nil {
		return err
	}
	for _, end := range read.Ends {
		quarantine.saved[item.Key] = end.Ended
		quarantine.vouchAgainst(end, true)
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

// save writes to the store what has waited for saveDelay. ok reports whether there is more to write, after the time next.
func (quarantine *quarantine) save(ctx context.Context) (next time.Duration, ok bool) {
	quarantine.mutex.Lock()
	txn, ends, clearances := quarantine.nextTxn(time.Now())
	waiting := len(quarantine.unsaved)+len(quarantine.told)+len(quarantine.clearances) > 0
	quarantine.saving = quarantine.saving || txn.Entries() > 0
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
	quarantine.saving = false
	quarantine.unsaved = without(quarantine.unsaved, ends)
	written := make(map[poisonpill.EngineEnd]bool, len(ends))
	for _, end := range ends {
		written[end] = true
	}
	quarantine.told = slices.DeleteFunc(quarantine.told, func(told toldEnd) bool { return written[told.EngineEnd] })
	quarantine.clearances = without(quarantine.clearances, clearances)
	return 0, len(quarantine.unsaved)+len(quarantine.told)+len(quarantine.clearances) > 0
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
			txn.Writes = append(txn.Writes, store.Write{Key: quarantine.node.Records.OwnKey(clearanceKey(clearance)), Value: value})
			clearances = append(clearances, clearance)
		}
	}
	add := func(end poisonpill.EngineEnd) {
		value, _ := json.Marshal(end) // strings and times only
		txn.Writes = append(txn.Writes, store.Write{Key: quarantine.endKey(end), Value: value})
		ends = append(ends, end)
	}
	for _, end := range quarantine.unsaved {
		if now.Sub(end.Ended) >= saveDelay && txn.Entries() < store.MaxTxnEntries {
			add(end)
		}
	}
	quarantine.told = slices.DeleteFunc(quarantine.told, func(told toldEnd) bool {
		_, saved := quarantine.saved[quarantine.endKey(told.EngineEnd)]
		return saved
	})
	for _, told := range quarantine.told {
		if !now.Before(told.due) && txn.Entries() < store.MaxTxnEntries {
			add(told.EngineEnd)
		}
	}
	return txn, ends, clearances
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
