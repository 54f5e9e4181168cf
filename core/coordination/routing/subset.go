package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// rendezvousWeight returns the weight of member for key in rendezvous hashing.
func rendezvousWeight(key uint64, member string) uint64 {
	mixed := xxhash.Sum64String(member) ^ key
	// Without the finalizer of MurmurHash3, keys that differ in few bits would order the members alike.
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return mixed
}

// Subset returns at most size members for owner to connect to. It uses rendezvous hashing, so adding or removing a member
// changes at most one member of each subset.
func Subset(owner string, members []string, size int) []string {
	if len(members) <= size {
		return members
	}
	key := xxhash.Sum64String(owner)
	chosen := append([]string(nil), members...)
	sort.Slice(chosen, func(i, j int) bool {
		left, right := rendezvousWeight(key, chosen[i]), rendezvousWeight(key, chosen[j])
		if left != right {
			return left > right
		}
		return chosen[i] < chosen[j]
	})
	return chosen[:size]
}
