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
	maxOwnedSegments      = 32                     // including claims in flight
	relistInterval        = 5 * time.Second        // minimum age of a list of segment records before it is read again
	storeRetryDelay       = 500 * time.Millisecond // after a failed list, claim or commit
	commitInterval        = 30 * time.Second       // for segments with uncommitted results
	pauseThreshold        = 2 * time.Second        // a longer gap between two ticks means that the process was paused
	maxReportedBacklog    = 512                    // items of one service
	cancelBroadcastPeriod = 10 * time.Second       // how long heartbeats name a cancelled job
	cancelledKeyTTL       = time.Minute            // before the active-job key of a cancelled job is deleted
	storeCallTimeout      = 10 * time.Second
)

// activeJob is a batch job that this entry does not know to be finished or cancelled.
type activeJob struct {
	record         openaibatch.Job
	revision       int64                       // of the active-job key
	segmentRecords map[int]openaibatch.Segment // by segment number, as last listed, claimed or committed
	owned          map[int]*ownedSegment
	claimsPending  map[int]bool // segments that are being claimed
	listedAt       time.Time    // zero if the segment records must be listed
	listing        bool         // the segment records are being listed
	claimNotBefore time.Time    // earliest time of the next claim
}

// ownedSegment is a segment that this entry has claimed.
type ownedSegment struct {
	job               *activeJob
	number            int
	tracker           *segments.Tracker
	revision          int64                      // of the segment record
	items             map[int]segments.Item      // by number, unfinished when the segment was claimed
	running           map[int]context.CancelFunc // by item number
	released          bool                       // set by release; the entry then neither runs nor commits its items
	committing        bool                       // a commit is in progress
	ownershipVerified bool                       // false after a pause, until the segment record has been read again
	committedAt       time.Time                  // of the last commit, or of the claim
	commitNotBefore   time.Time                  // set when a commit fails
	startMarks        []int                      // non-idempotent items that the next commit marks as started
	unsentItems       []grantedItem              // the same items, which are sent after that commit
}

// queuedItem is an item that waits for a grant.
type queuedItem struct {
	segment *ownedSegment
	item    segments.Item
}

// queue holds the queued items of one service that may run in the same places.
type queue struct {
	service string
	places  []string
	items   fairqueue.Queue[queuedItem]
}

// batchState is the batch job state of the control goroutine.
type batchState struct {
	jobs           map[string]*activeJob // by job ID
	queues         map[string]*queue     // by service and places
	liveEntries    map[string]Presence   // by incarnation
	claimsInFlight int                   // segments being claimed
	ownedCount     int                   // segments owned
	cancelledUntil map[string]time.Time  // by job ID, when heartbeats stop naming the cancelled job
}

func newBatchState() batchState {
	return batchState{
		jobs:           map[string]*activeJob{},
		queues:         map[string]*queue{},
		liveEntries:    map[string]Presence{},
		cancelledUntil: map[string]time.Time{},
	}
}

// watchedKeysResetEvent precedes a complete reading of the watched keys. It clears the set of live entries and has the
// segment records of every job listed again.
type watchedKeysResetEvent struct{}

func (watchedKeysResetEvent) apply(control *control) {
	clear(control.batches.liveEntries)
	for _, job := range control.batches.jobs {
		job.listedAt = time.Time{}
	}
}

// presenceEvent reports that the presence record of an entry was read, written or deleted.
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

// jobActiveEvent reports the record under an active-job key. The job is in progress, or was cancelled recently.
type jobActiveEvent struct {
	record   openaibatch.Job
	revision int64
}

func (event jobActiveEvent) apply(control *control) {
	if event.record.Status == openaibatch.Cancelled {
		control.handleCancelledJob(event.record)
		return
	}
	if _, exists := control.batches.jobs[event.record.ID]; exists || event.record.ID == "" {
		return
	}
	control.batches.jobs[event.record.ID] = &activeJob{
		record:         event.record,
		revision:       event.revision,
		segmentRecords: map[int]openaibatch.Segment{},
		owned:          map[int]*ownedSegment{},
		claimsPending:  map[int]bool{},
	}
	control.claimSegments()
}

