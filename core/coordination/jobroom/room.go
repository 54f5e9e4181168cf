package jobroom

import "time"

// Room decides which batch jobs are accepted. It is not safe for concurrent use.
type Room struct {
	SmallBytes int64                // size up to which a record is small
	LargeShare float64              // share of the room up to which records that are not small are accepted
	accepting  map[string]accepting // by job ID
}

// accepting is a job that may not be in the view yet.
type accepting struct {
	bytes int64
	ended time.Time // of its submission; zero before
}

// State is what is known when a job is submitted.
type State struct {
	Bytes    int64                // of the records of all jobs in the view
	AsOf     time.Time            // the view has all jobs that were accepted before
	Capacity int64                // the smallest of all members; 0 if none is known
	InView   func(id string) bool // whether the view has a job
}

// Begin reports whether there is room for a record of so many bytes, and reserves it until End is called and the view shows whether the job
// was accepted. A job that is being submitted already has room.
func (room *Room) Begin(id string, bytes int64, state State) (ok bool) {
	used := state.Bytes
	for other, job := range room.accepting {
		if !job.ended.IsZero() && state.AsOf.After(job.ended) || state.InView(other) {
			delete(room.accepting, other)
		} else if other != id {
			used += job.bytes
		}
	}
	capacity := float64(state.Capacity)
	if bytes > room.SmallBytes {
		capacity *= room.LargeShare
	}
	if state.Capacity > 0 && float64(used+bytes) > capacity {
		return false
	}
	if room.accepting == nil {
		room.accepting = map[string]accepting{}
	}
	room.accepting[id] = accepting{bytes: bytes}
	return true
}

// End records that the submission of a job has ended.
func (room *Room) End(now time.Time, id string) {
	if job, ok := room.accepting[id]; ok {
		job.ended = now
		room.accepting[id] = job
	}
}
