package store

import (
	"context"
	"slices"
	"time"
)

// changesMeanwhile holds the changes in a peer's change feed since a listing began, which follow the listing.
type changesMeanwhile struct {
	revision int64 // up to which the changes were read
	items    []Item
	bytes    int       // total size of items
	asOf     time.Time // the feed reflected the store at this time or later; zero if nothing was read
	disabled bool      // no changes are read: there were too many to keep, or peers may have some that the store has lost
}

// itemBytes is the size of an item besides its key and value.
const itemBytes = 64

// add appends what was read from the feed, or drops all changes if they are too many to keep.
func (changes *changesMeanwhile) add(update Update) {
	for _, item := range update.Items {
		changes.bytes += itemBytes + len(item.Key) + len(item.Value)
	}
	if changes.bytes > maxFeedBytes {
		*changes = changesMeanwhile{disabled: true}
		return
	}
	changes.items = append(changes.items, update.Items...)
	changes.revision, changes.asOf = update.Revision, update.AsOf
}

// update returns the update that follows the listing; ok is false if there is none.
func (changes *changesMeanwhile) update() (update Update, ok bool) {
	return Update{Items: changes.items, Revision: changes.revision, AsOf: changes.asOf, Source: "feed during the listing"}, !changes.asOf.IsZero()
}

// listLast lists the last prefix, which has most of the keys and may take many calls. A lost call is repeated until it succeeds. The
// urgent prefixes are kept current meanwhile: by a peer's change feed, whose changes after the start of the listing are kept for the end
// of it, or by listing them again.
func (follower *Follower) listLast(ctx context.Context, last string, lost *int, meanwhile *changesMeanwhile) (items []Item, revision int64, err error) {
	polling, stopPolling := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer stopPolling()
		items, revision, err = follower.listPages(ctx, last, lost)
	}()
	for {
		timer := time.NewTimer(follower.Pace)
		select {
		case <-done:
			timer.Stop()
			return items, revision, err
		case <-timer.C:
		}
		if !follower.readUrgent(polling, meanwhile) && polling.Err() == nil {
			follower.listUrgent(ctx)
		}
	}
}

// readUrgent reads the changes of a peer's change feed and handles those below the urgent prefixes. It reports whether it succeeded.
func (follower *Follower) readUrgent(ctx context.Context, meanwhile *changesMeanwhile) (ok bool) {
	if follower.FindSource == nil || meanwhile.disabled {
		return false
	}
	reader, _ := follower.FindSource(func(peer string) bool { return time.Now().Before(follower.failedUntil[peer]) })
	if reader == "" {
		return false
	}
	asked := time.Now()
	update, err := follower.readFeed(ctx, reader, meanwhile.revision, true) // with the short wait: the urgent prefixes are to be listed soon if it fails
	if err != nil {
		if ctx.Err() == nil {
			follower.recordPeerError(reader, asked)
		}
		return false
	}
	if meanwhile.add(update); meanwhile.disabled {
		return false
	}
	urgent := slices.DeleteFunc(slices.Clone(update.Items), func(item Item) bool { return !follower.isUrgent(item.Key) })
	follower.update(Update{Items: urgent, Revision: update.Revision, AsOf: follower.asOf, UrgentAsOf: update.AsOf, Source: update.Source})
	for prefix, listed := range follower.listed { // the same changes are left out when they follow the listing
		follower.listed[prefix] = max(listed, update.Revision)
	}
	return true
}

// listUrgent lists the urgent prefixes again.
func (follower *Follower) listUrgent(ctx context.Context) {
	for _, prefix := range follower.Prefixes {
		if !follower.isUrgent(prefix) {
			continue
		}
		started := time.Now()
		if listed, current, err := follower.Store.ListAll(ctx, prefix); err == nil {
			follower.update(Update{Reset: true, Prefix: prefix, Items: listed, Revision: current, AsOf: follower.asOf, ListedAt: started, Source: "listing of " + prefix})
		}
	}
}
