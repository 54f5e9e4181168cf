package worker

import (
	"time"

	"github.com/juju/errors"

	"cowslipway/io/store"
)

const (
	baseClaimDelay = time.Second // after a refused claim; the view shows within that time who was faster
	maxClaimDelay  = 30 * time.Second
)

// refusedClaim tells when a job may be claimed again at an epoch at which the store has refused that. It does so again and again where
// another writer has left an ownership record that can't be read, and all processes together may make few writes.
type refusedClaim struct {
	epoch    int64 // of the job in the view
	failures int   // in a row
	after    time.Time
}

// pauses reports whether the job is not to be claimed yet.
func (claim refusedClaim) pauses(now time.Time) bool { return now.Before(claim.after) }

// recordClaim records the outcome of a claim of a job at an epoch.
func (worker *Worker) recordClaim(id string, epoch int64, cause error) {
	if !errors.Is(cause, store.ErrConflict) {
		delete(worker.refusedClaims, id)
		return
	}
	claim := refusedClaim{epoch: epoch, failures: worker.refusedClaims[id].failures + 1}
	claim.after = time.Now().Add(min(maxClaimDelay, baseClaimDelay<<min(claim.failures-1, 8)))
	worker.refusedClaims[id] = claim
}
