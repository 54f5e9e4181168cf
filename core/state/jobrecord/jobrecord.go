package jobrecord

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/httpsyntax"
)

// MaxItemTokens bounds the tokens of an item, so that those of all items can be added up.
const MaxItemTokens = 1 << 31

// Item is one request of a batch job.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Tokens int               `json:"tokens,omitempty"` // tokens of the prompt and of the longest permitted output
}

// Validate returns an error unless the item can be run as one request.
func (item Item) Validate() (err error) {
	defer func() { err = errors.Annotatef(err, "item %q", item.ID) }()
	if err = httpsyntax.CheckID(item.ID); err != nil {
		return err
	}
	if err = httpsyntax.CheckTarget(item.Path); err != nil {
		return err
	}
	for name, value := range item.Header {
		if err = httpsyntax.CheckField(name, value); err != nil {
			return err
		}
	}
	return nil
}

// Job is the immutable record of an accepted batch job.
type Job struct {
	ID           string    `json:"id"`
	Host         string    `json:"host"` // host of the submitting request, possibly with a port
	Path         string    `json:"path"` // path of the submitting request; host and path select the route of the job and its items
	Submitted    time.Time `json:"submitted"`
	Due          time.Time `json:"due"`     // time by which all results are wanted
	AbandonAfter time.Time `json:"abandon"` // time after which unfinished items may be abandoned
	Items        []Item    `json:"items"`
	Account      string    `json:"account,omitempty"` // client account that submitted the job; empty if there was none

	Revision int64 `json:"-"` // of the record in the store; a configuration of this revision or later has the job's route until that is removed
}

// Ownership is the ownership record of a job. Its revision in the store is the epoch of the owner, which writes results
// only while the record is unchanged.
type Ownership struct {
	Owner       string    `json:"owner"`           // member ID of the worker that runs the job; empty if there is none
	HasProgress bool      `json:"begun,omitempty"` // a previous owner stored the progress of unfinished items
	Ended       bool      `json:"ended,omitempty"`
	Submitted   time.Time `json:"submitted"`
	Account     string    `json:"account,omitempty"` // that of the job
}

// WithOwner returns a copy of ownership held by owner.
func (ownership Ownership) WithOwner(owner string) Ownership {
	ownership.Owner = owner
	return ownership
}

// WithProgress returns a copy of ownership which records that the progress of unfinished items is stored.
func (ownership Ownership) WithProgress() Ownership {
	ownership.HasProgress = true
	return ownership
}

// WithEnd returns a copy of ownership which records that the job has ended.
func (ownership Ownership) WithEnd() Ownership {
	ownership.Ended = true
	return ownership
}

// State is the final state of an item.
type State string

// The final states of an item.
const (
	Completed State = "completed"
	Failed    State = "failed" // failed permanently or abandoned
)

// Result is the result of one item.
type Result struct {
	ID    string `json:"id"` // item ID
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
}

// Chunk is a record of results that were written together. A result that is too long for one record is alone in several chunks in a row.
type Chunk struct {
	Results []Result `json:"results"`
	Part    int      `json:"part,omitempty"` // number of the part of the only result, from 0
	More    bool     `json:"more,omitempty"` // the text of the only result goes on in the next chunk
}

// The prefixes of the keys of job records. In a key, the job ID follows the prefix.
const (
	jobPrefix       = "jobs/"
	ownershipPrefix = "owners/"
	resultPrefix    = "results/"
)

// JobKey returns the key of the record of a job.
func JobKey(id string) string { return jobPrefix + id }

// OwnershipKey returns the key of the ownership record of a job.
func OwnershipKey(id string) string { return ownershipPrefix + id }

// ResultsPrefix returns the prefix of the keys of a job's chunks.
func ResultsPrefix(id string) string { return resultPrefix + id + "/" }

// ChunkKey returns the key of the chunk with the given number, counted from 0.
func ChunkKey(id string, number int) string { return fmt.Sprintf("%s%06d", ResultsPrefix(id), number) }

