package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"hash"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/segments"
	"cowslipway/core/state/openaibatch"
	"cowslipway/core/state/request"
	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/transport/http1"
)

const (
	maxFileBytes    = 512 << 20
	maxFieldBytes   = 1 << 10 // of a form field other than the file
	uploadCopies    = 5       // of the lines of a segment, while they are packed, compressed, encoded and sent
	uploadBytes     = uploadCopies * openaibatch.MaxSegmentBytes
	downloadBytes   = 4 * openaibatch.MaxSegmentBytes // a segment as it is read, decoded and decompressed
	customIDBytes   = 64                              // for the detection of duplicates
	maxPageSize     = 100                             // records in one response
	storeRetryAfter = 2 * time.Second                 // reported to callers if the store is unavailable
)

// storeUnavailable returns the error for a call that needs the store; disposition states whether the call may
// have been executed.
func storeUnavailable(disposition request.Disposition) *caller.Error {
	return caller.OutcomeError(request.Outcome{Disposition: disposition, Reason: request.ReasonStoreUnavailable, RetryAfter: storeRetryAfter})
}

// storeWriteError returns the error for a failed write. A write with an unknown result may have been executed.
func storeWriteError(err error) *caller.Error {
	if errors.Is(err, etcd.ErrOutcomeUnknown) {
		return storeUnavailable(request.MayHaveRun)
	}
	return storeUnavailable(request.NotRun)
}

// uploadFile stores a batch file and responds once all of it is in the store.
func (entry *Entry) uploadFile(session *session) *caller.Error {
	if entry.store == nil || !entry.store.Available() {
		return storeUnavailable(request.NotRun)
	}
	if err := entry.holdUpload(session, 0); err != nil {
		return bodyFailure(err, maxFileBytes)
	}
	http1.TrackBody(session.iris.Request())
	session.iris.Request().Body = http.MaxBytesReader(session.iris.ResponseWriter(), session.iris.Request().Body, maxFileBytes)
	reader, err := session.iris.Request().MultipartReader()
	if err != nil {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_upload", "a multipart/form-data body with \"purpose\" and \"file\" is needed")
	}
	purpose := ""
	for {
		part, err := reader.NextPart()
		if err != nil {
			return caller.InvalidRequest(http.StatusBadRequest, "invalid_upload", "the part \"file\" is missing or the body ended early")
		}
		switch part.FormName() {
		case "purpose":
			text, _ := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			purpose = string(text)
		case "file":
			if purpose != "" && purpose != "batch" {
				return caller.InvalidRequest(http.StatusBadRequest, "invalid_purpose", "\"purpose\" is %q; only \"batch\" is allowed", purpose)
			}
			return entry.storeFile(session, part)
		}
	}
}

// holdUpload holds the memory for a file with so many items while it is being written to the store.
func (entry *Entry) holdUpload(session *session, items int) (err error) {
	held := int64(uploadBytes)
	if announced := session.iris.Request().ContentLength; announced >= 0 {
		held = min(held, readBufferBytes+uploadCopies*announced)
	}
	return http1.Hold(session.iris.Request(), held+int64(items)*customIDBytes)
}

// upload is a file that is being written to the store.
type upload struct {
	entry     *Entry
	hold      func(items int) error // holds the memory for so many items
	id        string
	segmenter segments.Segmenter
	digest    hash.Hash
	bytes     int64
	written   int // number of segments whose write was started; the next segment gets this number
}

// storeFile stores the segments of a file and then its record. If the account already has a file with the same content,
// it responds with that file.
func (entry *Entry) storeFile(session *session, part *multipart.Part) *caller.Error {
	upload := &upload{entry: entry, id: request.NewID("upload-"), digest: sha256.New()}
	upload.hold = func(items int) error { return entry.holdUpload(session, items) }
	err := upload.storeSegments(session.ctx, part)
	if err == nil && upload.segmenter.ItemCount() == 0 {
		return caller.InvalidRequest(http.StatusBadRequest, "empty_file", "the file holds no items")
	}
	if err != nil {
		upload.deleteSegments(session.ctx)
		return uploadFailure(err)
	}
	file := openaibatch.File{
		ID:       openaibatch.FileID(session.account.Name, upload.digest.Sum(nil)),
		Account:  session.account.Name,
		Name:     part.FileName(),
		Bytes:    upload.bytes,
		Items:    upload.segmenter.ItemCount(),
		Segments: upload.segmenter.SegmentItems,
		UploadID: upload.id,
		Created:  time.Now().UTC(),
	}
	stored, err := createOnce(session.ctx, entry.store, etcd.FileKey(file.Account, file.ID), file)
	if err != nil {
		return storeWriteError(err)
	}
	if stored.UploadID != upload.id {
		upload.deleteSegments(session.ctx) // the account already had this file
	}
	return writeJSON(session, caller.NewFile(stored))
}

