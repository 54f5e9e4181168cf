package member

import (
	"time"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
)

const (
	wantedFor  = time.Second            // counts are passed on for that long after somebody missed them
	hearsayFor = 600 * time.Millisecond // counts at second hand hold that long; they come every 200 ms at least
)

// hearsay passes counts on between members that do not reach each other but both reach this one.
type hearsay struct {
	direct map[string][]placement.Counts // by owner, as heard from themselves
	wanted map[uint32]time.Time          // members that somebody does not hear, until then
	second map[string]time.Time          // members heard at second hand, and when
}

// heard takes in a member's own counts; nil forgets them.
func (hearsay *hearsay) heard(owner string, counts []placement.Counts) {
	if hearsay.direct == nil {
		hearsay.direct, hearsay.wanted, hearsay.second = map[string][]placement.Counts{}, map[uint32]time.Time{}, map[string]time.Time{}
	}
	if counts == nil {
		delete(hearsay.direct, owner)
		return
	}
	hearsay.direct[owner] = counts
	delete(hearsay.second, owner)
}

// missed takes in whom a peer does not hear.
func (hearsay *hearsay) missed(now time.Time, members []uint32) {
	for _, member := range members {
		hearsay.wanted[member] = now.Add(wantedFor)
	}
}

// relayed returns the counts that others miss.
func (hearsay *hearsay) relayed(now time.Time) (relayed []Relayed) {
	for owner, counts := range hearsay.direct {
		if until, ok := hearsay.wanted[digestOf(owner)]; ok && now.Before(until) {
			relayed = append(relayed, Relayed{Member: digestOf(owner), Counts: counts})
		}
	}
	return relayed
}

// take returns the member that relayed counts are of, where this process does not hear it itself.
func (hearsay *hearsay) take(now time.Time, members map[string]fleet.Member, relayed Relayed) (owner string, ok bool) {
	for owner, member := range members {
		if digestOf(owner) != relayed.Member || member.Role == fleet.ReporterRole {
			continue
		}
		if _, direct := hearsay.direct[owner]; direct {
			return "", false
		}
		hearsay.second[owner] = now
		return owner, true
	}
	return "", false
}

// expired returns the members of which nothing was heard at second hand lately.
func (hearsay *hearsay) expired(now time.Time) (owners []string) {
	for owner, at := range hearsay.second {
		if now.Sub(at) > hearsayFor {
			delete(hearsay.second, owner)
			owners = append(owners, owner)
		}
	}
	return owners
}
