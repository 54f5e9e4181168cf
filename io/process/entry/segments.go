package entry

import (
	"context"
	"strconv"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
	"go.uber.org/zap"

	"cowslipway/core/coordination/segments"
	"cowslipway/core/state/openaibatch"
	"cowslipway/io/protocol/etcd"
)

// An error would mean options that do not exist.
var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(4*openaibatch.MaxSegmentBytes), zstd.WithDecoderConcurrency(1))
)

func parseSegmentNumber(kv etcd.KeyValue) (number int, ok bool) {
	number, err := strconv.Atoi(etcd.LastElement(string(kv.Key)))
	return number, err == nil
}

// claimSegment makes this entry the owner of a segment and reads its items.
func (entry *Entry) claimSegment(ctx context.Context, open *activeJob, number int, known openaibatch.Segment) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event := claimResultEvent{open: open, number: number, segment: known}
	event.segment, event.revision, event.err = entry.writeOwnership(ctx, open, number, known)
	if event.err == nil {
		event.data, event.err = entry.readSegmentData(ctx, open.job.UploadID, number)
	}
	entry.send(event)
}

func (entry *Entry) writeOwnership(ctx context.Context, open *activeJob, number int, known openaibatch.Segment) (segment openaibatch.Segment, revision int64, err error) {
	defer func() { err = errors.Annotatef(err, "claiming segment %d of job %q", number, open.job.ID) }()
	key := etcd.SegmentKey(open.job.ID, number)
	if known.Epoch > 0 {
		current, err := etcd.Read[openaibatch.Segment](ctx, entry.store, etcd.CommitCall, key)
		if err != nil {
			return known, 0, err
		}
		known, revision = current.Value, current.Revision
		if known.Done {
			return known, 0, etcd.ErrConflict
		}
	}
	segment = known.WithOwner(entry.incarnation)
	operation := etcd.NewOperation()
	data, err := etcd.Encode(operation, segment)
	if err != nil {
		return known, 0, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{
			etcd.Unchanged(key, revision),
			etcd.Unchanged(etcd.ActiveJobKey(open.job.ID), open.revision),
			etcd.Present(etcd.EntryKey(entry.incarnation)),
		},
		Success: []etcd.RequestOp{etcd.Put(key, data)},
	}
	if known.Owner != "" && known.Owner != entry.incarnation {
		txn.Compare = append(txn.Compare, etcd.Absent(etcd.EntryKey(known.Owner)))
	}
	revision, err = etcd.Commit(ctx, entry.store, etcd.CommitCall, txn, key, operation)
	if errors.Is(err, etcd.ErrConflict) {
		current, readErr := etcd.Read[openaibatch.Segment](ctx, entry.store, etcd.CommitCall, key)
		if readErr == nil {
			known = current.Value
		}
	}
	if err != nil {
		return known, 0, err
	}
	return segment, revision, nil
}

func (entry *Entry) readSegmentData(ctx context.Context, upload string, number int) (data []byte, err error) {
	defer func() { err = errors.Annotatef(err, "reading segment %d of upload %q", number, upload) }()
	kv, ok, err := entry.store.Get(ctx, etcd.CommitCall, etcd.UploadSegmentKey(upload, number))
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errors.NotFoundf("segment")
	}
	return decompressor.DecodeAll(kv.Value, nil)
}

// verifySegment reads whether a segment and its job are still as this entry knows them.
func (entry *Entry) verifySegment(ctx context.Context, segment *ownedSegment) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event := segmentVerifiedEvent{segment: segment}
	record, err := etcd.Read[openaibatch.Segment](ctx, entry.store, etcd.CommitCall, etcd.SegmentKey(segment.job.job.ID, segment.number))
	if err == nil {
		event.revision = record.Revision
		var open etcd.KeyValue
		open, event.jobOpen, err = entry.store.Get(ctx, etcd.CommitCall, etcd.ActiveJobKey(segment.job.job.ID))
		event.jobOpen = event.jobOpen && open.ModRevision == segment.job.revision
	}
	event.err = err
	entry.send(event)
}

// finishJob ends a job whose segments are all done.
func (entry *Entry) finishJob(ctx context.Context, open *activeJob, counts openaibatch.Counts) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	if err := entry.endJob(ctx, open.job, open.revision, openaibatch.Completed, counts); err != nil && !errors.Is(err, etcd.ErrConflict) {
		entry.Log.Warn("job could not be finished yet", zap.String("job", open.job.ID), zap.Error(err))
	}
}