// uploadFailure returns the error to report for an upload that failed.
func uploadFailure(err error) *caller.Error {
	var lineError *segments.LineError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &lineError):
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_line", "%s", lineError)
	case errors.As(err, &tooLarge):
		return caller.InvalidRequest(http.StatusRequestEntityTooLarge, "file_too_large", "a file may have %d bytes", tooLarge.Limit)
	case errors.Is(err, http1.ErrNoRoom):
		return bodyFailure(err, maxFileBytes)
	case errors.Is(err, etcd.ErrNotExecuted) || errors.Is(err, etcd.ErrOutcomeUnknown):
		return storeUnavailable(request.NotRun) // the file does not exist without its record
	}
	return caller.InvalidRequest(http.StatusBadRequest, "invalid_upload", "the body ended early")
}

// storeSegments reads the file line by line and writes each full segment to the store.
func (upload *upload) storeSegments(ctx context.Context, part io.Reader) (err error) {
	lines := bufio.NewReaderSize(io.TeeReader(part, upload.digest), readBufferBytes)
	for {
		line, readErr := readLine(lines)
		upload.bytes += int64(len(line))
		full, err := upload.segmenter.Add(bytes.TrimRight(line, "\r\n"))
		if err != nil {
			return err
		}
		if full != nil {
			if err = upload.hold(upload.segmenter.ItemCount()); err != nil {
				return err
			}
		}
		if err = upload.writeSegment(ctx, full); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return upload.writeSegment(ctx, upload.segmenter.Flush())
		}
		if readErr != nil {
			return readErr
		}
	}
}

const readBufferBytes = 64 << 10

