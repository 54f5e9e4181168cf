package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const (
	// TrialLifetime is the time in which a trial has ended an engine or cleared the request, unless its process was lost.
	TrialLifetime = 15 * time.Second
	// maxClaims bounds how often one trial is claimed, so that a request whose engine ends are not seen is tried less.
	maxClaims = 3
	// trialClaimLimit bounds the wait of a caller for the claim, which takes the store 4 ms.
	trialClaimLimit = 250 * time.Millisecond
	trialClaimRetry = time.Second // after the store did not answer a claim
)

// ErrTrialSpent is the cause of the error of a claim of a trial that was claimed maxClaims times and has shown nothing.
const ErrTrialSpent = errors.ConstError("the trial was claimed before, and nothing came of it")

// trial is the record that a process runs a quarantined request once.
type trial struct {
	Fingerprint poisonpill.Fingerprint `json:"fingerprint"`
	Process     string                 `json:"process"` // member ID
	At          time.Time              `json:"at"`
	Claims      int                    `json:"claims,omitempty"` // how often the trial has been claimed
}

// ClaimTrial claims a trial of a quarantined request, given by its number, so that it runs once in the whole fleet. The cause of its
// error is store.ErrConflict if another process has claimed the trial, and ErrTrialSpent if it can't be claimed any longer. A claim older
// than TrialLifetime is claimed again, up to maxClaims times.
func (node *Node) ClaimTrial(ctx context.Context, fingerprint poisonpill.Fingerprint, number int) (err error) {
	defer func() { err = errors.Annotatef(err, "claiming trial %d of %s", number, fingerprint) }()
	key := node.Records.OwnKey(fmt.Sprintf("%s%s/%s%d", suspicionPrefix, fingerprint, trialName, number))
	claim := func(revision int64, claims int) (current []store.Item, err error) {
		value, err := json.Marshal(trial{Fingerprint: fingerprint, Process: node.self.ID(), At: time.Now(), Claims: claims})
		if err != nil {
			return nil, err
		}
		_, current, err = node.Store.Commit(ctx, store.Txn{Conditions: []store.Condition{{Key: key, Revision: revision}}, Writes: []store.Write{{Key: key, Value: value}}})
		return current, err
	}
	current, err := claim(0, 1)
	if !errors.Is(err, store.ErrConflict) || len(current) != 1 {
		return err
	}
	var known trial
	switch decodeErr := json.Unmarshal(current[0].Value, &known); {
	case decodeErr != nil:
		return decodeErr
	case known.Process == node.self.ID() && time.Since(known.At) <= TrialLifetime:
		return nil // the response to an earlier claim was lost
	case time.Since(known.At) > TrialLifetime && known.Claims < maxClaims:
		_, err = claim(current[0].Revision, known.Claims+1)
	case time.Since(known.At) > TrialLifetime:
		return ErrTrialSpent
	}
	return err
}

// heldTrial is the latest trial of a request that this process has claimed, or tried to.
type heldTrial struct {
	number  int
	spent   int       // trials before it of which nothing came
	free    bool      // it belongs to this process, and no copy of the request uses it
	retryAt time.Time // it may be claimed again from this time on
}

// TakeTrial claims the next trial of a quarantine for one run of a request of this process that ReturnTrial ends. It reports false if none
// is due, or if another request has it, here or at another process.
func (node *Node) TakeTrial(ctx context.Context, requestID string, found poisonpill.Quarantine) (taken bool) {
	if !found.Due(time.Now()) {
		return false
	}
	quarantine, fingerprint := &node.quarantine, found.Fingerprint
	quarantine.mutex.Lock()
	held := quarantine.trials[fingerprint]
	if held != nil && held.number == found.TrialNumber && (held.free || time.Now().Before(held.retryAt)) {
		taken, held.free = held.free, false
		quarantine.mutex.Unlock()
		return taken
	}
	if len(quarantine.trials) >= maxSuspects {
		clear(quarantine.trials)
	}
	spent := 0
	if held != nil && held.number == found.TrialNumber {
		spent = held.spent
	}
	if spent >= found.Trials {
		quarantine.mutex.Unlock()
		return false
	}
	held = &heldTrial{number: found.TrialNumber, spent: spent, retryAt: time.Now().Add(TrialLifetime)}
	quarantine.trials[fingerprint] = held
	quarantine.mutex.Unlock()

	ctx, cancel := context.WithTimeout(ctx, trialClaimLimit)
	defer cancel()
	err := node.ClaimTrial(ctx, fingerprint, found.TrialNumber+spent)
	node.Log.Info("trial claimed", zap.String("request", requestID), zap.Stringer("fingerprint", fingerprint), zap.String("part", found.Part), zap.Int("ends", found.TrialNumber), telemetry.Err(err))
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	switch {
	case errors.Is(err, ErrTrialSpent):
		held.spent, held.retryAt = held.spent+1, time.Now()
	case err != nil && !errors.Is(err, store.ErrConflict):
		held.retryAt = time.Now().Add(trialClaimRetry)
	}
	return err == nil
}

// ReturnTrial ends the use of a trial that TakeTrial returned. If the request reached no engine, the next copy at this process takes
// the trial.
func (node *Node) ReturnTrial(fingerprint poisonpill.Fingerprint, number int, reachedEngine bool) {
	quarantine := &node.quarantine
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if held := quarantine.trials[fingerprint]; held != nil && held.number == number {
		held.free = !reachedEngine
	}
}
