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
)

const (
	maxFileBytes    = 512 << 20
	maxFieldBytes   = 1 << 10
	maxPageSize     = 100
	storeRetryAfter = 2 * time.Second
)

// storeUnavailable is the true refusal where the store was not reached before anything was written.
func storeUnavailable(disposition request.Disposition) *caller.Error {
	return caller.OutcomeError(request.Outcome{Disposition: disposition, Reason: request.ReasonStoreUnavailable, RetryAfter: storeRetryAfter})
}

// storeWriteError tells what is known of a write that failed.
func storeWriteError(err error) *caller.Error {
	if errors.Is(err, etcd.ErrUnknown) {
		return storeUnavailable(request.MayHaveRun)
	}
	return storeUnavailable(request.NotRun)
}

// uploadFile takes a batch file; it is acknowledged once all of it is in the store.
func (entry *Entry) uploadFile(session *session) *caller.Error {
	if entry.store == nil || !entry.store.Available() {
		return storeUnavailable(request.NotRun)
	}
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

// upload is a file on its way into the store.
type upload struct {
	entry     *Entry
	id        string
	segmenter segments.Segmenter
	digest    hash.Hash
	bytes     int64
	written   int
}

func (entry *Entry) storeFile(session *session, part *multipart.Part) *caller.Error {
	upload := &upload{entry: entry, id: request.NewID("upload-"), digest: sha256.New()}
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
		upload.deleteSegments(session.ctx) // the same file was there already
	}
	return writeJSON(session, caller.NewFile(stored))
}

func uploadFailure(err error) *caller.Error {
	var lineError *segments.LineError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &lineError):
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_line", "%s", lineError)
	case errors.As(err, &tooLarge):
		return caller.InvalidRequest(http.StatusRequestEntityTooLarge, "file_too_large", "a file may have %d bytes", tooLarge.Limit)
	case errors.Is(err, etcd.ErrNotExecuted) || errors.Is(err, etcd.ErrUnknown):
		return storeUnavailable(request.NotRun) // without its record the file does not exist
	}
	return caller.InvalidRequest(http.StatusBadRequest, "invalid_upload", "the body ended early")
}

