package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate describes a target from the view of one entry.
type Candidate struct {
	Name                string
	Place               string
	Slots               int           // requests that the target runs at once, as reported by it
	Reported            int           // online requests running and queued at the target, as reported by it
	ReportAge           time.Duration // time since the report was received
	Outstanding         int           // requests of this entry that are in flight to the target
	OutstandingAtReport int           // value of Outstanding when the report was received
	Draining            bool          // the target reported that it is draining
	Healthy             bool          // the target reported that it is healthy
	Retiring            bool          // the VM of the target is to be emptied
	Excluded            bool          // already tried for this request, or suspected
}

// usable reports whether candidate may receive new requests.
func (candidate Candidate) usable() bool {
	return candidate.Healthy && !candidate.Draining && !candidate.Retiring && !candidate.Excluded
}

// load returns the requests at candidate per slot. Requests of other entries are known from the last report only, so they
// count less the older the report is; requests of this entry count in full.
func (candidate Candidate) load(reportHalfLife time.Duration) float64 {
	others := float64(max(0, candidate.Reported-candidate.OutstandingAtReport))
	if reportHalfLife > 0 {
		halfLives := float64(candidate.ReportAge) / float64(reportHalfLife)
		others /= 1 + halfLives
	}
	return (others + float64(candidate.Outstanding)) / float64(max(candidate.Slots, 1))
}

// Request holds the properties of a request that the choice of a target depends on.
type Request struct {
	Places []string // permitted places, nearest first
	Prefix uint64   // hash of the first blocks of the prompt; 0 disables affinity
}

// Chooser is a policy for choosing targets. All loads are requests per slot.
type Chooser struct {
	Samples         int           // random candidates to compare: 1 chooses at random, 0 compares all candidates
	Affinity        bool          // prefer the target that received earlier requests with the same prefix
	AffinityBound   float64       // multiple of the mean load above which affinity is ignored, such as 1.25
	ReportHalfLife  time.Duration // report age at which the reported requests of other entries count as half
	SpillLoad       float64       // load of the target chosen in the nearest place at or above which farther places are considered
	SpillAcceptLoad float64       // load of the target chosen in a farther place below which it receives the request
}

// DefaultChooser is the policy that applies if none is configured.
var DefaultChooser = Chooser{
	Samples:         2,
	Affinity:        true,
	AffinityBound:   1.25,
	ReportHalfLife:  time.Second,
	SpillLoad:       1,
	SpillAcceptLoad: 0.75,
}

// Choose returns the index of the candidate that receives the request, or -1 if no candidate is usable. The nearest place
// with a usable candidate is preferred: a farther place receives the request only if the candidate chosen in the nearest has a
// load of SpillLoad or more, and the one chosen in the farther place has a load below SpillAcceptLoad.
func (chooser Chooser) Choose(random *rand.Rand, request Request, candidates []Candidate) int {
	var buffer [64]int
	nearest := -1
	for _, place := range request.Places {
		usable := buffer[:0]
		for i := range candidates {
			if candidates[i].Place == place && candidates[i].usable() {
				usable = append(usable, i)
			}
		}
		if len(usable) == 0 {
			continue
		}
		chosen := chooser.chooseInPlace(random, request.Prefix, candidates, usable)
		load := candidates[chosen].load(chooser.ReportHalfLife)
		if nearest < 0 {
			if load < chooser.SpillLoad {
				return chosen
			}
			nearest = chosen
			continue
		}
		// A place accepts requests from a nearer place only while it has spare capacity for its own.
		if load < chooser.SpillAcceptLoad {
			return chosen
		}
	}
	return nearest
}

// chooseInPlace returns the index of one of the usable candidates, which belong to one place.
func (chooser Chooser) chooseInPlace(random *rand.Rand, prefixHash uint64, candidates []Candidate, usable []int) int {
	if chooser.Affinity && prefixHash != 0 {
		if chosen := chooser.chooseByAffinity(prefixHash, candidates, usable); chosen >= 0 {
			return chosen
		}
	}
	return chooser.chooseLeastLoaded(random, candidates, usable)
}

// chooseByAffinity returns the candidate with the highest rendezvous weight for prefixHash among those whose load does not
// exceed AffinityBound times the mean load by more than one slot, or -1 if there is none.
func (chooser Chooser) chooseByAffinity(prefixHash uint64, candidates []Candidate, usable []int) int {
	var sum float64
	for _, i := range usable {
		sum += candidates[i].load(chooser.ReportHalfLife)
	}
	bound := chooser.AffinityBound * sum / float64(len(usable))
	best, bestWeight := -1, uint64(0)
	for _, i := range usable {
		slotLoad := 1 / float64(max(candidates[i].Slots, 1))
		if candidates[i].load(chooser.ReportHalfLife) > bound+slotLoad {
			continue
		}
		if weight := rendezvousWeight(prefixHash, candidates[i].Name); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// chooseLeastLoaded returns the least loaded of Samples random candidates. It reorders usable.
func (chooser Chooser) chooseLeastLoaded(random *rand.Rand, candidates []Candidate, usable []int) int {
	count := chooser.Samples
	if count <= 0 || count > len(usable) {
		count = len(usable)
	}
	best, bestLoad := -1, 0.0
	for sampled := range count {
		// This is a partial Fisher-Yates shuffle, which samples without replacement.
		drawn := sampled + random.IntN(len(usable)-sampled)
		usable[sampled], usable[drawn] = usable[drawn], usable[sampled]
		load := candidates[usable[sampled]].load(chooser.ReportHalfLife)
		if best < 0 || load < bestLoad {
			best, bestLoad = usable[sampled], load
		}
	}
	return best
}
