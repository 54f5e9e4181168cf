package store

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	newsKept  = 3 * time.Second         // a peer that was silent for longer reads the service itself
	newsBytes = 4 << 20                 // of values that are kept for peers; the smallest VM has 112 MB
	newsStale = 1300 * time.Millisecond // a pace of 400 ms, a watch of 350 ms, and twice 240 ms of a slow store: then the reader is in trouble
)

// ChangeFeed keeps what a follower has read from the service lately, for the peers that follow by this process.
type ChangeFeed struct {
	mutex   sync.Mutex
	open    bool // the follower reads the service itself
	since   int64
	current int64
	asked   time.Time // what is kept is at least as new as the service was then
	batches []batch   // all changes after the revision since, oldest first
	bytes   int       // of their values
	changed chan struct{}
}

// batch is what one call has brought.
type batch struct {
	items    []Item
	revision int64 // newest
	bytes    int
	read     time.Time
}

// add takes in what the follower has read from the service.
func (news *ChangeFeed) add(update Update) {
	now := time.Now()
	news.mutex.Lock()
	defer news.mutex.Unlock()
	if !news.open || update.Reset {
		news.open, news.since, news.batches, news.bytes = true, update.Revision, nil, 0
	} else if len(update.Items) > 0 {
		added := batch{items: update.Items, revision: update.Revision, read: now}
		for _, item := range update.Items {
			added.bytes += len(item.Value)
		}
		news.batches = append(news.batches, added)
		news.bytes += added.bytes
	}
	for len(news.batches) > 0 && (news.bytes > newsBytes || now.Sub(news.batches[0].read) > newsKept) {
		news.since, news.bytes = news.batches[0].revision, news.bytes-news.batches[0].bytes
		news.batches = news.batches[1:]
	}
	news.current, news.asked = update.Revision, update.AsOf
	news.wake() // also without changes: that there are none is news
}

// end says that the follower does not read the service itself any more.
func (news *ChangeFeed) end() {
	news.mutex.Lock()
	defer news.mutex.Unlock()
	if news.open {
		news.open, news.batches, news.bytes = false, nil, 0
		news.wake()
	}
}

func (news *ChangeFeed) wake() {
	if news.changed != nil {
		close(news.changed)
		news.changed = nil
	}
}

// read returns the changes after revision, as soon as there are any or the service has been read once more, after wait, or
// when what is known here has become stale. The answer says how long the question was held and how old the news is.
func (news *ChangeFeed) read(ctx context.Context, revision int64, wait time.Duration) (answer Answer, err error) {
	arrived := time.Now()
	var known time.Time // what was the newest then
	for {
		now := time.Now()
		news.mutex.Lock()
		if !news.open || revision < news.since {
			news.mutex.Unlock()
			return Answer{}, errors.Annotate(ErrNotSent, "this process has no such news")
		}
		answer = Answer{Revision: news.current, Waited: now.Sub(arrived), Age: now.Sub(news.asked)}
		pause := min(wait-answer.Waited, newsStale-answer.Age)
		if known.IsZero() {
			known = news.asked
		}
		if news.current > revision || news.asked != known || pause <= 0 {
			answer.Items = news.after(revision)
			news.mutex.Unlock()
			return answer, nil
		}
		if news.changed == nil {
			news.changed = make(chan struct{})
		}
		changed := news.changed
		news.mutex.Unlock()
		timer := time.NewTimer(pause)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Answer{}, errors.WithType(ctx.Err(), ErrNotSent)
		}
		timer.Stop()
	}
}

func (news *ChangeFeed) after(revision int64) (items []Item) {
	for _, batch := range news.batches {
		for _, item := range batch.items {
			if item.Revision > revision {
				items = append(items, item)
			}
		}
	}
	return items
}
