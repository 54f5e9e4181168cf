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
	maxOwnedSegments      = 32
	relistInterval        = 5 * time.Second
	storeRetryDelay       = 500 * time.Millisecond // after a failed claim
	checkpointInterval    = 30 * time.Second
	pauseThreshold        = 2 * time.Second  // between two ticks, from which on the process counts as having been paused
	maxReportedBacklog    = 512              // items told to a target daemon
	cancelBroadcastPeriod = 10 * time.Second // for which target daemons are told
	cancelledKeyTTL       = time.Minute      // after which the key of a cancelled job is deleted
	storeCallTimeout      = 10 * time.Second
)

// activeJob is a batch job that is neither finished nor cancelled, as far as this entry knows.
type activeJob struct {
	job            openaibatch.Job
	revision       int64                       // of the job's key below the open prefix
	segments       map[int]openaibatch.Segment // as they were when listed or tried last
	owned          map[int]*ownedSegment
	claiming       map[int]bool // claims under way
	listedAt       time.Time
	listing        bool
	claimNotBefore time.Time // no claims before
}

// ownedSegment is a segment that this entry works on.
type ownedSegment struct {
	job         *activeJob
	number      int
	tracker     *segments.Tracker
	revision    int64 // of the segment's record
	items       map[int]segments.Item
	running     map[int]context.CancelFunc
	abandoned   bool
	writing     bool // a checkpoint is under way
	verified    bool // after a pause, items run only once the record was read again
	committedAt time.Time
	retryAt     time.Time     // of a checkpoint that failed
	startMarks  []int         // non-idempotent items that wait for their mark
	unsentItems []grantedItem // what follows on the mark
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
	jobs           map[string]*activeJob
	queues         map[string]*queue
	liveEntries    map[string]Presence // incarnations of entries
	claimsInFlight int
	ownedCount     int
	cancelledUntil map[string]time.Time // jobs that target daemons are told of
}

func newBatchState() batchState {
	return batchState{
		jobs:           map[string]*activeJob{},
		queues:         map[string]*queue{},
		liveEntries:    map[string]Presence{},
		cancelledUntil: map[string]time.Time{},
	}
}

// liveKeysResetEvent says that the live keys are being read anew.
type liveKeysResetEvent struct{}

func (liveKeysResetEvent) apply(control *control) {
	clear(control.batches.liveEntries)
	for _, open := range control.batches.jobs {
		open.listedAt = time.Time{}
	}
}

// presenceEvent is an entry that has come or gone.
type presenceEvent struct {
	incarnation string
	deleted     bool
	presence    Presence
}

func (event presenceEvent) apply(control *control) {
	if event.deleted {
		delete(control.batches.liveEntries, event.incarnation)
	} else {
		control.batches.liveEntries[event.incarnation] = event.presence
	}
	entries := max(len(control.batches.liveEntries), control.entry.Settings.EntryCount)
	control.entry.rateLimiter.SetEntries(entries)
	control.publishFleet()
}

// jobActiveEvent is a job that wants to be worked on.
type jobActiveEvent struct {
	record   openaibatch.Job
	revision int64
}

func (event jobActiveEvent) apply(control *control) {
	if event.record.Status == openaibatch.Cancelled {
		control.stopCancelledJob(event.record)
		return
	}
	if _, known := control.batches.jobs[event.record.ID]; known || event.record.ID == "" {
		return
	}
	control.batches.jobs[event.record.ID] = &activeJob{
		job:      event.record,
		revision: event.revision,
		segments: map[int]openaibatch.Segment{},
		owned:    map[int]*ownedSegment{},
		claiming: map[int]bool{},
	}
	control.claimSegments()
}

// stopCancelledJob gives up a job and tells the target daemons, which stop its items also where their owner is
// paused or cut off.
func (control *control) stopCancelledJob(cancelled openaibatch.Job) {
	jobEndedEvent{jobID: cancelled.ID}.apply(control)
	if control.now.Sub(cancelled.Ended) > cancelledKeyTTL {
		go control.entry.deleteOpenKey(control.ctx, cancelled.ID)
		return
	}
	control.batches.cancelledUntil[cancelled.ID] = control.now.Add(cancelBroadcastPeriod)
	control.heartbeat()
}

// jobEndedEvent is a job that is over.
type jobEndedEvent struct {
	jobID string
}

func (event jobEndedEvent) apply(control *control) {
	open, known := control.batches.jobs[event.jobID]
	if !known {
		return
	}
	for _, segment := range open.owned {
		control.abandon(segment)
	}
	delete(control.batches.jobs, event.jobID)
}

