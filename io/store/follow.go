package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxFailedWatches is the number of watches with too many changes after which all keys are listed, in pages of limited size.
const maxFailedWatches = 3

// Update holds changes of keys, or a listing of all keys below a prefix. A view of the store consists of all updates handled
// so far.
type Update struct {
	Reset    bool   // Items are all keys that exist below Prefix; any other key below it has been removed
	Prefix   string // set if Reset is
	Items    []Item
	Revision int64
	// AsOf is a time such that each part of the view reflects the store at this time or later. While the keys are being
	// listed, some parts are newer than others, and AsOf does not change until the last prefix.
	AsOf   time.Time
	Source string // what the update was read from, for logs
	// ListedAt is a time such that the items of a listing reflect the store at this time or later; zero otherwise.
	ListedAt time.Time
	// UrgentAsOf is a time such that the keys below the urgent prefixes reflect the store at this time or later, although others are
	// being listed; zero otherwise.
	UrgentAsOf time.Time
}

// Listing describes one reading of all keys, for logs.
type Listing struct {
	Prefixes int // prefixes read completely
	Items    int // keys read
	Lost     int // calls that were lost and repeated
	Took     time.Duration
	Err      error // the store's error that ended the listing early
}

// Watched describes what a watch has shown, for logs.
type Watched struct {
	Items         int
	Revision      int64 // up to which changes were received
	StoreRevision int64 // of the store before the watch; 0 if it is not known
}

// Complete reports whether the view has all changes made before the watch.
func (watched Watched) Complete() bool {
	return watched.StoreRevision != 0 && watched.Revision >= watched.StoreRevision
}

// Follower lists the keys below some prefixes and then follows their changes. It uses a single watch of the whole store
// with a limited rate, so that one call returns the changes below all prefixes. Where a peer reads the store for this
// process, the changes come from the peer's change feed instead.
type Follower struct {
	Store *Store
	// Prefixes are listed in this order. As listing may take seconds, the most urgent ones come first. The last one has most of
	// the keys; the urgent prefixes, which it does not cover, are kept current while it is listed.
	Prefixes []string
	// ListWhole makes a listing begin with a page of the whole store, which saves a call for each prefix where there is no second page.
	ListWhole bool
	Pace      time.Duration // shortest time between the starts of two calls, so that frequent changes cause few calls
	Wait      time.Duration // a watch without changes returns after this time
	Handle    func(Update)

	// FindSource returns the member whose change feed this process reads, or "" if it reads the store, and whether peers read the
	// feed of this process. failed reports whether a peer has failed and is not to be asked yet. It may be nil: the store is read.
	FindSource func(failed func(peer string) bool) (peer string, feeds bool)
	// CallPeer makes an encoded Call to a peer.
	CallPeer func(ctx context.Context, peer string, call []byte) (response []byte, err error)
	// Feed is the change feed for the peers that read the store through this process. It may be nil.
	Feed *ChangeFeed
	// OnSourceChange is called when the follower switches to the feed of a peer, or to the store (""). cause is the error
	// that made it leave a peer's feed. It may be nil.
	OnSourceChange func(peer string, cause error)
	// OnWatched is called after each watch of the store that has not failed. It may be nil.
	OnWatched func(Watched)
	// OnListing is called when the follower starts to list all keys; cause is the reason why its changes no longer suffice,
	// and nil at the start of the process. It may be nil.
	OnListing func(cause error)
	// OnListed is called after each listing. It may be nil.
	OnListed func(Listing)

	asOf         time.Time        // Update.AsOf of the last update
	listed       map[string]int64 // revisions up to which the urgent prefixes are known to be current
	severalPages bool             // the whole store has not fitted a page
	relistCause  error            // why all keys have to be listed again
	// A watch may return no changes, or a part of them, although there are more. The store was at revision goal at some time
	// after goalAt, so the view reflects the time goalAt once it is at that revision. goal is 0 if it is to be read before the
	// next watch; it is kept while each watch returns some of the changes up to it.
	goal   int64
	goalAt time.Time
	// failedWatches counts watches whose changes had not arrived completely when their time was up, since the last that succeeded.
	failedWatches int

	source      string               // peer that the last changes came from; empty: the store
	dating      int64                // CallResponse.Dating of the last response of datingPeer
	datingPeer  string               // peer whose change feed was read last
	failedUntil map[string]time.Time // when peers that have failed are asked again
}

