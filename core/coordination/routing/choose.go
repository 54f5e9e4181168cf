package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate is one target as an entry sees it.
type Candidate struct {
	Name                string
	Place               string
	Slots               int           // as reported
	Reported            int           // online work running and queued, as reported
	ReportAge           time.Duration // since the report was received
	Outstanding         int           // this entry's own work on the target, in flight now
	OutstandingAtReport int           // this entry's own work when the report was received
	Draining            bool
	Healthy             bool
	Retiring            bool
	Excluded            bool // tried already, or suspected
}

// usable reports whether candidate may get new work.
func (candidate Candidate) usable() bool {
	return candidate.Healthy && !candidate.Draining && !candidate.Retiring && !candidate.Excluded
}

// load returns the work on candidate as a share of its slots: what others sent as of the report, less the
// older it is, and what this entry has sent as of now.
func (candidate Candidate) load(reportHalfLife time.Duration) float64 {
	others := float64(max(0, candidate.Reported-candidate.OutstandingAtReport))
	if reportHalfLife > 0 {
		halves := float64(candidate.ReportAge) / float64(reportHalfLife)
		others /= 1 + halves
	}
	return (others + float64(candidate.Outstanding)) / float64(max(candidate.Slots, 1))
}

// Request is what the choice of a target depends on.
type Request struct {
	Places []string // permitted, nearest first
	Prefix uint64   // hash of the prompt's first blocks; 0 sets no affinity
}

// Chooser is a policy for choosing targets.
type Chooser struct {
	Samples         int           // random candidates compared: 1 is random, 0 compares all
	Affinity        bool          // prefer the target that saw the same prefix
	AffinityBound   float64       // load over the mean at which affinity gives way, such as 1.25
	ReportHalfLife  time.Duration // after which a report counts half
	SpillLoad       float64       // load of the nearest place at which the next is looked at
	SpillAcceptLoad float64       // load of the next place up to which it takes what spills over
}

// DefaultChooser is the policy in use where the settings name no other.
var DefaultChooser = Chooser{
	Samples:         2,
	Affinity:        true,
	AffinityBound:   1.25,
	ReportHalfLife:  time.Second,
	SpillLoad:       1,
	SpillAcceptLoad: 0.75,
}

// Choose returns the index of the candidate that gets the request, or -1 where none may.
func (chooser Chooser) Choose(random *rand.Rand, request Request, candidates []Candidate) int {
	var buffer [64]int
	first := -1
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
		chosen := chooser.within(random, request.Prefix, candidates, usable)
		load := candidates[chosen].load(chooser.ReportHalfLife)
		if first < 0 {
			if load < chooser.SpillLoad {
				return chosen
			}
			first = chosen
			continue
		}
		// A neighbour takes only what leaves it room for its own work.
		if load < chooser.SpillAcceptLoad {
			return chosen
		}
	}
	return first
}

// within chooses among the usable candidates of one place.
func (chooser Chooser) within(random *rand.Rand, prefix uint64, candidates []Candidate, usable []int) int {
	if chooser.Affinity && prefix != 0 {
		if chosen := chooser.affine(prefix, candidates, usable); chosen >= 0 {
			return chosen
		}
	}
	return chooser.leastLoaded(random, candidates, usable)
}

// affine walks the candidates in rendezvous order and returns the first that is not over the bound.
func (chooser Chooser) affine(prefix uint64, candidates []Candidate, usable []int) int {
	var sum float64
	for _, i := range usable {
		sum += candidates[i].load(chooser.ReportHalfLife)
	}
	bound := chooser.AffinityBound * sum / float64(len(usable))
	best, bestWeight := -1, uint64(0)
	for _, i := range usable {
		slot := 1 / float64(max(candidates[i].Slots, 1))
		if candidates[i].load(chooser.ReportHalfLife) > bound+slot {
			continue
		}
		if weight := weigh(prefix, candidates[i].Name); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

func (chooser Chooser) leastLoaded(random *rand.Rand, candidates []Candidate, usable []int) int {
	count := chooser.Samples
	if count <= 0 || count > len(usable) {
		count = len(usable)
	}
	best, bestLoad := -1, 0.0
	for picked := range count {
		// A partial Fisher-Yates shuffle draws without replacement.
		other := picked + random.IntN(len(usable)-picked)
		usable[picked], usable[other] = usable[other], usable[picked]
		load := candidates[usable[picked]].load(chooser.ReportHalfLife)
		if best < 0 || load < bestLoad {
			best, bestLoad = usable[picked], load
		}
	}
	return best
}