// abandon gives up a segment: what runs is cancelled, nothing more is committed.
func (control *control) abandon(segment *ownedSegment) {
	if segment.abandoned {
		return
	}
	segment.abandoned = true
	control.batches.ownedCount--
	delete(segment.job.owned, segment.number)
	for _, cancel := range segment.running {
		cancel()
	}
}

// tickBatches does what is due by time.
func (control *control) tickBatches(paused bool) {
	for _, open := range control.batches.jobs {
		for _, segment := range open.owned {
			if paused {
				control.verify(segment)
			}
			control.checkpointIfDue(segment)
		}
	}
	for jobID, until := range control.batches.cancelledUntil {
		if control.now.After(until) {
			delete(control.batches.cancelledUntil, jobID)
		}
	}
	control.claimSegments()
}

// claimSegments takes up segments as long as there is room, the account with the least in hand first.
func (control *control) claimSegments() {
	if control.entry.presenceLease.Load() == 0 || control.entry.draining.Load() {
		return
	}
	for control.batches.ownedCount+control.batches.claimsInFlight < maxOwnedSegments {
		open, segment, ok := control.selectSegment()
		if !ok {
			return
		}
		control.batches.claimsInFlight++
		open.claiming[segment] = true
		go control.entry.claimSegment(control.ctx, open, segment, open.segments[segment])
	}
}

func (control *control) selectSegment() (open *activeJob, segment int, ok bool) {
	for _, candidate := range control.jobsByShare() {
		if control.now.Before(candidate.claimNotBefore) || candidate.listing {
			continue
		}
		if candidate.listedAt.IsZero() {
			control.startListing(candidate)
			continue
		}
		// A segment in this entry's name that it does not have in hand comes from a claim whose answer was lost.
		live := make(map[string]bool, len(control.batches.liveEntries))
		for incarnation := range control.batches.liveEntries {
			live[incarnation] = incarnation != control.entry.incarnation
		}
		skip := func(number int) bool { return candidate.owned[number] != nil || candidate.claiming[number] }
		segment, ok = segments.SelectSegment(control.entry.incarnation, candidate.job.ID, len(candidate.job.Segments), candidate.segments, live, skip)
		if ok {
			return candidate, segment, true
		}
		if len(candidate.owned)+len(candidate.claiming) == 0 && control.now.Sub(candidate.listedAt) > relistInterval {
			control.startListing(candidate)
		}
	}
	return nil, 0, false
}

