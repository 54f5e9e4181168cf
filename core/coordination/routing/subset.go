package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// weigh returns the rendezvous weight of member for key.
func weigh(key uint64, member string) uint64 {
	mixed := xxhash.Sum64String(member) ^ key
	// The finalizer of MurmurHash3, so that keys that differ in one bit order the members anew.
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return mixed
}

// Subset returns the size members that owner speaks to, by rendezvous hashing: a member that comes or
// goes moves no other.
func Subset(owner string, members []string, size int) []string {
	if len(members) <= size {
		return members
	}
	key := xxhash.Sum64String(owner)
	chosen := append([]string(nil), members...)
	sort.Slice(chosen, func(i, j int) bool {
		left, right := weigh(key, chosen[i]), weigh(key, chosen[j])
		if left != right {
			return left > right
		}
		return chosen[i] < chosen[j]
	})
	return chosen[:size]
}
