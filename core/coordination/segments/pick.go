package segments

import (
	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/openaibatch"
)

// SelectSegment returns the segment of a job that owner should claim next: one that nobody has, or whose owner is
// gone. Each owner begins at another segment, so that they seldom race. known holds the segments that have a
// record; skip tells which ones to pass over.
func SelectSegment(owner, jobID string, segments int, known map[int]openaibatch.Segment, live map[string]bool, skip func(int) bool) (segment int, ok bool) {
	if segments == 0 {
		return 0, false
	}
	start := int(xxhash.Sum64String(owner+jobID) % uint64(segments))
	for offset := range segments {
		segment = (start + offset) % segments
		if skip(segment) {
			continue
		}
		state, claimed := known[segment]
		if !claimed || !state.Done && !live[state.Owner] {
			return segment, true
		}
	}
	return 0, false
}
