package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/fairqueue"
	"cowslipway/core/coordination/segments"
	"cowslipway/core/state/openaibatch"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
)

const (
	maxOwnedSegments  = 32
	listAgain         = 5 * time.Second
	claimPause        = 500 * time.Millisecond // after a failed claim
	checkpointPeriod  = 30 * time.Second
	pauseThreshold    = 2 * time.Second  // between two ticks, from which on the process counts as having been paused
	maxBacklog        = 512              // items told to a target daemon
	cancelledRemember = 10 * time.Second // for which target daemons are told
	cancelledForget   = time.Minute      // after which the key of a cancelled job is deleted
	storeCallTimeout  = 10 * time.Second
)

// openJob is a batch job that is neither finished nor cancelled, as far as this entry knows.
type openJob struct {
	job      openaibatch.Job
	revision int64                       // of the job's key below the open prefix
	known    map[int]openaibatch.Segment // as they were when listed or tried last
	mine     map[int]*ownedSegment
	claiming map[int]bool // claims under way
	listed   time.Time
	listing  bool
	pausedTo time.Time // no claims before
}

// ownedSegment is a segment that this entry works on.
type ownedSegment struct {
	open     *openJob
	number   int
	work     *segments.Tracker
	revision int64 // of the segment's record
	items    map[int]segments.Item
	running  map[int]context.CancelFunc
	dropped  bool
	writing  bool // a checkpoint is under way
	verified bool // after a pause, items run only once the record was read again
	written  time.Time
	retryAt  time.Time // of a checkpoint that failed
	started  []int     // non-idempotent items that wait for their mark
	launches []launch  // what follows on the mark
}

// queuedItem waits for a grant.
type queuedItem struct {
	segment *ownedSegment
	item    segments.Item
}

// queue holds the items of one service that may run in the same places.
type queue struct {
	service string
	places  []string
	items   fairqueue.Queue[queuedItem]
}

// batchState is the part of the control state that is about batch jobs.
type batchState struct {
	jobs        map[string]*openJob
	queues      map[string]*queue
	liveEntries map[string]Presence // incarnations of entries
	claiming    int
	owned       int
	cancelled   map[string]time.Time // jobs that target daemons are told of
}

func newBatchState() batchState {
	return batchState{
		jobs:        map[string]*openJob{},
		queues:      map[string]*queue{},
		liveEntries: map[string]Presence{},
		cancelled:   map[string]time.Time{},
	}
}

// resetEvent says that the live keys are being read anew.
type resetEvent struct{}

func (resetEvent) apply(control *control) {
	clear(control.batches.liveEntries)
	for _, open := range control.batches.jobs {
		open.listed = time.Time{}
	}
}

// presenceEvent is an entry that has come or gone.
type presenceEvent struct {
	incarnation string
	gone        bool
	presence    Presence
}

func (event presenceEvent) apply(control *control) {
	if event.gone {
		delete(control.batches.liveEntries, event.incarnation)
	} else {
		control.batches.liveEntries[event.incarnation] = event.presence
	}
	entries := max(len(control.batches.liveEntries), control.entry.Settings.EntryCount)
	control.entry.rateLimiter.SetEntries(entries)
	control.publishFleet()
}

// jobOpenEvent is a job that wants to be worked on.
type jobOpenEvent struct {
	job      openaibatch.Job
	revision int64
}

func (event jobOpenEvent) apply(control *control) {
	if event.job.Status == openaibatch.Cancelled {
		control.cancelled(event.job)
		return
	}
	if _, known := control.batches.jobs[event.job.ID]; known || event.job.ID == "" {
		return
	}
	control.batches.jobs[event.job.ID] = &openJob{
		job:      event.job,
		revision: event.revision,
		known:    map[int]openaibatch.Segment{},
		mine:     map[int]*ownedSegment{},
		claiming: map[int]bool{},
	}
	control.claim()
}

// cancelled gives up a job and tells the target daemons, which stop its items also where their owner is
// paused or cut off.
func (control *control) cancelled(cancelled openaibatch.Job) {
	jobClosedEvent{jobID: cancelled.ID}.apply(control)
	if control.now.Sub(cancelled.Ended) > cancelledForget {
		go control.entry.forgetCancelled(control.ctx, cancelled.ID)
		return
	}
	control.batches.cancelled[cancelled.ID] = control.now.Add(cancelledRemember)
	control.heartbeat()
}

// jobClosedEvent is a job that is over.
type jobClosedEvent struct {
	jobID string
}

func (event jobClosedEvent) apply(control *control) {
	open, known := control.batches.jobs[event.jobID]
	if !known {
		return
	}
	for _, segment := range open.mine {
		control.drop(segment)
	}
	delete(control.batches.jobs, event.jobID)
}

// drop gives up a segment: what runs is cancelled, nothing more is committed.
func (control *control) drop(segment *ownedSegment) {
	if segment.dropped {
		return
	}
	segment.dropped = true
	control.batches.owned--
	delete(segment.open.mine, segment.number)
	for _, cancel := range segment.running {
		cancel()
	}
}

