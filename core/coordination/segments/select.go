package segments

import (
	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/openaibatch"
)

// SelectSegment returns the segment of a job that owner should claim next: an unclaimed one, or an unfinished one whose
// owner is not live. The search starts at a hash of owner and jobID, so that owners rarely compete for a segment.
// records holds the stored segments by number; skip excludes a segment from the search.
func SelectSegment(owner, jobID string, segments int, records map[int]openaibatch.Segment, live map[string]bool, skip func(int) bool) (segment int, ok bool) {
	if segments == 0 {
		return 0, false
	}
	start := int(xxhash.Sum64String(owner+jobID) % uint64(segments))
	for offset := range segments {
		segment = (start + offset) % segments
		if skip(segment) {
			continue
		}
		record, claimed := records[segment]
		if !claimed || !record.Done && !live[record.Owner] {
			return segment, true
		}
	}
	return 0, false
}