// Run follows the store and calls Handle with each update until ctx ends.
func (follower *Follower) Run(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		started := time.Now()
		if revision == 0 {
			if revision = follower.list(ctx); revision != 0 {
				continue
			}
		} else {
			if current, ok := follower.pollReaders(ctx, revision); ok {
				revision = current
				continue
			}
			previous := revision
			revision = follower.watch(ctx, revision)
			follower.setSource("", nil)
			if follower.goal != 0 && revision > previous {
				continue
			}
		}
		sleep(ctx, max(0, follower.Pace-time.Since(started)))
	}
}

// setSource records where the last changes came from: a peer, or the store ("").
func (follower *Follower) setSource(source string, cause error) {
	if source != follower.source {
		follower.source = source
		if follower.OnSourceChange != nil {
			follower.OnSourceChange(source, cause)
		}
	}
}

// update passes an update to Handle. Changes that are older than what is known of an urgent prefix are left out: the watches after a
// listing of all keys return changes from its start on, and must not return keys read again meanwhile to older values.
func (follower *Follower) update(update Update) {
	follower.asOf = update.AsOf
	if !update.Reset {
		update.Items = follower.withoutListed(update.Items)
	} else if follower.isUrgent(update.Prefix) {
		if follower.listed == nil {
			follower.listed = map[string]int64{}
		}
		follower.listed[update.Prefix] = update.Revision
	}
	follower.Handle(update)
}

// isUrgent reports whether the last prefix, which takes long to list, does not cover prefix.
func (follower *Follower) isUrgent(prefix string) bool {
	return !strings.HasPrefix(prefix, follower.Prefixes[len(follower.Prefixes)-1])
}

// withoutListed returns the items whose changes are later than the last listing of an urgent prefix of their keys.
func (follower *Follower) withoutListed(items []Item) (later []Item) {
	isListed := func(item Item) bool {
		for prefix, revision := range follower.listed {
			if item.Revision <= revision && strings.HasPrefix(item.Key, prefix) {
				return true
			}
		}
		return false
	}
	if !slices.ContainsFunc(items, isListed) {
		return items
	}
	return slices.DeleteFunc(slices.Clone(items), isListed)
}

// handle passes an update read from the store to Handle and to the change feed.
func (follower *Follower) handle(update Update) {
	follower.update(update)
	if follower.Feed != nil {
		follower.Feed.add(update)
	}
}

// watch reads the store's changes after revision and returns the revision to continue from, or 0 if all keys have to be
// listed again. The view is dated by the revision of the store that was read before the watch, not by the watch itself.
func (follower *Follower) watch(ctx context.Context, revision int64) int64 {
	if follower.goal == 0 {
		started := time.Now()
		// An older revision than that of the view would not date it: the store has returned to it, which the watch finds out.
		if goal, err := follower.Store.Revision(ctx, follower.Prefixes[0]); err == nil && goal >= revision {
			follower.goal, follower.goalAt = goal, started
		}
	}
	if follower.goal == revision { // the view is current before the watch has waited for changes
		follower.handle(Update{Revision: revision, AsOf: follower.goalAt, Source: "revision"})
	}
	asked := time.Now()
	items, current, err := follower.Store.Watch(ctx, "", revision, follower.Wait)
	if err == nil || errors.Is(err, ErrCompacted) {
		follower.failedWatches = 0
	}
	switch {
	case err == nil && current >= revision:
		current = receivedRevision(items, revision, current)
		watched := Watched{Items: len(items), Revision: current, StoreRevision: follower.goal}
		update := Update{Items: items, Revision: current, AsOf: follower.asOf, Source: "incomplete watch"}
		if watched.Complete() {
			update.AsOf, update.Source = follower.goalAt, "watch"
		}
		if watched.Complete() || current == revision {
			follower.goal = 0
		}
		follower.handle(update)
		if follower.OnWatched != nil {
			follower.OnWatched(watched)
		}
		return current
	case err == nil || errors.Is(err, ErrCompacted):
		// The store has returned to an older revision or has compacted its history, so the watch can't report
		// which keys were removed.
		if follower.relistCause = err; err == nil {
			follower.relistCause = errors.Errorf("the store is at revision %d, behind this process's revision %d", current, revision)
		}
		if follower.Feed != nil {
			follower.Feed.close()
		}
		return 0
	case follower.goal > revision && time.Since(asked) >= follower.Wait+maxCallTime:
		// The changes are too long to arrive in the time of a call, and each further watch would return more of them.
		if follower.failedWatches++; follower.failedWatches >= maxFailedWatches {
			follower.failedWatches = 0
			follower.relistCause = errors.Annotatef(ErrCompacted, "the changes did not arrive in time in %d watches: %v", maxFailedWatches, err)
			if follower.Feed != nil {
				follower.Feed.close()
			}
			return 0
		}
	}
	follower.goal = 0
	return revision
}