// Encode returns the value to store for a record.
func Encode(record any) (value []byte, err error) {
	value, err = json.Marshal(record)
	return value, errors.Annotate(err, "encoding a batch record")
}

// VersionedOwnership is an ownership record and the epoch of its owner.
type VersionedOwnership struct {
	Ownership

	Epoch int64 // revision of the ownership record in the store
}

// View is the cached state of one job.
type View struct {
	Job       *Job // nil until its record has been read
	Ownership VersionedOwnership
	Results   []Result // in the order of their chunks
	Chunks    int      // number of chunks in Results
	Waiting   int64    // tokens of the items without a result; 0 if the job has ended

	recordBytes int64 // size of the Job record

	partial Result // result whose text goes on in the next chunk
	parts   int    // parts of partial; 0 if there is none
}

// WithChunk returns a copy of view with the results of its next chunk. The results of view are not changed.
func (view View) WithChunk(chunk Chunk) View {
	results := view.Results[:len(view.Results):len(view.Results)]
	view.Chunks++
	for _, result := range chunk.Results {
		if chunk.Part > 0 {
			if chunk.Part != view.parts || result.ID != view.partial.ID {
				continue // the parts before it are missing
			}
			result.Text = view.partial.Text + result.Text
		}
		view.partial, view.parts = Result{}, 0
		if chunk.More {
			view.partial, view.parts = result, chunk.Part+1
		} else {
			results = append(results, result)
		}
	}
	view.Results = results
	return view
}

// countWaiting sets Waiting, and returns by how much it has decreased.
func (view *View) countWaiting() (finished int64) {
	before := view.Waiting
	view.Waiting = 0
	if view.Job != nil && !view.Ownership.Ended && len(view.Results) < len(view.Job.Items) {
		done := make(map[string]bool, len(view.Results))
		for _, result := range view.Results {
			done[result.ID] = true
		}
		for _, item := range view.Job.Items {
			if !done[item.ID] {
				view.Waiting += int64(item.Tokens)
			}
		}
	}
	return max(0, before-view.Waiting)
}

// Cache holds the views of all jobs. The change feed of the store keeps it up to date.
type Cache struct {
	// OnFinished is called with a job and the tokens of its items that no longer wait. It may be nil.
	OnFinished func(job *Job, tokens int64)

	jobs   map[string]*View
	bytes  int64                    // of all Job records
	chunks map[string]map[int]Chunk // chunks received before an earlier chunk of the same job, by job ID and number
}

// Clear removes all jobs. It is called before all records are read again.
func (cache *Cache) Clear() { cache.jobs, cache.chunks, cache.bytes = nil, nil, 0 }

// Bytes returns the size of the Job records of all jobs.
func (cache *Cache) Bytes() int64 { return cache.bytes }

// Get returns the view of a job.
func (cache *Cache) Get(id string) (view View, ok bool) {
	cached, ok := cache.jobs[id]
	if !ok {
		return View{}, false
	}
	return *cached, true
}

// HeldBack returns the number of chunks of a job that were received before an earlier one.
func (cache *Cache) HeldBack(id string) int { return len(cache.chunks[id]) }

// Range calls visit for each job until visit returns false.
func (cache *Cache) Range(visit func(id string, view View) bool) {
	for id, view := range cache.jobs {
		if !visit(id, *view) {
			return
		}
	}
}

// view returns the view of a job and creates it if it does not exist.
func (cache *Cache) view(id string) *View {
	if cache.jobs == nil {
		cache.jobs, cache.chunks = map[string]*View{}, map[string]map[int]Chunk{}
	}
	view, ok := cache.jobs[id]
	if !ok {
		view = &View{}
		cache.jobs[id] = view
	}
	return view
}

