package cost

import (
	"math"
	"math/bits"
)

const (
	buckets          = 64  // of a distribution; the last one begins at 2^15.75 events
	bucketsPerOctave = 4   // so that an estimate is within 10% of what was seen
	memoryRuns       = 256 // runs from which on a distribution forgets half of what it knows
	enoughRuns       = 4   // runs from which on a size class has an estimate of its own
	maxKinds         = 512 // kinds of requests with their size classes; those beyond have no estimate
)

// Kinds holds how many events requests of each kind had. The zero value is ready for use.
type Kinds struct {
	distributions map[identifier]*distribution
}

// Output is the expected number of events of a request.
type Output struct {
	Mean  float64
	Upper float64 // nine of ten requests have no more
	Runs  float64 // runs that this is known from; 0 means that nothing is known
}

// identifier identifies requests of one kind that declare outputs of about one size.
type identifier struct {
	kind      string
	sizeClass int // -1 for all sizes
}

// distribution counts runs by the logarithm of their events.
type distribution struct {
	counts [buckets]float32
	total  float64
}

// Record adds a run that ended with all its events. declared is the largest output that the request declared, 0 if it declared none.
func (kinds *Kinds) Record(kind string, declared, events int) {
	if events <= 0 {
		return
	}
	for _, class := range [...]int{-1, sizeClass(declared)} {
		key := identifier{kind, class}
		if kinds.distributions == nil {
			kinds.distributions = map[identifier]*distribution{}
		}
		known := kinds.distributions[key]
		if known == nil {
			if len(kinds.distributions) >= maxKinds {
				continue
			}
			known = &distribution{}
			kinds.distributions[key] = known
		}
		known.add(events)
	}
}

// Expect returns the expected output of a request of a kind that declares the given largest output and has had so many events already.
func (kinds *Kinds) Expect(kind string, declared, had int) (output Output) {
	known := kinds.distributions[identifier{kind, sizeClass(declared)}]
	if known == nil || known.total < enoughRuns {
		known = kinds.distributions[identifier{kind, -1}]
	}
	if known == nil {
		return Output{}
	}
	return known.beyond(had)
}

// sizeClass returns the class of a declared size: sizes of one class differ by less than 2.
func sizeClass(declared int) (class int) { return bits.Len(uint(max(0, declared))) }

// add counts a run.
func (distribution *distribution) add(events int) {
	if distribution.total >= memoryRuns {
		for index := range distribution.counts {
			distribution.counts[index] /= 2
		}
		distribution.total /= 2
	}
	distribution.counts[min(buckets-1, int(bucketsPerOctave*math.Log2(float64(events))))]++
	distribution.total++
}

// beyond returns the events still to come of a run that has had some: only runs that were longer say something of it.
func (distribution *distribution) beyond(had int) (output Output) {
	var events [buckets]float64
	for index := range events {
		events[index] = math.Exp2((float64(index) + 0.5) / bucketsPerOctave)
		if events[index] > float64(had) {
			output.Runs += float64(distribution.counts[index])
			output.Mean += float64(distribution.counts[index]) * (events[index] - float64(had))
		}
	}
	if output.Runs == 0 {
		return Output{Mean: 1, Upper: 1, Runs: distribution.total} // longer than all that were seen
	}
	output.Mean /= output.Runs
	passed := 0.0
	for index := range events {
		if events[index] > float64(had) {
			if passed += float64(distribution.counts[index]); passed >= 0.9*output.Runs {
				output.Upper = events[index] - float64(had)
				break
			}
		}
	}
	return output
}