// readLine reads one line. It truncates a line of more than [openaibatch.MaxSegmentBytes], which the segmenter then
// rejects.
func readLine(reader *bufio.Reader) (line []byte, err error) {
	for {
		piece, err := reader.ReadSlice('\n')
		if len(line) <= openaibatch.MaxSegmentBytes {
			line = append(line, piece...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// writeSegment writes a compressed segment under the next number. A nil segment is ignored.
func (upload *upload) writeSegment(ctx context.Context, segment []byte) (err error) {
	if segment == nil {
		return nil
	}
	put := etcd.Put(etcd.UploadSegmentKey(upload.id, upload.written), compressor.EncodeAll(segment, nil))
	upload.written++
	// Only this upload writes the key, so the write can be repeated if its result is unknown.
	for range 2 {
		_, err = upload.entry.store.Txn(ctx, etcd.CommitCall, etcd.TxnRequest{Success: []etcd.RequestOp{put}})
		if !errors.Is(err, etcd.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

// deleteSegments deletes the segments of an upload whose file record was not created.
func (upload *upload) deleteSegments(ctx context.Context) {
	if upload.written == 0 {
		return
	}
	ctx, cancel := upload.entry.storeContext(context.WithoutCancel(ctx))
	defer cancel()
	operation := etcd.DeletePrefix(etcd.UploadPrefix(upload.id))
	_, _ = upload.entry.store.Txn(ctx, etcd.OtherCall, etcd.TxnRequest{Success: []etcd.RequestOp{operation}})
}

// createOnce writes value under key and applies operations in the same transaction, unless the key exists. It returns the
// value that is stored afterwards.
func createOnce[T any](ctx context.Context, store *etcd.Store, key string, value T, operations ...etcd.RequestOp) (stored T, err error) {
	operationID := etcd.NewOperation()
	data, err := etcd.Encode(operationID, value)
	if err != nil {
		return value, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Absent(key)},
		Success: append([]etcd.RequestOp{etcd.Put(key, data)}, operations...),
	}
	_, err = etcd.Commit(ctx, store, etcd.CommitCall, txn, key, operationID)
	if !errors.Is(err, etcd.ErrConflict) {
		return value, err
	}
	found, err := etcd.Read[T](ctx, store, etcd.CommitCall, key)
	return found.Value, err
}

// findFile returns the record of an input file of the session's account.
func (entry *Entry) findFile(session *session, id string) (file openaibatch.File, failure *caller.Error) {
	if entry.store == nil {
		return file, storeUnavailable(request.NotRun)
	}
	record, err := etcd.Read[openaibatch.File](session.ctx, entry.store, etcd.OtherCall, etcd.FileKey(session.account.Name, id))
	if err != nil {
		return file, storeUnavailable(request.NotRun)
	}
	if record.Revision == 0 {
		return file, caller.InvalidRequest(http.StatusNotFound, "unknown_file", "there is no file %q", id)
	}
	return record.Value, nil
}

// getFile responds with the description of an input file or of a result file.
func (entry *Entry) getFile(session *session) *caller.Error {
	id := session.iris.Params().Get("id")
	if jobID, _, isResult := resultFile(id); isResult {
		job, counts, failure := entry.findJob(session, jobID)
		if failure != nil {
			return failure
		}
		description := caller.NewFile(openaibatch.File{ID: id, Name: id + ".jsonl", Created: job.Created})
		description.Purpose = "batch_output"
		if counts.Ended() == 0 {
			description.Status = "uploaded"
		}
		return writeJSON(session, description)
	}
	file, failure := entry.findFile(session, id)
	if failure != nil {
		return failure
	}
	return writeJSON(session, caller.NewFile(file))
}

// listFiles responds with a page of the account's input files.
func (entry *Entry) listFiles(session *session) *caller.Error {
	return listRecords(entry, session, etcd.AccountFilesPrefix(session.account.Name), func(file openaibatch.File) (caller.File, string) {
		return caller.NewFile(file), file.ID
	})
}

// listRecords responds with a page of the records below prefix, each converted by describe. Invalid records are left
// out.
func listRecords[R, T any](entry *Entry, session *session, prefix string, describe func(R) (T, string)) *caller.Error {
	if entry.store == nil {
		return storeUnavailable(request.NotRun)
	}
	limit, err := session.iris.URLParamInt64("limit")
	if err != nil || limit < 1 || limit > maxPageSize {
		limit = maxPageSize
	}
	after := session.iris.URLParam("after")
	if after != "" {
		after = prefix + after
	}
	response, err := entry.store.List(session.ctx, etcd.OtherCall, prefix, after, limit, false)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	list := caller.List[T]{Object: "list", Data: []T{}, HasMore: response.More}
	for _, kv := range response.KVs {
		record, err := etcd.DecodeRecord[R](kv)
		if err != nil {
			continue
		}
		description, id := describe(record.Value)
		list.Data = append(list.Data, description)
		if list.FirstID == "" {
			list.FirstID = id
		}
		list.LastID = id
	}
	return writeJSON(session, list)
}

// resultFile reports whether id names the output or error file of a job, and returns the ID of the job and the mark that
// precedes the lines of the file among the stored results.
func resultFile(id string) (jobID string, mark byte, ok bool) {
	if jobID, ok = strings.CutPrefix(id, caller.OutputFileIDPrefix); ok {
		return jobID, outputMark, true
	}
	if jobID, ok = strings.CutPrefix(id, caller.ErrorFileIDPrefix); ok {
		return jobID, errorMark, true
	}
	return "", 0, false
}

// getFileContent responds with the content of an input file or of a result file.
func (entry *Entry) getFileContent(session *session) *caller.Error {
	id := session.iris.Params().Get("id")
	if jobID, mark, isResult := resultFile(id); isResult {
		return entry.readResults(session, jobID, mark)
	}
	file, failure := entry.findFile(session, id)
	if failure != nil {
		return failure
	}
	if err := http1.Hold(session.iris.Request(), downloadBytes); err != nil {
		return bodyFailure(err, 0)
	}
	session.iris.ContentType("application/jsonl")
	for number := range file.Segments {
		data, err := entry.readSegmentData(session.ctx, file.UploadID, number)
		if err != nil {
			return entry.abortResponse(session, number > 0)
		}
		_, _ = session.iris.Write(data)
	}
	return nil
}

// readResults streams the committed results of a job that have the given mark, chunk by chunk.
func (entry *Entry) readResults(session *session, jobID string, mark byte) *caller.Error {
	job, _, failure := entry.findJob(session, jobID)
	if failure != nil {
		return failure
	}
	if err := http1.Hold(session.iris.Request(), downloadBytes); err != nil {
		return bodyFailure(err, 0)
	}
	response, err := entry.store.List(session.ctx, etcd.OtherCall, etcd.SegmentsPrefix(job.ID), "", 0, false)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	session.iris.ContentType("application/jsonl")
	started := false
	for _, kv := range response.KVs {
		number, ok := segmentNumberOf(kv)
		if !ok {
			continue
		}
		for _, chunk := range decodeOrDefault(kv, openaibatch.Segment{}).Chunks {
			if err = entry.writeChunk(session, job.ID, number, chunk, mark); err != nil {
				return entry.abortResponse(session, started)
			}
			started = true
		}
	}
	return nil
}

// writeChunk writes the lines of one chunk of results that have the given mark to the response.
func (entry *Entry) writeChunk(session *session, jobID string, number int, chunk openaibatch.Chunk, mark byte) (err error) {
	kv, ok, err := entry.store.Get(session.ctx, etcd.OtherCall, etcd.ResultKey(jobID, number, chunk.Epoch, chunk.Number))
	if err == nil && !ok {
		err = errors.NotFoundf("results of segment %d", number)
	}
	if err != nil {
		return err
	}
	lines, err := decompressor.DecodeAll(kv.Value, nil)
	if err != nil {
		return err
	}
	for line := range bytes.Lines(lines) {
		if line[0] == mark {
			_, _ = session.iris.Write(line[1:])
		}
	}
	return nil
}

// abortResponse ends a response that cannot be completed. If its body has started, it closes the connection, so that
// the caller detects that the response is incomplete.
func (entry *Entry) abortResponse(_ *session, started bool) *caller.Error {
	if !started {
		return storeUnavailable(request.NotRun)
	}
	entry.metrics.brokenResponses.Add(1)
	panic(http.ErrAbortHandler)
}