// jobsByShare returns the jobs, those of the accounts with the fewest segments in hand for their weight first.
func (control *control) jobsByShare() (jobs []*activeJob) {
	held := map[string]int{}
	for _, open := range control.batches.jobs {
		held[open.job.Account] += len(open.owned) + len(open.claiming)
		jobs = append(jobs, open)
	}
	current := control.entry.configurations.Current()
	share := func(open *activeJob) float64 {
		return float64(held[open.job.Account]) / max(current.Weight(open.job.Account, ""), 1e-6)
	}
	slices.SortFunc(jobs, func(a, b *activeJob) int {
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

func (control *control) startListing(open *activeJob) {
	open.listing = true
	go control.entry.listSegments(control.ctx, open)
}

// segmentsListedEvent is the state of all the segments of a job.
type segmentsListedEvent struct {
	open  *activeJob
	known map[int]openaibatch.Segment
	err   error
}

func (event segmentsListedEvent) apply(control *control) {
	open := event.open
	open.listing = false
	if event.err != nil {
		open.claimNotBefore = control.now.Add(storeRetryDelay)
		return
	}
	open.segments, open.listedAt = event.known, control.now
	if counts, done := finalCounts(open); done {
		go control.entry.finishJob(control.ctx, open, counts)
		open.claimNotBefore = control.now.Add(relistInterval)
		return
	}
	control.claimSegments()
}

// finalCounts returns the counts of a job whose segments are all done.
func finalCounts(open *activeJob) (counts openaibatch.Counts, done bool) {
	for number := range open.job.Segments {
		segment, known := open.segments[number]
		if !known || !segment.Done {
			return openaibatch.Counts{}, false
		}
		counts = counts.Add(segment.Counts)
	}
	return counts, true
}

// claimResultEvent is the end of an attempt to claim a segment.
type claimResultEvent struct {
	open     *activeJob
	number   int
	segment  openaibatch.Segment
	revision int64
	data     []byte
	err      error
}

func (event claimResultEvent) apply(control *control) {
	open := event.open
	control.batches.claimsInFlight--
	delete(open.claiming, event.number)
	if event.err != nil {
		if event.segment.Epoch > 0 {
			open.segments[event.number] = event.segment // somebody else was faster
		} else {
			open.claimNotBefore = control.now.Add(storeRetryDelay)
		}
		control.entry.Log.Debug("segment was not claimed", zap.String("job", open.job.ID), zap.Int("segment", event.number), zap.Error(event.err))
		return
	}
	if control.batches.jobs[open.job.ID] != open {
		return // closed meanwhile
	}
	control.adoptSegment(event)
}

// adoptSegment queues the items of a segment that was claimed.
func (control *control) adoptSegment(event claimResultEvent) {
	open, entry := event.open, control.entry
	current := entry.configurations.Current()
	items := segments.ParseItems(event.data, func(serviceName, path string) bool {
		service, ok := current.Service(serviceName)
		return !ok || service.Idempotent(path)
	})
	work, pending, lost := segments.NewTracker(event.segment, items)
	segment := &ownedSegment{
		job:         open,
		number:      event.number,
		tracker:     work,
		revision:    event.revision,
		items:       map[int]segments.Item{},
		running:     map[int]context.CancelFunc{},
		verified:    true,
		committedAt: control.now,
	}
	open.segments[event.number] = event.segment
	open.owned[event.number] = segment
	control.batches.ownedCount++
	for _, item := range pending {
		segment.items[item.Number] = item
		control.enqueue(segment, item)
	}
	for _, item := range lost {
		work.Record(unknownResult(open.job, segment.number, item))
	}
	control.checkpointIfDue(segment)
	control.heartbeat()
}

// enqueue puts an item where it waits for a grant; one that may run nowhere ends at once.
func (control *control) enqueue(segment *ownedSegment, item segments.Item) {
	places, failure := control.entry.placesOf(segment.job.job.Account, item)
	if failure != nil {
		segment.tracker.Record(errorResult(segment.job.job, segment.number, item, failure))
		return
	}
	key := item.Service + "\x00" + strings.Join(places, "\x00")
	waiting, ok := control.batches.queues[key]
	if !ok {
		waiting = &queue{service: item.Service, places: places}
		control.batches.queues[key] = waiting
	}
	account := segment.job.job.Account
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
			if !queued.segment.abandoned {
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
		services = append(services, peer.ServiceBacklog{Service: service, Items: min(count, maxReportedBacklog)})
	}
	return services
}

// cancelledJobs returns the jobs that target daemons have to stop.
func (control *control) cancelledJobs() (jobs []string) {
	for jobID := range control.batches.cancelledUntil {
		jobs = append(jobs, jobID)
	}
	return jobs
}

// verify reads a segment's record again after a pause: another entry may have taken it over, or the job
// may have been cancelled.
func (control *control) verify(segment *ownedSegment) {
	if segment.abandoned {
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

// segmentVerifiedEvent tells whether a segment is still this entry's.
type segmentVerifiedEvent struct {
	segment  *ownedSegment
	revision int64 // of the segment's record
	jobOpen  bool  // the job is still open
	err      error
}

func (event segmentVerifiedEvent) apply(control *control) {
	segment := event.segment
	switch {
	case segment.abandoned:
	case event.err != nil:
		// The store is down: nobody can have taken the segment over since; a commit still finds out.
		segment.verified = true
	case !event.jobOpen || event.revision != segment.revision && !segment.writing:
		control.abandon(segment)
	default:
		segment.verified = true
	}
}

// drainDaemonEvent is an operator's wish to drain a target daemon, or the end of it.
type drainDaemonEvent struct {
	daemon    string
	cancelled bool
}

func (event drainDaemonEvent) apply(control *control) {
	if event.cancelled {
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
func (entry *Entry) listSegments(ctx context.Context, open *activeJob) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event := segmentsListedEvent{open: open, known: map[int]openaibatch.Segment{}}
	answer, err := entry.store.List(ctx, etcd.OtherCall, etcd.SegmentsPrefix(open.job.ID), "", 0, false)
	if err != nil {
		event.err = err
		entry.send(event)
		return
	}
	for _, kv := range answer.KVs {
		number, ok := parseSegmentNumber(kv)
		if ok {
			event.known[number] = decodeOrDefault(kv, openaibatch.Segment{})
		}
	}
	entry.send(event)
}
