package store

import (
	"context"
	"strings"
	"time"
)

// wholeListing is a page of the whole store.
type wholeListing struct {
	complete bool // there is no further page
	items    []Item
	revision int64
	started  time.Time // of the call
}

// listWhole lists the whole store if it fits a page. A store that has not fitted one is not asked again: it seldom shrinks, and a page
// takes a slow link 0.3 s.
func (follower *Follower) listWhole(ctx context.Context) (listing wholeListing, err error) {
	if follower.severalPages {
		return listing, nil
	}
	listing.started = time.Now()
	var more bool
	listing.items, more, listing.revision, err = follower.Store.List(ctx, "", "")
	listing.complete = err == nil && !more
	follower.severalPages = more
	return listing, err
}

// below returns the items below prefix.
func (listing wholeListing) below(prefix string) (items []Item) {
	for _, item := range listing.items {
		if strings.HasPrefix(item.Key, prefix) {
			items = append(items, item)
		}
	}
	return items
}
