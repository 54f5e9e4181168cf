package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/state/fleet"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
)

const (
	// workerLeaseTTL is also how long the batch jobs of a crashed worker wait for another worker.
	workerLeaseTTL = 3 * time.Second
	// renewalFraction is the part of its TTL after which a lease is renewed. One renewal may fail and the next be relayed
	// through a peer before the lease ends.
	renewalFraction = 0.4
	// defaultLeaseTTL applies to the roles other than the worker; these roles have many processes. Nothing waits for their
	// leases to end: peers notice a lost connection sooner.
	defaultLeaseTTL        = 15 * time.Second
	registrationRetryDelay = 300 * time.Millisecond
	// maxRegistrationTries bounds the writes under one lease. Few processes write the record: this one, and the late writes of earlier ones.
	maxRegistrationTries = 4
)

// keepRegistered writes the member record under a lease and renews the lease until ctx ends.
func (node *Node) keepRegistered(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		pause := time.Duration(float64(node.leaseTTL()) * renewalFraction)
		var err error
		begun := time.Now()
		if written {
			err = node.Store.KeepLease(ctx, node.currentLease())
		} else {
			err = node.writeRegistration(ctx)
		}
		switch {
		case errors.Is(err, store.ErrNoLease):
			node.Log.Warn("lease ended")
			written, pause = false, 0
		case err != nil:
			pause = registrationRetryDelay
			if !written {
				node.Log.Warn("not registered yet", zap.Int64("lease", node.currentLease()), telemetry.Err(err))
			}
		default:
			written = true
			node.leaseRenewedAt.Store(time.Now().UnixNano())
			node.accountLimits.register(begun.Add(node.leaseTTL()))
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-node.reregister:
			written = false
		case <-timer.C:
		}
		timer.Stop()
	}
}

// leaseTTL returns the TTL of the lease for the role of this process.
func (node *Node) leaseTTL() time.Duration {
	if node.Role == fleet.WorkerRole {
		return workerLeaseTTL
	}
	return defaultLeaseTTL
}

// currentLease returns the lease of the member record, or 0 if none has been granted.
func (node *Node) currentLease() int64 {
	node.leaseMutex.Lock()
	defer node.leaseMutex.Unlock()
	return node.lease
}

// writeRegistration writes the member record under a new lease, on condition that the record is still the one that is known. A write whose
// response is lost may be executed seconds later. It must not replace a later one, whose lease is the one that is renewed.
func (node *Node) writeRegistration(ctx context.Context) (err error) {
	node.leaseMutex.Lock()
	node.registeredAt = time.Time{}
	node.leaseMutex.Unlock()
	lease, err := node.Store.GrantLease(ctx, node.leaseTTL())
	if err != nil {
		return err
	}
	node.leaseMutex.Lock()
	node.lease = lease
	self := node.self
	self.Leaving = node.leaving
	node.leaseMutex.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	node.registrations.Add(1)
	key := node.Records.OwnKey(memberPrefix + self.Name)
	for range maxRegistrationTries {
		revision, current, commitErr := node.Store.Commit(ctx, store.Txn{
			Conditions: []store.Condition{{Key: key, Revision: node.recordRevision}},
			Writes:     []store.Write{{Key: key, Value: value, Lease: lease}},
		})
		if err = commitErr; err == nil {
			node.recordRevision = revision
		}
		if !errors.Is(err, store.ErrConflict) {
			break
		}
		node.recordRevision = revisionOf(key, current)
		node.Log.Info("registration conflicts with a record", zap.String("owner", self.ID()), zap.Int64("lease", lease), zap.Int64("revision", node.recordRevision))
	}
	if err != nil {
		return err
	}
	node.leaseMutex.Lock()
	node.registeredAt = time.Now()
	node.leaseMutex.Unlock()
	node.Log.Info("registered", zap.String("owner", self.ID()), zap.Int64("lease", lease), zap.Bool("leaving", self.Leaving))
	return nil
}

// revisionOf returns the revision of the record under key among items, or 0 if there is none.
func revisionOf(key string, items []store.Item) (revision int64) {
	for _, item := range items {
		if item.Key == key && !item.Deleted {
			return item.Revision
		}
	}
	return 0
}

// verifyRegistration requests that the member record be written again if a view of the store that is newer than the last registration lacks
// it, or has it under a lease that this process does not renew.
func (node *Node) verifyRegistration(asOf time.Time) {
	storedLease, found := node.directory.ownLease()
	node.leaseMutex.Lock()
	defer node.leaseMutex.Unlock()
	if node.registeredAt.IsZero() || !asOf.After(node.registeredAt) || found && (storedLease == 0 || storedLease == node.lease) {
		return
	}
	node.registeredAt = time.Time{}
	node.Log.Warn("member record lost", zap.Int64("lease", node.lease), zap.Int64("stored_lease", storedLease), zap.Bool("found", found))
	node.requestRegistration()
}

// AnnounceLeaving makes the member record say that this process is about to stop.
func (node *Node) AnnounceLeaving() {
	node.leaseMutex.Lock()
	node.leaving = true
	node.leaseMutex.Unlock()
	node.requestRegistration()
}

// Deregister ends the lease and so removes the member record at once, rather than when the lease expires.
func (node *Node) Deregister(ctx context.Context) {
	if lease := node.currentLease(); lease != 0 {
		if err := node.Store.RevokeLease(ctx, lease); err != nil {
			node.Log.Warn("lease could not be ended", telemetry.Err(err))
		}
	}
}

// requestRegistration makes keepRegistered write the member record again.
func (node *Node) requestRegistration() {
	select {
	case node.reregister <- struct{}{}:
	default: // already requested
	}
}
