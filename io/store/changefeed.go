package store

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	feedRetention = 3 * time.Second // a peer that has not called for longer reads the store itself
	maxFeedBytes  = 4 << 20         // total size of the values kept; the smallest VM has 112 MB of memory
	// maxFeedAge is the sum of a watch of 350 ms and four calls to a slow store of 240 ms each, rounded up: a reader dates its
	// feed by a read of the revision, whose watch may wait and which the next read and watch follow. An older feed means that the
	// reader fails to read the store or reads it too slowly.
	maxFeedAge = 1400 * time.Millisecond
)

// ChangeFeed keeps the changes that a follower has lately read from the store, for the peers that it reads for.
type ChangeFeed struct {
	mutex   sync.Mutex
	open    bool // the follower reads the store itself
	since   int64
	current int64
	asOf    time.Time     // the feed reflects the store at this time or later
	dating  int64         // number of changes of asOf
	batches []batch       // all changes after revision since up to revision current, oldest first
	bytes   int           // total size of the values in batches
	changed chan struct{} // closed at the next call of notify; nil while no call of read waits
}

// batch holds the changes returned by one watch.
type batch struct {
	items    []Item
	revision int64 // store revision after these changes
	bytes    int   // total size of the values
	readAt   time.Time
}

// add appends what the follower has read from the store. A reset update, or the first one after close, empties the feed,
// which then starts at the update's revision.
func (feed *ChangeFeed) add(update Update) {
	now := time.Now()
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if !feed.open || update.Reset {
		feed.open, feed.since, feed.batches, feed.bytes = true, update.Revision, nil, 0
	} else if len(update.Items) > 0 {
		added := batch{items: update.Items, revision: update.Revision, readAt: now}
		for _, item := range update.Items {
			added.bytes += len(item.Value)
		}
		feed.batches = append(feed.batches, added)
		feed.bytes += added.bytes
	}
	for len(feed.batches) > 0 && (feed.bytes > maxFeedBytes || now.Sub(feed.batches[0].readAt) > feedRetention) {
		feed.since, feed.bytes = feed.batches[0].revision, feed.bytes-feed.batches[0].bytes
		feed.batches = feed.batches[1:]
	}
	if !update.AsOf.Equal(feed.asOf) {
		feed.dating++
	}
	feed.current, feed.asOf = update.Revision, update.AsOf
	feed.notify() // also without changes, since the feed has become more current
}

// close marks that the follower no longer reads the store itself. The feed rejects calls until the next add.
func (feed *ChangeFeed) close() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.open {
		feed.open, feed.batches, feed.bytes = false, nil, 0
		feed.notify()
	}
}

// notify wakes all waiting calls of read. The mutex must be held.
func (feed *ChangeFeed) notify() {
	if feed.changed != nil {
		close(feed.changed)
		feed.changed = nil
	}
}

// read returns the changes after revision. It waits until there are changes or the follower has read the store once more since
// the caller's last call, whose response had the given dating, for at most wait, and not beyond the time at which the feed becomes
// older than maxFeedAge. With dating 0, of a caller that knows none, it waits until the store is read once more after the call. The
// response contains the age of the feed and the time spent waiting.
func (feed *ChangeFeed) read(ctx context.Context, revision, dating int64, wait time.Duration) (response CallResponse, err error) {
	arrived := time.Now()
	for {
		now := time.Now()
		feed.mutex.Lock()
		if !feed.open || revision < feed.since {
			feed.mutex.Unlock()
			return CallResponse{}, errors.Annotate(ErrNotExecuted, "this process has no such news")
		}
		response = CallResponse{Revision: feed.current, Waited: now.Sub(arrived), Age: now.Sub(feed.asOf), Dating: feed.dating}
		remaining := min(wait-response.Waited, maxFeedAge-response.Age)
		if dating == 0 {
			dating = feed.dating
		}
		if feed.current > revision || feed.dating != dating || remaining <= 0 {
			response.Items = feed.changesAfter(revision)
			feed.mutex.Unlock()
			return response, nil
		}
		if feed.changed == nil {
			feed.changed = make(chan struct{})
		}
		changed := feed.changed
		feed.mutex.Unlock()
		timer := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return CallResponse{}, errors.WithType(ctx.Err(), ErrNotExecuted)
		}
		timer.Stop()
	}
}

// changesAfter returns the changes after revision, oldest first. The mutex must be held.
func (feed *ChangeFeed) changesAfter(revision int64) (items []Item) {
	for _, batch := range feed.batches {
		for _, item := range batch.items {
			if item.Revision > revision {
				items = append(items, item)
			}
		}
	}
	return items
}
