package store

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/juju/errors"
)

const (
	feedWait = 600 * time.Millisecond // longest wait of a feed call at the reader, which reads the store every 400 ms
	// relayFeedWait and relayTimeoutMargin apply to a process that feeds others, which know of a change within 2 s also if the
	// process that it reads is frozen. The wait is longer than the pace of that process, so that each response is more current.
	relayFeedWait      = 450 * time.Millisecond
	relayTimeoutMargin = 150 * time.Millisecond

	// unknownDating is Call.Dating of the first call to a peer, which responds at once.
	unknownDating = -1

	feedTimeoutMargin = 300 * time.Millisecond // added to feedWait for the network, which takes 1 ms, and for a reader short of CPU time
	// readerRetryDelay is how long this process does not ask a peer that has failed. A crashed reader's lease, of 3 s, ends
	// meanwhile, and another reader takes its place.
	readerRetryDelay = 3 * time.Second
	// quickFailure is the longest call of a reader that costs no time worth saving: a reader that fails so, since it has not listed
	// the store yet or its feed begins later, is asked again after the next call to the store.
	quickFailure = 100 * time.Millisecond
)

// pollReaders handles the changes after revision in the change feed of the peer to read. Of a peer that fails, another takes the
// place. ok is false if this process is to read the store itself.
func (follower *Follower) pollReaders(ctx context.Context, revision int64) (current int64, ok bool) {
	if follower.FindSource == nil {
		return 0, false
	}
	for {
		reader, feeds := follower.FindSource(func(peer string) bool { return time.Now().Before(follower.failedUntil[peer]) })
		if reader == "" {
			return 0, false
		}
		asked := time.Now()
		current, err := follower.pollReader(ctx, reader, revision, feeds)
		if err == nil {
			follower.setSource(reader, nil)
			return current, true
		}
		follower.recordPeerError(reader, asked)
		follower.setSource("", err)
	}
}

// recordPeerError records that a peer which was asked at the given time has failed.
func (follower *Follower) recordPeerError(peer string, asked time.Time) {
	retryAfter := readerRetryDelay
	if time.Since(asked) < quickFailure {
		retryAfter = follower.Pace / 2 // the next round asks it again
	}
	follower.recordFailure(peer, retryAfter)
}

// recordFailure records that a peer has failed and when it is asked again, and forgets those whose time has passed.
func (follower *Follower) recordFailure(peer string, retryAfter time.Duration) {
	now := time.Now()
	maps.DeleteFunc(follower.failedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	if follower.failedUntil == nil {
		follower.failedUntil = map[string]time.Time{}
	}
	follower.failedUntil[peer] = now.Add(retryAfter)
}

// pollReader handles the changes after revision in the change feed of a reader, and returns the reader's revision.
func (follower *Follower) pollReader(ctx context.Context, reader string, revision int64, feeds bool) (current int64, err error) {
	update, err := follower.readFeed(ctx, reader, revision, feeds)
	if err != nil {
		return 0, err
	}
	follower.goal = 0
	if follower.update(update); follower.Feed != nil {
		if feeds {
			follower.Feed.add(update)
		} else {
			follower.Feed.close()
		}
	}
	return update.Revision, nil
}

// readFeed returns the changes after revision in the change feed of a reader. The response's Age counts back from the time of the
// response, which is no earlier than the start of the call plus Waited. AsOf is therefore the start of the call plus Waited minus Age.
func (follower *Follower) readFeed(ctx context.Context, reader string, revision int64, feeds bool) (update Update, err error) {
	defer func() { err = errors.Annotatef(err, "reading the change feed of %s", reader) }()
	wait, margin := feedWait, feedTimeoutMargin
	if feeds {
		wait, margin = relayFeedWait, relayTimeoutMargin
	}
	if reader != follower.datingPeer {
		follower.dating = unknownDating
	}
	call, err := json.Marshal(Call{Name: feedCall, Revision: revision, Wait: wait, Dating: follower.dating})
	if err != nil {
		return Update{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	started := time.Now()
	data, err := follower.CallPeer(ctx, reader, call)
	if err != nil {
		return Update{}, err
	}
	response, err := decodeResponse(data)
	switch {
	case err != nil:
		return Update{}, err
	case response.Revision < revision:
		return Update{}, errors.Errorf("feed is at revision %d, behind this process's revision %d", response.Revision, revision)
	case response.Age >= maxFeedAge:
		return Update{}, errors.Errorf("feed is stale: %s old", response.Age)
	}
	follower.dating, follower.datingPeer = response.Dating, reader
	waited, age := min(max(0, response.Waited), time.Since(started)), max(0, response.Age)
	return Update{Items: response.Items, Revision: response.Revision, AsOf: started.Add(waited - age), Source: "feed of " + reader}, nil
}
