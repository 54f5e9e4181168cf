package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Update is news of the keys that a follower keeps a view of.
type Update struct {
	Reset    bool   // Items are all that exist below Prefix; what is not among them is gone
	Prefix   string // of a reset
	Items    []Item
	Revision int64
	Asked    time.Time // the view is at least as new as the store was then
}

// Follower keeps a view of the keys below some prefixes current with one paced watch on the whole store: one call
// brings the news of all of them.
type Follower struct {
	Store    *Store
	Prefixes []string      // what is needed first comes first: listing all of them may take a second
	Pace     time.Duration // between two calls, so that many changes cost few calls
	Wait     time.Duration // a watch returns after this long without changes
	Handle   func(Update)
}

// Run follows until ctx ends.
func (follower *Follower) Run(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		asked := time.Now()
		if revision == 0 {
			if revision = follower.list(ctx); revision != 0 {
				continue
			}
		} else {
			items, current, err := follower.Store.Watch(ctx, "", revision, follower.Wait)
			switch {
			case err == nil && current >= revision:
				revision = current
				follower.Handle(Update{Items: items, Revision: current, Asked: asked})
			case err == nil || errors.Is(err, ErrCompacted):
				// A store that went back, or forgot its history, says nothing about what was removed.
				revision = 0
			}
		}
		timer := time.NewTimer(max(0, follower.Pace-time.Since(asked)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// list reads all keys and returns the revision to watch from; 0 where the store failed.
func (follower *Follower) list(ctx context.Context) (revision int64) {
	for _, prefix := range follower.Prefixes {
		asked := time.Now()
		items, current, err := follower.Store.ListAll(ctx, prefix)
		if err != nil {
			return 0
		}
		if revision == 0 {
			revision = current
		}
		follower.Handle(Update{Reset: true, Prefix: prefix, Items: items, Revision: current, Asked: asked})
	}
	return revision
}
