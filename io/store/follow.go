package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Update is news of the keys that a follower keeps a view of.
type Update struct {
	Reset    bool // Items are all that exist; what is not among them is gone
	Items    []Item
	Revision int64
	Asked    time.Time // the view is at least as new as the store was then
}

// Follower keeps a view of the keys below Prefix current with one paced watch.
type Follower struct {
	Store  *Store
	Prefix string
	Pace   time.Duration // between two calls, so that many changes cost few calls
	Wait   time.Duration // a watch returns after this long without changes
	Handle func(Update)
}

// Run follows until ctx ends.
func (follower *Follower) Run(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		asked := time.Now()
		if revision == 0 {
			items, current, err := follower.Store.ListAll(ctx, follower.Prefix)
			if err == nil {
				revision = current
				follower.Handle(Update{Reset: true, Items: items, Revision: current, Asked: asked})
				continue
			}
		} else {
			items, current, err := follower.Store.Watch(ctx, follower.Prefix, revision, follower.Wait)
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
