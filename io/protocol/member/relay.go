package member

import (
	"time"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
)

const (
	relayDuration    = time.Second            // load counts are relayed for this long after a peer reported their sender unreachable
	relayedCountsTTL = 600 * time.Millisecond // relayed load counts are dropped after this time; they arrive at least every 200 ms
)

// countsRelay relays load counts between members that cannot reach each other but can both reach this process.
type countsRelay struct {
	direct         map[string][]placement.Counts // counts received from the members themselves, by member ID
	relayedUntil   map[uint32]time.Time          // end of relaying, by digest of a member that a peer cannot reach
	lastRelayedFor map[string]time.Time          // time of the latest relayed counts, by ID of the member that they belong to
}

// setDirect stores the load counts that a member sent itself; nil removes them.
func (relay *countsRelay) setDirect(memberID string, counts []placement.Counts) {
	if relay.direct == nil {
		relay.direct, relay.relayedUntil, relay.lastRelayedFor = map[string][]placement.Counts{}, map[uint32]time.Time{}, map[string]time.Time{}
	}
	if counts == nil {
		delete(relay.direct, memberID)
		return
	}
	relay.direct[memberID] = counts
	delete(relay.lastRelayedFor, memberID)
}

// setUnreachable starts or extends relaying for the members, given by their digests, that a peer cannot reach.
func (relay *countsRelay) setUnreachable(now time.Time, digests []uint32) {
	for _, digest := range digests {
		relay.relayedUntil[digest] = now.Add(relayDuration)
	}
}

// pending returns the load counts to relay to the peers.
func (relay *countsRelay) pending(now time.Time) (relayed []RelayedCounts) {
	for memberID, counts := range relay.direct {
		if until, ok := relay.relayedUntil[digestOf(memberID)]; ok && now.Before(until) {
			relayed = append(relayed, RelayedCounts{Member: digestOf(memberID), Counts: counts})
		}
	}
	return relayed
}

// accept returns the ID of the member that relayed load counts belong to. It rejects the counts of reporters, of unknown
// members and of members that send their counts to this process themselves.
func (relay *countsRelay) accept(now time.Time, members map[string]fleet.Member, relayed RelayedCounts) (memberID string, ok bool) {
	for memberID, member := range members {
		if digestOf(memberID) != relayed.Member || member.Role == fleet.ReporterRole {
			continue
		}
		if _, direct := relay.direct[memberID]; direct {
			return "", false
		}
		relay.lastRelayedFor[memberID] = now
		return memberID, true
	}
	return "", false
}

// removeExpired removes the members whose relayed load counts are older than relayedCountsTTL and returns their IDs, so
// that each is returned once.
func (relay *countsRelay) removeExpired(now time.Time) (memberIDs []string) {
	for memberID, at := range relay.lastRelayedFor {
		if now.Sub(at) > relayedCountsTTL {
			delete(relay.lastRelayedFor, memberID)
			memberIDs = append(memberIDs, memberID)
		}
	}
	return memberIDs
}
