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

// zstd returns an error only for invalid options, and these are constant.
var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(4*openaibatch.MaxSegmentBytes), zstd.WithDecoderConcurrency(1))
)

// segmentNumberOf returns the number of the segment whose record or data kv holds.
func segmentNumberOf(kv etcd.KeyValue) (number int, ok bool) {
	number, err := strconv.Atoi(etcd.LastElement(string(kv.Key)))
	return number, err == nil
}

// claimSegment makes this entry the owner of a segment, reads its items and sends a claimResultEvent.
func (entry *Entry) claimSegment(ctx context.Context, job *activeJob, number int, previous openaibatch.Segment) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event := claimResultEvent{job: job, number: number, segment: previous}
	event.segment, event.revision, event.err = entry.writeOwnership(ctx, job, number, previous)
	if event.err == nil {
		event.data, event.err = entry.readSegmentData(ctx, job.record.UploadID, number)
	}
	entry.send(event)
}

// writeOwnership writes the segment record with this entry as owner and an incremented epoch. It returns
// [etcd.ErrConflict] if the segment is done, the job has ended, this entry's presence lease has expired, or the
// previous owner is live or has changed. With an error it returns the record as last read.
func (entry *Entry) writeOwnership(ctx context.Context, job *activeJob, number int, previous openaibatch.Segment) (segment openaibatch.Segment, revision int64, err error) {
	defer func() { err = errors.Annotatef(err, "claiming segment %d of job %q", number, job.record.ID) }()
	key := etcd.SegmentKey(job.record.ID, number)
	if previous.Epoch > 0 {
		current, err := etcd.Read[openaibatch.Segment](ctx, entry.store, etcd.CommitCall, key)
		if err != nil {
			return previous, 0, err
		}
		previous, revision = current.Value, current.Revision
		if previous.Done {
			return previous, 0, etcd.ErrConflict
		}
	}
	segment = previous.WithOwner(entry.incarnation)
	operationID := etcd.NewOperation()
	data, err := etcd.Encode(operationID, segment)
	if err != nil {
		return previous, 0, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{
			etcd.Unchanged(key, revision),
			etcd.Unchanged(etcd.ActiveJobKey(job.record.ID), job.revision),
			etcd.Present(etcd.EntryKey(entry.incarnation)),
		},
		Success: []etcd.RequestOp{etcd.Put(key, data)},
	}
	if previous.Owner != "" && previous.Owner != entry.incarnation {
		txn.Compare = append(txn.Compare, etcd.Absent(etcd.EntryKey(previous.Owner)))
	}
	revision, err = etcd.Commit(ctx, entry.store, etcd.CommitCall, txn, key, operationID)
	if errors.Is(err, etcd.ErrConflict) {
		current, readErr := etcd.Read[openaibatch.Segment](ctx, entry.store, etcd.CommitCall, key)
		if readErr == nil {
			previous = current.Value
		}
	}
	if err != nil {
		return previous, 0, err
	}
	return segment, revision, nil
}

// readSegmentData returns the items of a segment of an upload, one JSON object per line.
func (entry *Entry) readSegmentData(ctx context.Context, upload string, number int) (data []byte, err error) {
	defer func() { err = errors.Annotatef(err, "reading segment %d of upload %q", number, upload) }()
	kv, ok, err := entry.store.Get(ctx, etcd.CommitCall, etcd.UploadSegmentKey(upload, number))
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errors.NotFoundf("segment data")
	}
	return decompressor.DecodeAll(kv.Value, nil)
}

// verifySegment reads the segment record and the active-job key again and sends a segmentVerifiedEvent.
func (entry *Entry) verifySegment(ctx context.Context, segment *ownedSegment) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event := segmentVerifiedEvent{segment: segment}
	record, err := etcd.Read[openaibatch.Segment](ctx, entry.store, etcd.CommitCall, etcd.SegmentKey(segment.job.record.ID, segment.number))
	if err == nil {
		event.revision = record.Revision
		var activeKey etcd.KeyValue
		activeKey, event.jobActive, err = entry.store.Get(ctx, etcd.CommitCall, etcd.ActiveJobKey(segment.job.record.ID))
		event.jobActive = event.jobActive && activeKey.ModRevision == segment.job.revision
	}
	event.err = err
	entry.send(event)
}

