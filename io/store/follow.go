package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

const (
	newsWait    = 600 * time.Millisecond // a question to a peer is held that long; it reads the store each 400 ms
	newsTimeout = 300 * time.Millisecond // beyond that for the way, which takes 1 ms, and a peer short of processor time
	peerPause   = 3 * time.Second        // the service is read directly for that long after a peer has failed: a lease ends meanwhile
)

// Update is news of the keys that a follower keeps a view of.
type Update struct {
	Reset    bool   // Items are all that exist below Prefix; what is not among them is gone
	Prefix   string // of a reset
	Items    []Item
	Revision int64
	AsOf     time.Time // the view is at least as new as the store was then
}

// Follower keeps a view of the keys below some prefixes current with one paced watch on the whole store: one call
// brings the news of all of them. Where a peer reads the store for this process, the news comes from the peer.
type Follower struct {
	Store    *Store
	Prefixes []string      // what is needed first comes first: listing all of them may take a second
	Pace     time.Duration // between two calls, so that many changes cost few calls
	Wait     time.Duration // a watch returns after this long without changes
	Handle   func(Update)

	FindReader     func() (peer string)                                                           // reads for this process; empty: this process reads itself; may be nil
	CallPeer       func(ctx context.Context, peer string, call []byte) (answer []byte, err error) // asks that peer
	Feed           *ChangeFeed                                                                    // for the peers that this process reads for; may be nil
	OnSourceChange func(peer string, cause error)                                                 // called when the source of news changes; may be nil

	source    string    // the peer that the last news came from; empty: the store
	avoidPeer time.Time // until then
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
			peer := follower.peer(asked)
			if peer != "" {
				newer, err := follower.askPeer(ctx, peer, revision)
				if err == nil {
					revision = newer
					follower.change(peer, nil)
					continue
				}
				follower.avoidPeer = asked.Add(peerPause)
				follower.change("", err)
			}
			revision = follower.watch(ctx, revision)
			follower.change("", nil)
		}
		timer := time.NewTimer(max(0, follower.Pace-time.Since(asked)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// peer returns the peer to ask; empty where the store is to be read.
func (follower *Follower) peer(now time.Time) string {
	if follower.FindReader == nil || now.Before(follower.avoidPeer) {
		return ""
	}
	return follower.FindReader()
}

func (follower *Follower) change(source string, cause error) {
	if source != "" && follower.Feed != nil {
		follower.Feed.end()
	}
	if source != follower.source {
		follower.source = source
		if follower.OnSourceChange != nil {
			follower.OnSourceChange(source, cause)
		}
	}
}

// handle passes on what was read from the store itself.
func (follower *Follower) handle(update Update) {
	follower.Handle(update)
	if follower.Feed != nil {
		follower.Feed.add(update)
	}
}

// watch reads the store's changes since revision and returns the revision to go on from; 0 where all has to be listed.
func (follower *Follower) watch(ctx context.Context, revision int64) int64 {
	asked := time.Now()
	items, current, err := follower.Store.Watch(ctx, "", revision, follower.Wait)
	switch {
	case err == nil && current >= revision:
		follower.handle(Update{Items: items, Revision: current, AsOf: asked})
		return current
	case err == nil || errors.Is(err, ErrCompacted):
		// A store that went back, or forgot its history, says nothing about what was removed.
		return 0
	}
	return revision
}

// askPeer takes in the changes since revision that peer has read. What it says holds for the time at which it answered:
// that is at least as late as this process asked, plus the time for which it held the question.
func (follower *Follower) askPeer(ctx context.Context, peer string, revision int64) (current int64, err error) {
	defer func() { err = errors.Annotatef(err, "asking %s for news", peer) }()
	question, err := json.Marshal(Call{Name: newsCall, Revision: revision, Wait: newsWait})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, newsWait+newsTimeout)
	defer cancel()
	asked := time.Now()
	data, err := follower.CallPeer(ctx, peer, question)
	if err != nil {
		return 0, err
	}
	answer, err := decodeAnswer(data)
	switch {
	case err != nil:
		return 0, err
	case answer.Revision < revision:
		return 0, errors.Errorf("it is at revision %d, and this process at %d", answer.Revision, revision)
	case answer.Age >= newsStale:
		return 0, errors.Errorf("its news is %s old", answer.Age)
	}
	follower.Handle(Update{Items: answer.Items, Revision: answer.Revision, AsOf: asked.Add(answer.Waited - answer.Age)})
	return answer.Revision, nil
}

// list reads all keys and returns the revision to watch from; 0 where the store failed.
func (follower *Follower) list(ctx context.Context) (revision int64) {
	if follower.Feed != nil {
		follower.Feed.end()
	}
	var asked time.Time
	for _, prefix := range follower.Prefixes {
		started := time.Now()
		items, current, err := follower.Store.ListAll(ctx, prefix)
		if err != nil {
			return 0
		}
		if revision == 0 {
			revision, asked = current, started
		}
		follower.Handle(Update{Reset: true, Prefix: prefix, Items: items, Revision: current, AsOf: started})
	}
	if follower.Feed != nil {
		// Peers that are as far can go on from here.
		follower.Feed.add(Update{Reset: true, Revision: revision, AsOf: asked})
	}
	return revision
}