// receivedRevision returns the revision up to which a watch from revision on has returned changes, where its response names
// the revision current. Each revision has a change, so that those after the last item may be missing.
func receivedRevision(items []Item, revision, current int64) (received int64) {
	if len(items) == 0 {
		return revision
	}
	return min(current, items[len(items)-1].Revision)
}

// list reads all keys and returns the revision to watch from, or 0 if the store failed.
func (follower *Follower) list(ctx context.Context) (revision int64) {
	follower.goal = 0
	if follower.Feed != nil {
		follower.Feed.close()
	}
	var asOf time.Time
	listing := Listing{}
	if follower.OnListing != nil {
		follower.OnListing(follower.relistCause)
	}
	defer func(started time.Time) {
		if listing.Took = time.Since(started); follower.OnListed != nil {
			follower.OnListed(listing)
		}
	}(time.Now())
	meanwhile := changesMeanwhile{disabled: follower.relistCause != nil && !errors.Is(follower.relistCause, ErrCompacted)}
	var whole wholeListing
	if follower.ListWhole {
		if whole, listing.Err = follower.listWhole(ctx); listing.Err != nil {
			return 0
		}
	}
	for number, prefix := range follower.Prefixes {
		started := time.Now()
		update := Update{Reset: true, Prefix: prefix, AsOf: follower.asOf, ListedAt: started, Source: "listing of " + prefix}
		switch {
		case whole.complete:
			started = whole.started
			update.ListedAt = started
			update.Items, update.Revision = whole.below(prefix), whole.revision
		case number < len(follower.Prefixes)-1:
			update.Items, update.Revision, listing.Err = follower.Store.ListAll(ctx, prefix)
		default:
			meanwhile.revision = revision
			update.Items, update.Revision, listing.Err = follower.listLast(ctx, prefix, &listing.Lost, &meanwhile)
		}
		if listing.Err != nil {
			return 0
		}
		if revision == 0 {
			revision, asOf = update.Revision, started
		}
		listing.Prefixes, listing.Items = listing.Prefixes+1, listing.Items+len(update.Items)
		if number == len(follower.Prefixes)-1 {
			update.AsOf = asOf
		}
		follower.update(update)
	}
	if follower.Feed != nil {
		// Peers that have reached this revision can read the feed from here on.
		follower.Feed.add(Update{Reset: true, Revision: revision, AsOf: asOf})
	}
	if later, ok := meanwhile.update(); ok {
		if asOf.After(later.AsOf) {
			later.AsOf = asOf
		}
		follower.handle(later)
		return later.Revision
	}
	return revision
}

// listPages lists a prefix page by page. It repeats each call that is lost, and counts them, until ctx ends.
func (follower *Follower) listPages(ctx context.Context, prefix string, lost *int) (items []Item, revision int64, err error) {
	after, more := "", true
	for more {
		page, remaining, current, err := follower.Store.List(ctx, prefix, after)
		if err != nil {
			if *lost++; !sleep(ctx, follower.Pace) {
				return nil, 0, err
			}
			continue
		}
		if revision == 0 {
			revision = current
		}
		items = append(items, page...)
		after, more = nextPage(after, page, remaining)
	}
	return items, revision, nil
}

// sleep waits for a duration and reports whether ctx has not ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