// Apply updates the cache with a changed record of the store. A deleted Job record removes the job from the cache, because it
// is the last of the job's records to be deleted; other deletions are ignored. A record that cannot be decoded returns an error. It
// changes nothing, but that a known job has no owner any longer where its ownership record cannot be decoded.
func (cache *Cache) Apply(key string, value []byte, revision int64, deleted bool) (err error) {
	defer func() { err = errors.Annotatef(err, "decoding job record %q", key) }()
	switch {
	case strings.HasPrefix(key, jobPrefix):
		id := strings.TrimPrefix(key, jobPrefix)
		if deleted {
			if view, ok := cache.jobs[id]; ok {
				cache.bytes -= view.recordBytes
			}
			delete(cache.jobs, id)
			delete(cache.chunks, id)
			return nil
		}
		job, err := decodeJob(id, value)
		if err != nil {
			return err
		}
		job.Revision = revision
		view := cache.view(id)
		cache.bytes += int64(len(value)) - view.recordBytes
		view.Job, view.recordBytes = job, int64(len(value))
		cache.recount(id)
	case strings.HasPrefix(key, ownershipPrefix):
		id := strings.TrimPrefix(key, ownershipPrefix)
		if deleted {
			return nil
		}
		ownership := VersionedOwnership{Epoch: revision}
		if err = json.Unmarshal(value, &ownership.Ownership); err != nil {
			cache.disown(id, revision)
			return err
		}
		if view := cache.view(id); revision > view.Ownership.Epoch {
			view.Ownership = ownership
			cache.recount(id)
		}
	case strings.HasPrefix(key, resultPrefix):
		return cache.applyChunk(strings.TrimPrefix(key, resultPrefix), value, deleted)
	}
	return nil
}

// disown records that the ownership record of a known job was replaced by one that can't be read. Its owner can't write results any
// longer; with the new epoch another worker can claim the job.
func (cache *Cache) disown(id string, revision int64) {
	if view, ok := cache.jobs[id]; ok && view.Job != nil && view.Ownership.Epoch > 0 && revision > view.Ownership.Epoch {
		view.Ownership.Ownership, view.Ownership.Epoch = view.Ownership.WithOwner(""), revision
	}
}

// decodeJob decodes the record of the job with an ID. Under another ID a worker would write and sweep the records of another job.
func decodeJob(id string, value []byte) (job *Job, err error) {
	job = &Job{}
	if err = json.Unmarshal(value, job); err != nil {
		return nil, err
	}
	if id == "" || job.ID != id {
		return nil, errors.Errorf("it is the record of job %q", job.ID)
	}
	for i := range job.Items {
		job.Items[i].Tokens = min(max(0, job.Items[i].Tokens), MaxItemTokens)
	}
	return job, nil
}

// recount brings View.Waiting of a job up to date.
func (cache *Cache) recount(id string) {
	view := cache.view(id)
	if finished := view.countWaiting(); finished > 0 && cache.OnFinished != nil {
		cache.OnFinished(view.Job, finished)
	}
}

// applyChunk appends a chunk to the results of its job, or keeps it until all earlier chunks have been received.
func (cache *Cache) applyChunk(name string, value []byte, deleted bool) (err error) {
	if deleted {
		return nil
	}
	id, digits, _ := strings.Cut(name, "/")
	number, err := strconv.Atoi(digits)
	if err != nil || number < 0 || ChunkKey(id, number) != resultPrefix+name {
		return errors.Errorf("%q is not the number of a chunk", digits)
	}
	var chunk Chunk
	if err = json.Unmarshal(value, &chunk); err != nil {
		return err
	}
	view := cache.view(id)
	if number < view.Chunks {
		return nil
	}
	if cache.chunks[id] == nil {
		cache.chunks[id] = map[int]Chunk{}
	}
	cache.chunks[id][number] = chunk
	defer cache.recount(id)
	for {
		next, ok := cache.chunks[id][view.Chunks]
		if !ok {
			return nil
		}
		delete(cache.chunks[id], view.Chunks)
		*view = view.WithChunk(next)
	}
}