// handleCancelledJob releases the segments of a cancelled job and names the job in heartbeats, so that target daemons
// stop its items even if the entry that owns them is paused or disconnected.
func (control *control) handleCancelledJob(cancelled openaibatch.Job) {
	jobEndedEvent{jobID: cancelled.ID}.apply(control)
	if control.now.Sub(cancelled.Ended) > cancelledKeyTTL {
		go control.entry.deleteActiveKey(control.ctx, cancelled.ID)
		return
	}
	control.batches.cancelledUntil[cancelled.ID] = control.now.Add(cancelBroadcastPeriod)
	control.heartbeat()
}

// jobEndedEvent reports that the active-job key of a job was deleted.
type jobEndedEvent struct {
	jobID string
}

func (event jobEndedEvent) apply(control *control) {
	job, exists := control.batches.jobs[event.jobID]
	if !exists {
		return
	}
	for _, segment := range job.owned {
		control.release(segment)
	}
	delete(control.batches.jobs, event.jobID)
}

// release cancels the running items of a segment and stops its commits. It is used for completed segments too.
func (control *control) release(segment *ownedSegment) {
	if segment.released {
		return
	}
	segment.released = true
	control.batches.ownedCount--
	delete(segment.job.owned, segment.number)
	for _, cancel := range segment.running {
		cancel()
	}
}

// tickBatches runs the periodic tasks of batch jobs. paused reports whether the process was paused before this tick.
func (control *control) tickBatches(paused bool) {
	for _, job := range control.batches.jobs {
		for _, segment := range job.owned {
			if paused {
				control.startVerification(segment)
			}
			control.commitIfDue(segment)
		}
	}
	for jobID, until := range control.batches.cancelledUntil {
		if control.now.After(until) {
			delete(control.batches.cancelledUntil, jobID)
		}
	}
	control.claimSegments()
}

// claimSegments starts claiming segments, up to maxOwnedSegments, first those of the accounts that own the fewest
// segments per weight. It does nothing while the entry has no presence lease or is draining.
func (control *control) claimSegments() {
	if control.entry.presenceLease.Load() == 0 || control.entry.draining.Load() {
		return
	}
	for control.batches.ownedCount+control.batches.claimsInFlight < maxOwnedSegments {
		job, segment, ok := control.selectSegment()
		if !ok {
			return
		}
		control.batches.claimsInFlight++
		job.claimsPending[segment] = true
		go control.entry.claimSegment(control.ctx, job, segment, job.segmentRecords[segment])
	}
}

// selectSegment returns the next segment to claim. It starts listing the segment records of jobs where they are missing
// or old.
func (control *control) selectSegment() (job *activeJob, segment int, ok bool) {
	for _, candidate := range control.jobsByShare() {
		if control.now.Before(candidate.claimNotBefore) || candidate.listing {
			continue
		}
		if candidate.listedAt.IsZero() {
			control.startListing(candidate)
			continue
		}
		// This incarnation counts as not live: a segment that it owns in the store, but not in memory, comes from a claim
		// whose response was lost, and is claimed again.
		live := make(map[string]bool, len(control.batches.liveEntries))
		for incarnation := range control.batches.liveEntries {
			live[incarnation] = incarnation != control.entry.incarnation
		}
		skip := func(number int) bool { return candidate.owned[number] != nil || candidate.claimsPending[number] }
		segment, ok = segments.SelectSegment(control.entry.incarnation, candidate.record.ID, len(candidate.record.Segments), candidate.segmentRecords, live, skip)
		if ok {
			return candidate, segment, true
		}
		if len(candidate.owned)+len(candidate.claimsPending) == 0 && control.now.Sub(candidate.listedAt) > relistInterval {
			control.startListing(candidate)
		}
	}
	return nil, 0, false
}

