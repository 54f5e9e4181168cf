package openaibatch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Limits of a file and of a segment. A segment is the part of a job that one entry owns and writes to the store as one
// record.
const (
	MaxSegmentItems = 512
	MaxSegmentBytes = 1 << 20
	MaxItems        = 1_000_000 // per file
)

// File is the record of an uploaded file. Its content is stored in segments.
type File struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	Name     string    `json:"name"`
	Bytes    int64     `json:"bytes"`
	Items    int       `json:"items"`
	Segments []int     `json:"segments"` // number of items in each segment
	UploadID string    `json:"upload"`   // identifies the stored segments
	Created  time.Time `json:"created"`
}

// FileID returns the ID of a file, a hash of its account and content: uploading a file again yields the same ID.
func FileID(account string, contentSHA256 []byte) string {
	sum := sha256.Sum256(append([]byte(account+"\x00"), contentSHA256...))
	return "file-" + hex.EncodeToString(sum[:16])
}

// Status is the status of a job.
type Status string

// The statuses of a job, as named by the OpenAI interface.
const (
	InProgress Status = "in_progress"
	Completed  Status = "completed"
	Cancelled  Status = "cancelled"
)

// Job is the record of a batch job.
type Job struct {
	ID               string            `json:"id"`
	Account          string            `json:"account"`
	FileID           string            `json:"file_id"`
	UploadID         string            `json:"upload"` // File.UploadID of the input file
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata,omitempty"`
	Segments         []int             `json:"segments"` // number of items in each segment
	Status           Status            `json:"status"`
	Created          time.Time         `json:"created"`
	Ended            time.Time         `json:"ended,omitzero"`
	Counts           Counts            `json:"counts"` // final counts; zero until the job has ended
}

// WithEnd returns a copy of job that ended at now with the given status and counts.
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

// FirstItem returns the index, within the job, of the first item of segment.
func (job Job) FirstItem(segment int) (first int) {
	for _, count := range job.Segments[:segment] {
		first += count
	}
	return first
}

// JobID returns the ID of a job, a hash of its account and of the key that identifies its submission, such as the idempotency
// key of the caller: submitting a job again yields the same ID.
func JobID(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "batch_" + hex.EncodeToString(sum[:16])
}

// Counts holds the numbers of completed and failed items.
type Counts struct {
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Add returns the sum of counts and other.
func (counts Counts) Add(other Counts) Counts {
	return Counts{Completed: counts.Completed + other.Completed, Failed: counts.Failed + other.Failed}
}

// Ended returns the number of items that have completed or failed.
func (counts Counts) Ended() int { return counts.Completed + counts.Failed }

// Chunk identifies a record of results that were written together.
type Chunk struct {
	Epoch  int64 `json:"epoch"` // epoch of the segment in which the chunk was written
	Number int   `json:"number"`
}

// Segment is the record of one segment of a job: its owner and its progress. Only results in the listed chunks count;
// chunks that a previous owner wrote without committing them to this record are ignored.
type Segment struct {
	Owner    string  `json:"owner"`              // incarnation of the owning entry
	Epoch    int64   `json:"epoch"`              // incremented with each change of the owner
	Started  ItemSet `json:"started,omitempty"`  // non-idempotent items that may have been sent
	Finished ItemSet `json:"finished,omitempty"` // items with a committed result
	Chunks   []Chunk `json:"parts,omitempty"`
	Counts   Counts  `json:"counts"`
	Done     bool    `json:"done"` // all items have a committed result
}

// WithOwner returns a copy of segment with a new owner and the next epoch.
func (segment Segment) WithOwner(owner string) Segment {
	segment.Owner = owner
	segment.Epoch++
	return segment
}

// ItemSet is a set of item numbers of a segment, stored as a bitmap.
type ItemSet []byte

// Has reports whether item is in the set.
func (set ItemSet) Has(item int) bool {
	return item/8 < len(set) && set[item/8]&(1<<(item%8)) != 0
}

// With returns a copy of the set with items added.
func (set ItemSet) With(items ...int) ItemSet {
	size := len(set)
	for _, item := range items {
		size = max(size, item/8+1)
	}
	result := make(ItemSet, size)
	copy(result, set)
	for _, item := range items {
		result[item/8] |= 1 << (item % 8)
	}
	return result
}