// tickBatches does what is due by time.
func (control *control) tickBatches(paused bool) {
	for _, open := range control.batches.jobs {
		for _, segment := range open.mine {
			if paused {
				control.verify(segment)
			}
			control.checkpointIfDue(segment)
		}
	}
	for jobID, until := range control.batches.cancelled {
		if control.now.After(until) {
			delete(control.batches.cancelled, jobID)
		}
	}
	control.claim()
}

// claim takes up segments as long as there is room, the account with the least in hand first.
func (control *control) claim() {
	if control.entry.presenceLease.Load() == 0 || control.entry.draining.Load() {
		return
	}
	for control.batches.owned+control.batches.claiming < maxOwnedSegments {
		open, segment, ok := control.nextClaim()
		if !ok {
			return
		}
		control.batches.claiming++
		open.claiming[segment] = true
		go control.entry.claimSegment(control.ctx, open, segment, open.known[segment])
	}
}

func (control *control) nextClaim() (open *openJob, segment int, ok bool) {
	for _, candidate := range control.jobsInOrder() {
		if control.now.Before(candidate.pausedTo) || candidate.listing {
			continue
		}
		if candidate.listed.IsZero() {
			control.list(candidate)
			continue
		}
		// A segment in this entry's name that it does not have in hand comes from a claim whose answer was lost.
		live := make(map[string]bool, len(control.batches.liveEntries))
		for incarnation := range control.batches.liveEntries {
			live[incarnation] = incarnation != control.entry.incarnation
		}
		skip := func(number int) bool { return candidate.mine[number] != nil || candidate.claiming[number] }
		segment, ok = segments.SelectSegment(control.entry.incarnation, candidate.job.ID, len(candidate.job.Segments), candidate.known, live, skip)
		if ok {
			return candidate, segment, true
		}
		if len(candidate.mine)+len(candidate.claiming) == 0 && control.now.Sub(candidate.listed) > listAgain {
			control.list(candidate)
		}
	}
	return nil, 0, false
}

// jobsInOrder returns the jobs, those of the accounts with the fewest segments in hand for their weight first.
func (control *control) jobsInOrder() (jobs []*openJob) {
	held := map[string]int{}
	for _, open := range control.batches.jobs {
		held[open.job.Account] += len(open.mine) + len(open.claiming)
		jobs = append(jobs, open)
	}
	current := control.entry.configurations.Current()
	share := func(open *openJob) float64 {
		return float64(held[open.job.Account]) / max(current.Weight(open.job.Account, ""), 1e-6)
	}
	slices.SortFunc(jobs, func(a, b *openJob) int {
		if shareA, shareB := share(a), share(b); shareA != shareB {
			if shareA < shareB {
				return -1
			}
			return 1
		}
		if order := a.job.Created.Compare(b.job.Created); order != 0 {
			return order
		}
		return strings.Compare(a.job.ID, b.job.ID)
	})
	return jobs
}

func (control *control) list(open *openJob) {
	open.listing = true
	go control.entry.listSegments(control.ctx, open)
}

// listedEvent is the state of all the segments of a job.
type listedEvent struct {
	open  *openJob
	known map[int]openaibatch.Segment
	err   error
}

func (event listedEvent) apply(control *control) {
	open := event.open
	open.listing = false
	if event.err != nil {
		open.pausedTo = control.now.Add(claimPause)
		return
	}
	open.known, open.listed = event.known, control.now
	if counts, done := finished(open); done {
		go control.entry.finishJob(control.ctx, open, counts)
		open.pausedTo = control.now.Add(listAgain)
		return
	}
	control.claim()
}

// finished returns the counts of a job whose segments are all done.
func finished(open *openJob) (counts openaibatch.Counts, done bool) {
	for number := range open.job.Segments {
		segment, known := open.known[number]
		if !known || !segment.Done {
			return openaibatch.Counts{}, false
		}
		counts = counts.Add(segment.Counts)
	}
	return counts, true
}

// claimedEvent is the end of an attempt to claim a segment.
type claimedEvent struct {
	open     *openJob
	number   int
	segment  openaibatch.Segment
	revision int64
	data     []byte
	err      error
}

func (event claimedEvent) apply(control *control) {
	open := event.open
	control.batches.claiming--
	delete(open.claiming, event.number)
	if event.err != nil {
		if event.segment.Epoch > 0 {
			open.known[event.number] = event.segment // somebody else was faster
		} else {
			open.pausedTo = control.now.Add(claimPause)
		}
		control.entry.Log.Debug("segment was not claimed", zap.String("job", open.job.ID), zap.Int("segment", event.number), zap.Error(event.err))
		return
	}
	if control.batches.jobs[open.job.ID] != open {
		return // closed meanwhile
	}
	control.takeUp(event)
}