// checkpointIfDue writes the progress of a segment when it is complete, when marks are wanted, or after a while.
func (control *control) checkpointIfDue(segment *ownedSegment) {
	due := segment.tracker.Complete() || len(segment.startMarks) > 0 ||
		segment.tracker.Uncommitted() > 0 && control.now.Sub(segment.committedAt) > checkpointInterval
	if segment.abandoned || segment.writing || !due || control.now.Before(segment.retryAt) {
		return
	}
	segment.writing = true
	event := checkpointWrittenEvent{
		segment:     segment,
		checkpoint:  segment.tracker.PrepareCommit(segment.startMarks...),
		unsentItems: segment.unsentItems,
	}
	segment.startMarks, segment.unsentItems = nil, nil
	go control.entry.writeCheckpoint(control.ctx, event, segment.revision)
}

// checkpointWrittenEvent is the end of a write of progress.
type checkpointWrittenEvent struct {
	segment     *ownedSegment
	checkpoint  segments.Commit
	unsentItems []grantedItem
	revision    int64
	err         error
}

func (event checkpointWrittenEvent) apply(control *control) {
	segment := event.segment
	segment.writing = false
	if segment.abandoned {
		return
	}
	if errors.Is(event.err, etcd.ErrConflict) {
		// Somebody else owns the segment, or the job is over: what was found out here does not count.
		control.entry.Log.Info("segment was lost", zap.String("job", segment.job.job.ID), zap.Int("segment", segment.number))
		control.abandon(segment)
		return
	}
	if event.err != nil {
		// The store is down: results are kept until they can be committed. The marks may be in the store or
		// not; the items are sent only once they certainly are.
		segment.retryAt = control.now.Add(storeRetryDelay)
		for _, launch := range event.unsentItems {
			control.enqueue(segment, launch.item)
		}
		return
	}
	segment.revision, segment.committedAt = event.revision, control.now
	segment.tracker.ApplyCommit(event.checkpoint)
	segment.job.segments[segment.number] = segment.tracker.Segment
	for _, launch := range event.unsentItems {
		control.startItem(segment, launch)
	}
	if !segment.tracker.Segment.Done {
		control.checkpointIfDue(segment)
		return
	}
	control.abandon(segment)
	if counts, done := finalCounts(segment.job); done {
		go control.entry.finishJob(control.ctx, segment.job, counts)
	}
	control.claimSegments()
}

func (entry *Entry) writeCheckpoint(ctx context.Context, event checkpointWrittenEvent, revision int64) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event.revision, event.err = entry.commitCheckpoint(ctx, event.segment, event.checkpoint, revision)
	entry.send(event)
}

func (entry *Entry) commitCheckpoint(ctx context.Context, segment *ownedSegment, checkpoint segments.Commit, revision int64) (committed int64, err error) {
	jobID := segment.job.job.ID
	key := etcd.SegmentKey(jobID, segment.number)
	operation := etcd.NewOperation()
	data, err := etcd.Encode(operation, checkpoint.Segment)
	if err != nil {
		return 0, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{
			etcd.Unchanged(key, revision),
			etcd.Unchanged(etcd.ActiveJobKey(jobID), segment.job.revision),
		},
		Success: []etcd.RequestOp{etcd.Put(key, data)},
	}
	if len(checkpoint.Results) > 0 {
		part := etcd.ResultKey(jobID, segment.number, checkpoint.Chunk.Epoch, checkpoint.Chunk.Number)
		txn.Success = append(txn.Success, etcd.Put(part, encodeResults(checkpoint.Results)))
	}
	return etcd.Commit(ctx, entry.store, etcd.CommitCall, txn, key, operation)
}

const (
	outputMark = 'o'
	errorMark  = 'e'
)

// encodeResults packs results: a line each, marked by the file that it belongs to.
func encodeResults(results []segments.Result) []byte {
	var lines []byte
	for _, result := range results {
		mark := byte(errorMark)
		if result.Succeeded {
			mark = outputMark
		}
		lines = append(append(append(lines, mark), result.Line...), '\n')
	}
	return compressor.EncodeAll(lines, nil)
}
