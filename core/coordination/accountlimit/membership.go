package accountlimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxViewAge is the age of the view of the member list from which on an ingress neither grants tokens nor uses its allowance. One that
	// becomes owner waits as long before it grants: whoever was the owner before has noticed, or has stopped.
	maxViewAge = 3 * time.Second
	// maxHistory bounds the member lists that are kept. A process that has forgotten since when it is owner grants less at first.
	maxHistory = 64
)

// memberList is the list of the ingresses as it was from a time on.
type memberList struct {
	from   time.Time
	names  []string // of VMs, sorted: a restarted process owns what it owned before
	hashes []uint64 // of the names
}

// membership is what an ingress has seen of the member list, oldest first.
type membership struct {
	lists   []memberList
	changes int // of the list, for those who cache what follows from it
}

// set records the names of the ingresses from now on.
func (membership *membership) set(now time.Time, names []string) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if count := len(membership.lists); count > 0 && slices.Equal(membership.lists[count-1].names, names) {
		return
	}
	list := memberList{from: now, names: names}
	for _, name := range names {
		list.hashes = append(list.hashes, xxhash.Sum64String(name))
	}
	if len(membership.lists) == maxHistory {
		membership.lists = slices.Delete(membership.lists, 0, 1)
	}
	membership.lists = append(membership.lists, list)
	membership.changes++
}

// owner returns the owner of a part of an account's limit: the name with the highest rank (rendezvous hashing) that owns no part before it.
func (list memberList) owner(account string, shard int) (name string) {
	key := xxhash.Sum64String(account)
	var taken [maxShards]int // indexes of the owners of the parts before, in the order of the parts
	for part := range min(shard+1, maxShards) {
		best, highest := -1, uint64(0)
		for index, hash := range list.hashes {
			rank := mix(hash ^ mix(key+uint64(part))) //nolint:gosec // a part is not negative
			if (best < 0 || rank > highest) && (part >= len(list.names) || !slices.Contains(taken[:part], index)) {
				best, highest = index, rank
			}
		}
		if best < 0 {
			return ""
		}
		taken[part], name = best, list.names[best]
	}
	return name
}

// mix spreads the bits of value (the finalizer of SplitMix64).
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// owner returns the present owner of a part of an account's limit.
func (membership *membership) owner(account string, shard int) (name string) {
	if len(membership.lists) == 0 {
		return ""
	}
	return membership.lists[len(membership.lists)-1].owner(account, shard)
}

// ownedSince returns since when a member has been the owner of a part of an account's limit without a break.
func (membership *membership) ownedSince(self, account string, shard int) (since time.Time, ok bool) {
	for _, list := range slices.Backward(membership.lists) {
		if list.owner(account, shard) != self {
			break
		}
		since, ok = list.from, true
	}
	return since, ok
}

// listedSince returns since when a member has been in the list without a break.
func (membership *membership) listedSince(self string) (since time.Time, ok bool) {
	for _, list := range slices.Backward(membership.lists) {
		if _, listed := slices.BinarySearch(list.names, self); !listed {
			break
		}
		since, ok = list.from, true
	}
	return since, ok
}

// count returns how many members have been in the list at any time since the given one.
func (membership *membership) count(since time.Time) (count int) {
	names := map[string]bool{}
	for index, list := range slices.Backward(membership.lists) {
		if index == len(membership.lists)-1 && !list.from.After(since) {
			return len(list.names)
		}
		for _, name := range list.names {
			names[name] = true
		}
		if !list.from.After(since) {
			break
		}
	}
	return len(names)
}
