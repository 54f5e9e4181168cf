package jobrecord

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Item is one request of a batch job.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Tokens int               `json:"tokens,omitempty"` // prompt and longest output together
}

// Job is a batch job as it was accepted; it is never changed.
type Job struct {
	ID           string    `json:"id"`
	Host         string    `json:"host"`
	Path         string    `json:"path"` // of the submission; it selects the route
	Submitted    time.Time `json:"submitted"`
	Due          time.Time `json:"due"`     // when all results are wanted
	AbandonAfter time.Time `json:"abandon"` // from when on unfinished items may be given up
	Items        []Item    `json:"items"`
}

// Ownership says who runs a job. Its revision in the store is the epoch that results are written under.
type Ownership struct {
	Owner       string    `json:"owner"`           // of fleet.Member.Owner; empty: nobody
	HasProgress bool      `json:"begun,omitempty"` // a former owner has left the progress of its items
	Ended       bool      `json:"ended,omitempty"`
	Submitted   time.Time `json:"submitted"`
}

// WithOwner returns a copy of ownership held by owner.
func (ownership Ownership) WithOwner(owner string) Ownership {
	ownership.Owner = owner
	return ownership
}

// WithProgress returns a copy of ownership of a job whose items' progress was recorded.
func (ownership Ownership) WithProgress() Ownership {
	ownership.HasProgress = true
	return ownership
}

// WithEnd returns a copy of ownership of a job that has ended.
func (ownership Ownership) WithEnd() Ownership {
	ownership.Ended = true
	return ownership
}

// State is how an item ended.
type State string

// The states of a finished item.
const (
	Completed State = "completed"
	Failed    State = "failed" // given up for good
)

// Result is the outcome of one item.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
}

// Chunk is a run of results that were written together.
type Chunk struct {
	Results []Result `json:"results"`
}

// The names of a job's records.
const (
	jobPrefix       = "jobs/"
	ownershipPrefix = "owners/"
	resultPrefix    = "results/"
)

// JobKey names the record of a job.
func JobKey(id string) string { return jobPrefix + id }

// OwnershipKey names the ownership record of a job.
func OwnershipKey(id string) string { return ownershipPrefix + id }

// ResultsPrefix begins the names of a job's chunks.
func ResultsPrefix(id string) string { return resultPrefix + id + "/" }

// ChunkKey names the chunk with the given number, from 0 on.
func ChunkKey(id string, number int) string { return fmt.Sprintf("%s%06d", ResultsPrefix(id), number) }

// Encode returns a record's value.
func Encode(record any) (value []byte, err error) {
	value, err = json.Marshal(record)
	return value, errors.Annotate(err, "encoding a batch record")
}

// VersionedOwnership is an ownership with the epoch it was read at.
type VersionedOwnership struct {
	Ownership

	Epoch int64
}

// View is what is known of one job.
type View struct {
	Job       *Job // nil until its record has been seen
	Ownership VersionedOwnership
	Results   []Result // in their final order
	Chunks    int      // that Results come from
}

// Cache is the view of all jobs, kept current from the changes of the store.
type Cache struct {
	jobs   map[string]*View
	chunks map[string]map[int]Chunk // that came before an earlier one of the same job
}

// Clear forgets everything, before all records are read anew.
func (book *Cache) Clear() { book.jobs, book.chunks = nil, nil }

// Get returns what is known of a job.
func (book *Cache) Get(id string) (view View, ok bool) {
	known, ok := book.jobs[id]
	if !ok {
		return View{}, false
	}
	return *known, true
}

// Range calls visit for each job until it returns false.
func (book *Cache) Range(visit func(id string, view View) bool) {
	for id, view := range book.jobs {
		if !visit(id, *view) {
			return
		}
	}
}

func (book *Cache) view(id string) *View {
	if book.jobs == nil {
		book.jobs, book.chunks = map[string]*View{}, map[string]map[int]Chunk{}
	}
	view, ok := book.jobs[id]
	if !ok {
		view = &View{}
		book.jobs[id] = view
	}
	return view
}

// Apply takes in one record; a record that cannot be read changes nothing.
func (book *Cache) Apply(name string, value []byte, revision int64, deleted bool) (err error) {
	defer func() { err = errors.Annotatef(err, "reading batch record %q", name) }()
	switch {
	case strings.HasPrefix(name, jobPrefix):
		id := strings.TrimPrefix(name, jobPrefix)
		if deleted {
			delete(book.jobs, id)
			delete(book.chunks, id)
			return nil
		}
		job := &Job{}
		if err = json.Unmarshal(value, job); err != nil {
			return err
		}
		book.view(id).Job = job
	case strings.HasPrefix(name, ownershipPrefix):
		id := strings.TrimPrefix(name, ownershipPrefix)
		if deleted {
			return nil
		}
		owned := VersionedOwnership{Epoch: revision}
		if err = json.Unmarshal(value, &owned.Ownership); err != nil {
			return err
		}
		if view := book.view(id); revision > view.Ownership.Epoch {
			view.Ownership = owned
		}
	case strings.HasPrefix(name, resultPrefix):
		return book.applyChunk(strings.TrimPrefix(name, resultPrefix), value, deleted)
	}
	return nil
}

func (book *Cache) applyChunk(name string, value []byte, deleted bool) (err error) {
	var number int
	id, digits, _ := strings.Cut(name, "/")
	if _, err = fmt.Sscanf(digits, "%d", &number); err != nil || deleted {
		return err
	}
	var chunk Chunk
	if err = json.Unmarshal(value, &chunk); err != nil {
		return err
	}
	view := book.view(id)
	if number < view.Chunks {
		return nil
	}
	if book.chunks[id] == nil {
		book.chunks[id] = map[int]Chunk{}
	}
	book.chunks[id][number] = chunk
	for {
		next, ok := book.chunks[id][view.Chunks]
		if !ok {
			return nil
		}
		delete(book.chunks[id], view.Chunks)
		// A new slice: readers may hold the old one.
		view.Results = append(view.Results[:len(view.Results):len(view.Results)], next.Results...)
		view.Chunks++
	}
}
