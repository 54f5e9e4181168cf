package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAffinityTokens is the number of shared prompt tokens from which on a request prefers the engines that are likely to have
	// cached them. Fewer are read again in less time than a bad distribution of the load costs.
	minAffinityTokens = 1024
	// affinityEngines is the number of engines that the requests with one shared prefix prefer. With one, there is no other while it
	// is full; more of them would cache the same prefix in memory that other prefixes need.
	affinityEngines = 2
)

// Prefix identifies the leading parts of a prompt that other requests have too, and that an engine may have cached.
type Prefix struct {
	Digest uint64
	Tokens int
}

// pickCached returns one of the affinityEngines that come first for the request's shared prefix: the first with a free slot, else
// the first where a batch item can be preempted, which costs less than reading the prefix anew at an engine with a free slot. All
// processes compute the same order, without knowing what the engines have cached: each prefix has few engines and each engine few
// prefixes. It returns nil if none of them can run the request at once, or if the prefix is too short to matter: then the request
// goes by load alone.
func (pool *Pool) pickCached(now time.Time, request Request, free, preemptible func(*engine) bool) (chosen *engine) {
	if request.Prefix.Tokens < minAffinityTokens {
		return nil
	}
	type ranked struct {
		*engine
		score uint64
	}
	var first [affinityEngines]ranked // the highest scores, in descending order
	for _, candidate := range pool.enginesByService[request.Service] {
		if !pool.eligible(now, candidate, request, healthy) {
			continue
		}
		next := ranked{candidate, rendezvousScore(request.Prefix.Digest, candidate.digest)}
		for position := range first {
			if first[position].engine == nil || next.score > first[position].score {
				first[position], next = next, first[position]
			}
			if next.engine == nil {
				break
			}
		}
	}
	for _, fits := range []func(*engine) bool{free, preemptible} {
		for _, candidate := range first {
			if candidate.engine != nil && fits(candidate.engine) {
				return candidate.engine
			}
		}
	}
	return nil
}

// rendezvousScore returns the score of an engine for a prefix in rendezvous hashing.
func rendezvousScore(prefix, engine uint64) uint64 {
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:8], prefix)
	binary.BigEndian.PutUint64(pair[8:], engine)
	return xxhash.Sum64(pair[:])
}
