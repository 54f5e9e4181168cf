package openaibatch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxSegmentItems and MaxSegmentBytes bound a segment, the unit of ownership and of writes to the store.
const (
	MaxSegmentItems = 512
	MaxSegmentBytes = 1 << 20
	MaxItems        = 1_000_000
)

// File is an uploaded file whose content lies in segments.
type File struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	Name     string    `json:"name"`
	Bytes    int64     `json:"bytes"`
	Items    int       `json:"items"`
	Segments []int     `json:"segments"` // number of items in each
	UploadID string    `json:"upload"`   // under which the segments lie
	Created  time.Time `json:"created"`
}

// FileID names a file by its account and content, so that a file sent again is the same file.
func FileID(account string, contentSHA256 []byte) string {
	sum := sha256.Sum256(append([]byte(account+"\x00"), contentSHA256...))
	return "file-" + hex.EncodeToString(sum[:16])
}

// Status is how far a job has come.
type Status string

// The states of a job, in the words of the OpenAI interface.
const (
	InProgress Status = "in_progress"
	Completed  Status = "completed"
	Cancelled  Status = "cancelled"
)

// Job is a batch job.
type Job struct {
	ID               string            `json:"id"`
	Account          string            `json:"account"`
	FileID           string            `json:"file_id"`
	UploadID         string            `json:"upload"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata,omitempty"`
	Segments         []int             `json:"segments"` // number of items in each
	Status           Status            `json:"status"`
	Created          time.Time         `json:"created"`
	Ended            time.Time         `json:"ended,omitzero"`
	Counts           Counts            `json:"counts"` // final ones, once the job has ended
}

// WithEnd returns a copy of job that has ended.
func (job Job) WithEnd(status Status, counts Counts, now time.Time) Job {
	job.Status, job.Counts, job.Ended = status, counts, now
	return job
}

// Items returns the number of items of job.
func (job Job) Items() (items int) {
	for _, count := range job.Segments {
		items += count
	}
	return items
}

// FirstItem returns the number, within the job, of the first item of segment.
func (job Job) FirstItem(segment int) (first int) {
	for _, count := range job.Segments[:segment] {
		first += count
	}
	return first
}

// JobID names a job by its account and key, so that a job sent again is the same job.
func JobID(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "batch_" + hex.EncodeToString(sum[:16])
}

// Counts are the numbers of items that have ended.
type Counts struct {
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Add returns the sum of two counts.
func (counts Counts) Add(other Counts) Counts {
	return Counts{Completed: counts.Completed + other.Completed, Failed: counts.Failed + other.Failed}
}

// Ended returns the number of items that have ended either way.
func (counts Counts) Ended() int { return counts.Completed + counts.Failed }

// Chunk is one record of results.
type Chunk struct {
	Epoch  int64 `json:"epoch"` // in which it was written
	Number int   `json:"number"`
}

// Segment is the state of one segment: who works on it and which results count. A result that the record
// does not name does not exist.
type Segment struct {
	Owner    string  `json:"owner"` // incarnation of an entry
	Epoch    int64   `json:"epoch"`
	Started  ItemSet `json:"started,omitempty"`  // non-idempotent items that may have been sent
	Finished ItemSet `json:"finished,omitempty"` // items whose outcome is committed
	Chunks   []Chunk `json:"parts,omitempty"`
	Counts   Counts  `json:"counts"`
	Done     bool    `json:"done"`
}

// WithOwner returns a copy of segment that owner has taken over.
func (segment Segment) WithOwner(owner string) Segment {
	segment.Owner = owner
	segment.Epoch++
	return segment
}

// ItemSet is a set of item numbers within a segment.
type ItemSet []byte

// Has reports whether item is in the set.
func (bits ItemSet) Has(item int) bool {
	return item/8 < len(bits) && bits[item/8]&(1<<(item%8)) != 0
}

// With returns a copy of the set with items added.
func (bits ItemSet) With(items ...int) ItemSet {
	size := len(bits)
	for _, item := range items {
		size = max(size, item/8+1)
	}
	grown := make(ItemSet, size)
	copy(grown, bits)
	for _, item := range items {
		grown[item/8] |= 1 << (item % 8)
	}
	return grown
}
