package store

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// history is a service whose keys change while it is watched.
type history struct {
	Driver // panics where a test does not expect a call

	mutex   sync.Mutex
	items   []Item
	changed chan struct{}
	watches int
	silent  bool // it answers no more
}

func (history *history) change(key string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.items = append(history.items, Item{Key: key, Revision: int64(len(history.items) + 1)})
	if history.changed != nil {
		close(history.changed)
		history.changed = nil
	}
}

func (history *history) silence(silent bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.silent = silent
}

func (history *history) calls() int {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	return history.watches
}

func (history *history) List(context.Context, string, string) (items []Item, more bool, revision int64, err error) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	return slices.Clone(history.items), false, int64(len(history.items)), nil
}

func (history *history) Watch(ctx context.Context, _ string, revision int64, wait time.Duration) (items []Item, current int64, err error) {
	time.Sleep(4 * time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	history.mutex.Lock()
	history.watches++
	silent := history.silent
	if len(history.items) <= int(revision) && !silent {
		if history.changed == nil {
			history.changed = make(chan struct{})
		}
		changed := history.changed
		history.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		history.mutex.Lock()
	}
	defer history.mutex.Unlock()
	if history.silent {
		history.mutex.Unlock()
		<-ctx.Done()
		history.mutex.Lock()
		return nil, 0, errors.WithType(ctx.Err(), ErrUnknown)
	}
	return slices.Clone(history.items[revision:]), int64(len(history.items)), nil
}

// group is some followers of which the first reads for the others.
type group struct {
	way    *history // of the reader to the service; the others have one of their own
	others *history
	frozen bool // the reader answers nobody

	mutex  sync.Mutex
	seen   map[int][]int64 // revisions that a follower was told of
	when   map[int64]time.Time
	late   time.Duration // longest time from a change to the last follower that learned of it
	asked  []time.Time   // as new as the followers' views claim to be
	age    time.Duration // of the oldest view that was replaced
	untrue int           // views that claimed to be as new as a change that they did not have
}

func (group *group) run(t *testing.T, size int) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	group.seen, group.when, group.asked = map[int][]int64{}, map[int64]time.Time{}, make([]time.Time, size)
	news := &ChangeFeed{}
	reader := &Relay{Direct: group.way, Feed: news}
	for number := range size {
		follower := &Follower{Pace: 400 * time.Millisecond, Wait: 350 * time.Millisecond, Prefixes: []string{""}, Handle: func(update Update) { group.take(number, update) }}
		if number == 0 {
			follower.Store = &Store{Driver: group.way, Timeout: 1200 * time.Millisecond}
			follower.Feed = news
		} else {
			follower.Store = &Store{Driver: group.others, Timeout: 1200 * time.Millisecond}
			follower.FindReader = func() string { return "reader" }
			follower.CallPeer = func(ctx context.Context, _ string, call []byte) (answer []byte, err error) {
				if group.isFrozen() {
					<-ctx.Done()
					return nil, errors.WithType(ctx.Err(), ErrUnknown)
				}
				return reader.Serve(ctx, call), nil
			}
		}
		running.Go(func() { follower.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (group *group) isFrozen() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.frozen
}

func (group *group) freeze() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.frozen = true
}

func (group *group) take(number int, update Update) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !group.asked[number].IsZero() {
		group.age = max(group.age, time.Since(group.asked[number]))
	}
	group.asked[number] = update.AsOf
	for _, item := range update.Items {
		group.seen[number] = append(group.seen[number], item.Revision)
		if changed, ok := group.when[item.Revision]; ok {
			group.late = max(group.late, time.Since(changed))
		}
	}
	for revision, changed := range group.when {
		if changed.Before(update.AsOf) && !update.Reset && !slices.Contains(group.seen[number], revision) {
			group.untrue++
		}
	}
}

// change changes a key in both views of the service.
func (group *group) change() {
	group.mutex.Lock()
	group.when[int64(len(group.when)+1)] = time.Now()
	group.mutex.Unlock()
	group.way.change("k")
	if group.others != group.way {
		group.others.change("k")
	}
}

// check fails where a follower missed a change or was told of one twice, or where one learned of it too late.
func (group *group) check(t *testing.T, size int, bound time.Duration) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	want := []int64{}
	for number := range group.when {
		want = append(want, number)
	}
	slices.Sort(want)
	for number := range size {
		if fmt.Sprint(group.seen[number]) != fmt.Sprint(want) {
			t.Errorf("follower %d was told of %v", number, group.seen[number])
		}
	}
	if group.untrue > 0 {
		t.Errorf("%d views claim to be newer than they are", group.untrue)
	}
	if group.late > bound {
		t.Errorf("a change was known everywhere only after %s", group.late)
	}
}