// jobsByShare returns the active jobs in claiming order: first those of the accounts with the fewest owned segments per
// weight, then by time of creation and ID.
func (control *control) jobsByShare() (jobs []*activeJob) {
	segmentCounts := map[string]int{}
	for _, job := range control.batches.jobs {
		segmentCounts[job.record.Account] += len(job.owned) + len(job.claimsPending)
		jobs = append(jobs, job)
	}
	current := control.entry.configurations.Current()
	share := func(job *activeJob) float64 {
		return float64(segmentCounts[job.record.Account]) / max(current.Weight(job.record.Account, ""), 1e-6)
	}
	slices.SortFunc(jobs, func(a, b *activeJob) int {
		if shareA, shareB := share(a), share(b); shareA != shareB {
			if shareA < shareB {
				return -1
			}
			return 1
		}
		if order := a.record.Created.Compare(b.record.Created); order != 0 {
			return order
		}
		return strings.Compare(a.record.ID, b.record.ID)
	})
	return jobs
}

// startListing starts reading the segment records of a job.
func (control *control) startListing(job *activeJob) {
	job.listing = true
	go control.entry.listSegments(control.ctx, job)
}

// segmentsListedEvent holds the segment records of a job, by segment number.
type segmentsListedEvent struct {
	job     *activeJob
	records map[int]openaibatch.Segment
	err     error
}

func (event segmentsListedEvent) apply(control *control) {
	job := event.job
	job.listing = false
	if event.err != nil {
		job.claimNotBefore = control.now.Add(storeRetryDelay)
		return
	}
	job.segmentRecords, job.listedAt = event.records, control.now
	if counts, done := finalCounts(job); done {
		go control.entry.finishJob(control.ctx, job, counts)
		job.claimNotBefore = control.now.Add(relistInterval)
		return
	}
	control.claimSegments()
}

// finalCounts returns the sum of the counts of all segments; done is false unless all segments are done.
func finalCounts(job *activeJob) (counts openaibatch.Counts, done bool) {
	for number := range job.record.Segments {
		segment, exists := job.segmentRecords[number]
		if !exists || !segment.Done {
			return openaibatch.Counts{}, false
		}
		counts = counts.Add(segment.Counts)
	}
	return counts, true
}

// claimResultEvent is the result of claiming a segment.
type claimResultEvent struct {
	job      *activeJob
	number   int
	segment  openaibatch.Segment // as claimed; after an error, as last read
	revision int64               // of the segment record
	data     []byte              // the items, one per line
	err      error
}

func (event claimResultEvent) apply(control *control) {
	job := event.job
	control.batches.claimsInFlight--
	delete(job.claimsPending, event.number)
	if event.err != nil {
		if event.segment.Epoch > 0 {
			job.segmentRecords[event.number] = event.segment // another entry may have claimed it first
		} else {
			job.claimNotBefore = control.now.Add(storeRetryDelay)
		}
		control.entry.Log.Debug("segment not claimed", zap.String("job", job.record.ID), zap.Int("segment", event.number), zap.Error(event.err))
		return
	}
	if control.batches.jobs[job.record.ID] != job {
		return // the job has ended in the meantime
	}
	control.adoptSegment(event)
}

// adoptSegment queues the pending items of a claimed segment. Non-idempotent items that a previous owner may have sent
// get an error result.
func (control *control) adoptSegment(event claimResultEvent) {
	job, entry := event.job, control.entry
	current := entry.configurations.Current()
	items := segments.ParseItems(event.data, func(serviceName, path string) bool {
		service, ok := current.Service(serviceName)
		return !ok || service.Idempotent(path)
	})
	tracker, pending, lost := segments.NewTracker(event.segment, items)
	segment := &ownedSegment{
		job:               job,
		number:            event.number,
		tracker:           tracker,
		revision:          event.revision,
		items:             map[int]segments.Item{},
		running:           map[int]context.CancelFunc{},
		ownershipVerified: true,
		committedAt:       control.now,
	}
	job.segmentRecords[event.number] = event.segment
	job.owned[event.number] = segment
	control.batches.ownedCount++
	for _, item := range pending {
		segment.items[item.Number] = item
		control.enqueue(segment, item)
	}
	for _, item := range lost {
		tracker.Record(unknownResult(job.record, segment.number, item))
	}
	control.commitIfDue(segment)
	control.heartbeat()
}