// finishJob marks a job as completed, once all its segments are done.
func (entry *Entry) finishJob(ctx context.Context, job *activeJob, counts openaibatch.Counts) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	if err := entry.endJob(ctx, job.record, job.revision, openaibatch.Completed, counts); err != nil && !errors.Is(err, etcd.ErrConflict) {
		entry.Log.Warn("cannot mark job as completed, will retry", zap.String("job", job.record.ID), zap.Error(err))
	}
}

// commitIfDue starts a commit if the segment is complete, if items are to be marked as started, or if results have been
// uncommitted for longer than commitInterval.
func (control *control) commitIfDue(segment *ownedSegment) {
	due := segment.tracker.Complete() || len(segment.startMarks) > 0 ||
		segment.tracker.UncommittedResults() > 0 && control.now.Sub(segment.committedAt) > commitInterval
	if segment.released || segment.committing || !due || control.now.Before(segment.commitNotBefore) {
		return
	}
	segment.committing = true
	event := commitResultEvent{
		segment:     segment,
		commit:      segment.tracker.PrepareCommit(segment.startMarks...),
		unsentItems: segment.unsentItems,
	}
	segment.startMarks, segment.unsentItems = nil, nil
	go control.entry.commitSegment(control.ctx, event, segment.revision)
}

// commitResultEvent is the result of a commit.
type commitResultEvent struct {
	segment     *ownedSegment
	commit      segments.Commit
	unsentItems []grantedItem
	revision    int64 // of the segment record
	err         error
}

func (event commitResultEvent) apply(control *control) {
	segment := event.segment
	segment.committing = false
	if segment.released {
		return
	}
	if errors.Is(event.err, etcd.ErrConflict) {
		// Another entry owns the segment, or the job has ended: the uncommitted results are discarded.
		control.entry.Log.Info("segment ownership lost", zap.String("job", segment.job.record.ID), zap.Int("segment", segment.number))
		control.release(segment)
		return
	}
	if event.err != nil {
		// The store is unavailable. Results are kept until they are committed. It is unknown whether the items are marked
		// as started, so they are queued again and sent only after a successful commit.
		segment.commitNotBefore = control.now.Add(storeRetryDelay)
		for _, granted := range event.unsentItems {
			control.enqueue(segment, granted.item)
		}
		return
	}
	segment.revision, segment.committedAt = event.revision, control.now
	segment.tracker.ApplyCommit(event.commit)
	segment.job.segmentRecords[segment.number] = segment.tracker.Segment
	for _, granted := range event.unsentItems {
		control.startItem(segment, granted)
	}
	if !segment.tracker.Segment.Done {
		control.commitIfDue(segment)
		return
	}
	control.release(segment)
	if counts, done := finalCounts(segment.job); done {
		go control.entry.finishJob(control.ctx, segment.job, counts)
	}
	control.claimSegments()
}

// commitSegment writes event.commit to the store, then sends event with the result.
func (entry *Entry) commitSegment(ctx context.Context, event commitResultEvent, revision int64) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	event.revision, event.err = entry.writeCommit(ctx, event.segment, event.commit, revision)
	entry.send(event)
}

// writeCommit writes the segment record and the chunk of results in one transaction. It returns the new revision of the
// segment record, or [etcd.ErrConflict] if the segment record or the active-job key has changed.
func (entry *Entry) writeCommit(ctx context.Context, segment *ownedSegment, commit segments.Commit, revision int64) (newRevision int64, err error) {
	jobID := segment.job.record.ID
	key := etcd.SegmentKey(jobID, segment.number)
	operationID := etcd.NewOperation()
	data, err := etcd.Encode(operationID, commit.Segment)
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
	if len(commit.Results) > 0 {
		chunkKey := etcd.ResultKey(jobID, segment.number, commit.Chunk.Epoch, commit.Chunk.Number)
		txn.Success = append(txn.Success, etcd.Put(chunkKey, encodeResults(commit.Results)))
	}
	return etcd.Commit(ctx, entry.store, etcd.CommitCall, txn, key, operationID)
}

// Marks of result lines.
const (
	outputMark = 'o' // belongs to the output file
	errorMark  = 'e' // belongs to the error file
)

// encodeResults returns results as compressed lines, each preceded by the mark of its file.
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