// TestFollowersShareAReader plays the load that 41 processes put on the store of a grown deployment: all of a group
// follow for the calls of one.
func TestFollowersShareAReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &history{}
		group := &group{way: service, others: service}
		service.change("before")
		group.when = map[int64]time.Time{}
		defer group.run(t, 16)()
		time.Sleep(5 * time.Second) // who asks before the reader has begun to read waits 3 s with its next question
		before := service.calls()
		group.mutex.Lock()
		group.seen, group.when = map[int][]int64{}, map[int64]time.Time{1: time.Now()}
		for number := range 16 {
			group.seen[number] = []int64{1}
		}
		group.mutex.Unlock()
		for range 100 {
			group.change()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		time.Sleep(5 * time.Second)              // nothing changes: that is known too
		group.check(t, 16, 500*time.Millisecond) // the pace, and the calls
		// Results that one caller has read are known everywhere after 1 s: an older view is not shown without asking.
		if group.age > 950*time.Millisecond {
			t.Errorf("a view of %s while all is well", group.age)
		}
		if calls := service.calls() - before; calls > 45 {
			t.Errorf("%d calls in 16 s", calls)
		}
	})
}

// TestReaderFails plays a reader that stands still, and one that the service turns away without a word: drains have 2 s to
// be known, to its followers too.
func TestReaderFails(t *testing.T) {
	for name, fail := range map[string]func(*group){
		"frozen":  (*group).freeze,
		"cut off": func(group *group) { group.way.silence(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := &group{way: &history{}, others: &history{}}
				defer group.run(t, 4)()
				for range 50 {
					group.change()
					time.Sleep(70 * time.Millisecond)
				}
				time.Sleep(time.Second)
				group.check(t, 4, 500*time.Millisecond)
				fail(group)
				for range 50 {
					group.change()
					time.Sleep(170 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				if name == "cut off" { // its own news is none of the others' concern
					group.mutex.Lock()
					group.seen[0] = group.seen[1]
					group.mutex.Unlock()
				}
				group.check(t, 4, 2*time.Second)
			})
		})
	}
}

// TestNewsSaysItsAge plays a peer that holds questions: what a follower takes the news to be as new as, it is.
func TestNewsSaysItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		news := &ChangeFeed{}
		relay := &Relay{Feed: news}
		news.add(Update{Reset: true, Revision: 5, AsOf: time.Now()})
		var update Update
		follower := &Follower{Handle: func(taken Update) { update = taken }, CallPeer: func(ctx context.Context, _ string, call []byte) (answer []byte, err error) {
			time.Sleep(50 * time.Millisecond)
			answer = relay.Serve(ctx, call)
			time.Sleep(50 * time.Millisecond)
			return answer, nil
		}}
		read := time.Now()
		time.Sleep(200 * time.Millisecond)
		if revision, err := follower.askPeer(t.Context(), "peer", 5); err != nil || revision != 5 {
			t.Fatalf("revision %d, %v", revision, err)
		}
		if update.AsOf.After(read) || read.Sub(update.AsOf) > 100*time.Millisecond {
			t.Errorf("news of %s is taken to be of %s", read, update.AsOf)
		}
		for _, revision := range []int64{4, 6} { // older than what is kept; newer than what is known
			if _, err := follower.askPeer(t.Context(), "peer", revision); err == nil {
				t.Errorf("revision %d was answered", revision)
			}
		}
		news.end()
		if _, err := follower.askPeer(t.Context(), "peer", 5); !errors.Is(err, ErrNotSent) {
			t.Errorf("a peer that does not read answers: %v", err)
		}
	})
}