// enqueue adds an item to the queue of its service and places. An item without a permitted place gets an error result.
func (control *control) enqueue(segment *ownedSegment, item segments.Item) {
	places, failure := control.entry.placesOf(segment.job.record.Account, item)
	if failure != nil {
		segment.tracker.Record(errorResult(segment.job.record, segment.number, item, failure))
		return
	}
	key := item.Service + "\x00" + strings.Join(places, "\x00")
	itemQueue, ok := control.batches.queues[key]
	if !ok {
		itemQueue = &queue{service: item.Service, places: places}
		control.batches.queues[key] = itemQueue
	}
	account := segment.job.record.Account
	weight := control.entry.configurations.Current().Weight(account, item.Service)
	// The queue has no length limit, so Push always succeeds; maxOwnedSegments bounds the number of items.
	_ = itemQueue.items.Push(account, weight, itemTokens(item), queuedItem{segment: segment, item: item})
}

// dequeue returns the next queued item that may run on the target of view.
func (control *control) dequeue(view *targetView) (queued queuedItem, ok bool) {
	for _, itemQueue := range control.batches.queues {
		if itemQueue.service != view.service || !slices.Contains(itemQueue.places, view.place) {
			continue
		}
		for {
			queued, ok = itemQueue.items.Pop()
			if !ok {
				break
			}
			if !queued.segment.released {
				return queued, true
			}
		}
	}
	return queuedItem{}, false
}

// backlog returns the number of queued items per service that may run in place, at most maxReportedBacklog each.
func (control *control) backlog(place string) (services []peer.ServiceBacklog) {
	counts := map[string]int{}
	for key, itemQueue := range control.batches.queues {
		if itemQueue.items.Len() == 0 {
			delete(control.batches.queues, key)
			continue
		}
		if slices.Contains(itemQueue.places, place) {
			counts[itemQueue.service] += itemQueue.items.Len()
		}
	}
	for service, count := range counts {
		services = append(services, peer.ServiceBacklog{Service: service, Items: min(count, maxReportedBacklog)})
	}
	return services
}

// cancelledJobs returns the IDs of the jobs whose items target daemons must stop.
func (control *control) cancelledJobs() (jobs []string) {
	for jobID := range control.batches.cancelledUntil {
		jobs = append(jobs, jobID)
	}
	return jobs
}

// startVerification starts reading a segment record again after a pause, during which another entry may have claimed
// the segment or the job may have been cancelled.
func (control *control) startVerification(segment *ownedSegment) {
	if segment.released {
		return
	}
	segment.ownershipVerified = false
	for number, cancel := range segment.running {
		// Idempotent items can be retried. A non-idempotent item continues, because it must not run twice.
		if segment.items[number].Idempotent {
			cancel()
		}
	}
	go control.entry.verifySegment(control.ctx, segment)
}

// segmentVerifiedEvent is the result of reading a segment record and its active-job key again.
type segmentVerifiedEvent struct {
	segment   *ownedSegment
	revision  int64 // of the segment record
	jobActive bool  // the active-job key is unchanged
	err       error
}

func (event segmentVerifiedEvent) apply(control *control) {
	segment := event.segment
	switch {
	case segment.released:
	case event.err != nil:
		// While the store is unavailable to all entries, none can claim the segment. If another entry has claimed it,
		// because only this one cannot reach the store or before the store failed, the next commit fails with a conflict.
		segment.ownershipVerified = true
	case !event.jobActive || event.revision != segment.revision && !segment.committing:
		control.release(segment)
	default:
		segment.ownershipVerified = true
	}
}

// drainDaemonEvent reports that an operator requested the drain of a target daemon, or cancelled the request.
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

// storeContext returns a context that limits store calls to storeCallTimeout.
func (entry *Entry) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, storeCallTimeout)
}

// listSegments reads all segment records of a job and sends them as a segmentsListedEvent.
func (entry *Entry) listSegments(ctx context.Context, job *activeJob) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event := segmentsListedEvent{job: job, records: map[int]openaibatch.Segment{}}
	response, err := entry.store.List(ctx, etcd.OtherCall, etcd.SegmentsPrefix(job.record.ID), "", 0, false)
	if err != nil {
		event.err = err
		entry.send(event)
		return
	}
	for _, kv := range response.KVs {
		number, ok := segmentNumberOf(kv)
		if ok {
			event.records[number] = decodeOrDefault(kv, openaibatch.Segment{})
		}
	}
	entry.send(event)
}
