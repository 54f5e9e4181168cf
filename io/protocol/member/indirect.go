package member

import (
	"time"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
)

const (
	wantedFor   = time.Second            // counts are passed on for that long after somebody missed them
	indirectFor = 600 * time.Millisecond // counts at second hand hold that long; they come every 200 ms at least
)

// indirect passes counts on between members that do not reach each other but both reach this one.
type indirect struct {
	direct map[string][]placement.Counts // by owner, as heard from themselves
	wanted map[uint32]time.Time          // members that somebody does not hear, until then
	second map[string]time.Time          // members heard at second hand, and when
}

// heard takes in a member's own counts; nil forgets them.
func (indirect *indirect) heard(owner string, counts []placement.Counts) {
	if indirect.direct == nil {
		indirect.direct, indirect.wanted, indirect.second = map[string][]placement.Counts{}, map[uint32]time.Time{}, map[string]time.Time{}
	}
	if counts == nil {
		delete(indirect.direct, owner)
		return
	}
	indirect.direct[owner] = counts
	delete(indirect.second, owner)
}

// missed takes in whom a peer does not hear.
func (indirect *indirect) missed(now time.Time, members []uint32) {
	for _, member := range members {
		indirect.wanted[member] = now.Add(wantedFor)
	}
}

// relayed returns the counts that others miss.
func (indirect *indirect) relayed(now time.Time) (relayed []RelayedCounts) {
	for owner, counts := range indirect.direct {
		if until, ok := indirect.wanted[digestOf(owner)]; ok && now.Before(until) {
			relayed = append(relayed, RelayedCounts{Member: digestOf(owner), Counts: counts})
		}
	}
	return relayed
}

// take returns the member that relayed counts are of, where this process does not hear it itself.
func (indirect *indirect) take(now time.Time, members map[string]fleet.Member, relayed RelayedCounts) (owner string, ok bool) {
	for owner, member := range members {
		if digestOf(owner) != relayed.Member || member.Role == fleet.ReporterRole {
			continue
		}
		if _, direct := indirect.direct[owner]; direct {
			return "", false
		}
		indirect.second[owner] = now
		return owner, true
	}
	return "", false
}

// expired returns the members of which nothing was heard at second hand lately.
func (indirect *indirect) expired(now time.Time) (owners []string) {
	for owner, at := range indirect.second {
		if now.Sub(at) > indirectFor {
			delete(indirect.second, owner)
			owners = append(owners, owner)
		}
	}
	return owners
}