// takeUp queues the items of a segment that was claimed.
func (control *control) takeUp(event claimedEvent) {
	open, entry := event.open, control.entry
	current := entry.configurations.Current()
	items := segments.ParseItems(event.data, func(serviceName, path string) bool {
		service, ok := current.Service(serviceName)
		return !ok || service.Idempotent(path)
	})
	work, pending, lost := segments.NewTracker(event.segment, items)
	segment := &ownedSegment{
		open:     open,
		number:   event.number,
		work:     work,
		revision: event.revision,
		items:    map[int]segments.Item{},
		running:  map[int]context.CancelFunc{},
		verified: true,
		written:  control.now,
	}
	open.known[event.number] = event.segment
	open.mine[event.number] = segment
	control.batches.owned++
	for _, item := range pending {
		segment.items[item.Number] = item
		control.enqueue(segment, item)
	}
	for _, item := range lost {
		work.Record(lostResult(open.job, segment.number, item))
	}
	control.checkpointIfDue(segment)
	control.heartbeat()
}

// enqueue puts an item where it waits for a grant; one that may run nowhere ends at once.
func (control *control) enqueue(segment *ownedSegment, item segments.Item) {
	places, failure := control.entry.placesOf(segment.open.job.Account, item)
	if failure != nil {
		segment.work.Record(failedResult(segment.open.job, segment.number, item, failure))
		return
	}
	key := item.Service + "\x00" + strings.Join(places, "\x00")
	waiting, ok := control.batches.queues[key]
	if !ok {
		waiting = &queue{service: item.Service, places: places}
		control.batches.queues[key] = waiting
	}
	account := segment.open.job.Account
	weight := control.entry.configurations.Current().Weight(account, item.Service)
	// Without a bound on its length the queue takes everything; segments in hand are bounded.
	_ = waiting.items.Push(account, weight, itemTokens(item), queuedItem{segment: segment, item: item})
}

// dequeue returns the next item that may run on view.
func (control *control) dequeue(view *targetView) (queued queuedItem, ok bool) {
	for _, waiting := range control.batches.queues {
		if waiting.service != view.service || !slices.Contains(waiting.places, view.place) {
			continue
		}
		for {
			queued, ok = waiting.items.Pop()
			if !ok {
				break
			}
			if !queued.segment.dropped {
				return queued, true
			}
		}
	}
	return queuedItem{}, false
}

// backlog returns the number of items that could run in place, for each service.
func (control *control) backlog(place string) (services []peer.ServiceBacklog) {
	counts := map[string]int{}
	for key, waiting := range control.batches.queues {
		if waiting.items.Len() == 0 {
			delete(control.batches.queues, key)
			continue
		}
		if slices.Contains(waiting.places, place) {
			counts[waiting.service] += waiting.items.Len()
		}
	}
	for service, count := range counts {
		services = append(services, peer.ServiceBacklog{Service: service, Items: min(count, maxBacklog)})
	}
	return services
}

// cancelledJobs returns the jobs that target daemons have to stop.
func (control *control) cancelledJobs() (jobs []string) {
	for jobID := range control.batches.cancelled {
		jobs = append(jobs, jobID)
	}
	return jobs
}

// verify reads a segment's record again after a pause: another entry may have taken it over, or the job
// may have been cancelled.
func (control *control) verify(segment *ownedSegment) {
	if segment.dropped {
		return
	}
	segment.verified = false
	for number, cancel := range segment.running {
		// An item that must not run twice had better end.
		if segment.items[number].Idempotent {
			cancel()
		}
	}
	go control.entry.verifySegment(control.ctx, segment)
}

// verifiedEvent tells whether a segment is still this entry's.
type verifiedEvent struct {
	segment  *ownedSegment
	revision int64 // of the segment's record
	open     bool  // the job is still open
	err      error
}

func (event verifiedEvent) apply(control *control) {
	segment := event.segment
	switch {
	case segment.dropped:
	case event.err != nil:
		// The store is down: nobody can have taken the segment over since; a commit still finds out.
		segment.verified = true
	case !event.open || event.revision != segment.revision && !segment.writing:
		control.drop(segment)
	default:
		segment.verified = true
	}
}

// drainDaemonEvent is an operator's wish to drain a target daemon, or the end of it.
type drainDaemonEvent struct {
	daemon string
	ended  bool
}

func (event drainDaemonEvent) apply(control *control) {
	if event.ended {
		delete(control.drainRequests, event.daemon)
	} else {
		control.drainRequests[event.daemon] = true
	}
	control.heartbeat()
}

func (entry *Entry) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, storeCallTimeout)
}

// listSegments reads the records of all the segments of a job.
func (entry *Entry) listSegments(ctx context.Context, open *openJob) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event := listedEvent{open: open, known: map[int]openaibatch.Segment{}}
	answer, err := entry.store.List(ctx, etcd.OtherCall, etcd.SegmentsPrefix(open.job.ID), "", 0, false)
	if err != nil {
		event.err = err
		entry.send(event)
		return
	}
	for _, kv := range answer.KVs {
		number, ok := segmentNumber(kv)
		if ok {
			event.known[number] = decodeOr(kv, openaibatch.Segment{})
		}
	}
	entry.send(event)
}