func (upload *upload) storeSegments(ctx context.Context, part io.Reader) (err error) {
	lines := bufio.NewReaderSize(io.TeeReader(part, upload.digest), readBufferBytes)
	for {
		line, readErr := readLine(lines)
		upload.bytes += int64(len(line))
		full, err := upload.segmenter.Add(bytes.TrimRight(line, "\r\n"))
		if err != nil {
			return err
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

// readLine reads one line of bounded length; one that is longer is cut, so that the check refuses it.
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

func (upload *upload) writeSegment(ctx context.Context, segment []byte) (err error) {
	if segment == nil {
		return nil
	}
	put := etcd.Put(etcd.UploadSegmentKey(upload.id, upload.written), compressor.EncodeAll(segment, nil))
	upload.written++
	// The key is this upload's alone, so writing it again after a lost answer does no harm.
	for range 2 {
		_, err = upload.entry.store.Txn(ctx, etcd.CommitCall, etcd.TxnRequest{Success: []etcd.RequestOp{put}})
		if !errors.Is(err, etcd.ErrUnknown) {
			return err
		}
	}
	return err
}

// deleteSegments deletes what was written of a file that does not come to be.
func (upload *upload) deleteSegments(ctx context.Context) {
	if upload.written == 0 {
		return
	}
	ctx, cancel := upload.entry.storeContext(context.WithoutCancel(ctx))
	defer cancel()
	operation := etcd.DeletePrefix(etcd.UploadPrefix(upload.id))
	_, _ = upload.entry.store.Txn(ctx, etcd.OtherCall, etcd.TxnRequest{Success: []etcd.RequestOp{operation}})
}

// createOnce writes value under key if there is nothing, and returns what is there then.
func createOnce[T any](ctx context.Context, store *etcd.Store, key string, value T, also ...etcd.RequestOp) (stored T, err error) {
	operation := etcd.NewOperation()
	data, err := etcd.Encode(operation, value)
	if err != nil {
		return value, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Absent(key)},
		Success: append([]etcd.RequestOp{etcd.Put(key, data)}, also...),
	}
	_, err = etcd.Commit(ctx, store, etcd.CommitCall, txn, key, operation)
	if !errors.Is(err, etcd.ErrConflict) {
		return value, err
	}
	found, err := etcd.Read[T](ctx, store, etcd.CommitCall, key)
	return found.Value, err
}

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

func (entry *Entry) getFile(session *session) *caller.Error {
	id := session.iris.Params().Get("id")
	if jobID, _, isResult := resultFile(id); isResult {
		found, counts, failure := entry.findJob(session, jobID)
		if failure != nil {
			return failure
		}
		shown := caller.NewFile(openaibatch.File{ID: id, Name: id + ".jsonl", Created: found.Created})
		shown.Purpose = "batch_output"
		if counts.Ended() == 0 {
			shown.Status = "uploaded"
		}
		return writeJSON(session, shown)
	}
	file, failure := entry.findFile(session, id)
	if failure != nil {
		return failure
	}
	return writeJSON(session, caller.NewFile(file))
}

func (entry *Entry) listFiles(session *session) *caller.Error {
	return listRecords(entry, session, etcd.AccountFilesPrefix(session.account.Name), func(file openaibatch.File) (caller.File, string) {
		return caller.NewFile(file), file.ID
	})
}

// listRecords answers with the records below prefix, a page at a time.
func listRecords[R, T any](entry *Entry, session *session, prefix string, show func(R) (T, string)) *caller.Error {
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
	answer, err := entry.store.List(session.ctx, etcd.OtherCall, prefix, after, limit, false)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	list := caller.List[T]{Object: "list", Data: []T{}, HasMore: answer.More}
	for _, kv := range answer.KVs {
		record, err := etcd.DecodeRecord[R](kv)
		if err != nil {
			continue
		}
		shown, id := show(record.Value)
		list.Data = append(list.Data, shown)
		if list.FirstID == "" {
			list.FirstID = id
		}
		list.LastID = id
	}
	return writeJSON(session, list)
}

// resultFile tells whether id names the output or the error file of a job.
func resultFile(id string) (jobID string, mark byte, ok bool) {
	if jobID, ok = strings.CutPrefix(id, caller.OutputFileIDPrefix); ok {
		return jobID, outputMark, true
	}
	if jobID, ok = strings.CutPrefix(id, caller.ErrorFileIDPrefix); ok {
		return jobID, errorMark, true
	}
	return "", 0, false
}

func (entry *Entry) getFileContent(session *session) *caller.Error {
	id := session.iris.Params().Get("id")
	if jobID, mark, isResult := resultFile(id); isResult {
		return entry.readResults(session, jobID, mark)
	}
	file, failure := entry.findFile(session, id)
	if failure != nil {
		return failure
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

// readResults streams the committed results of a job, a segment at a time.
func (entry *Entry) readResults(session *session, jobID string, mark byte) *caller.Error {
	found, _, failure := entry.findJob(session, jobID)
	if failure != nil {
		return failure
	}
	answer, err := entry.store.List(session.ctx, etcd.OtherCall, etcd.SegmentsPrefix(found.ID), "", 0, false)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	session.iris.ContentType("application/jsonl")
	begun := false
	for _, kv := range answer.KVs {
		number, ok := segmentNumberOf(kv)
		if !ok {
			continue
		}
		for _, part := range decodeOrDefault(kv, openaibatch.Segment{}).Chunks {
			if err = entry.writeChunk(session, found.ID, number, part, mark); err != nil {
				return entry.abortResponse(session, begun)
			}
			begun = true
		}
	}
	return nil
}

func (entry *Entry) writeChunk(session *session, jobID string, number int, part openaibatch.Chunk, mark byte) (err error) {
	kv, ok, err := entry.store.Get(session.ctx, etcd.OtherCall, etcd.ResultKey(jobID, number, part.Epoch, part.Number))
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

// abortResponse ends an answer that can't be completed so that the caller does not take it for whole.
func (entry *Entry) abortResponse(_ *session, begun bool) *caller.Error {
	if !begun {
		return storeUnavailable(request.NotRun)
	}
	entry.metrics.brokenResponses.Add(1)
	panic(http.ErrAbortHandler)
}
