package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
	"cowslipway/core/state/openaibatch"
	"cowslipway/core/state/request"
	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/etcd"
)

// createBatch creates a batch job and responds once its record is in the store. The job ID derives from the account and
// the idempotency key, or without one from the input file and the endpoint, so that a repeated request returns the same
// job.
func (entry *Entry) createBatch(session *session) *caller.Error {
	body, failure := entry.readBody(session, entry.Settings.MaxBodyBytes)
	if failure != nil {
		return failure
	}
	var input caller.CreateBatchRequest
	if err := config.DecodeStrict(body, &input); err != nil {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_json", "%s", err)
	}
	if !strings.HasPrefix(input.Endpoint, "/") {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_endpoint", "\"endpoint\" is %q; a path such as \"/v1/chat/completions\" is needed", input.Endpoint)
	}
	file, failure := entry.findFile(session, input.InputFileID)
	if failure != nil {
		return failure
	}
	key := session.iris.GetHeader(caller.IdempotencyKeyHeader)
	if key == "" {
		key = input.InputFileID + "\x00" + input.Endpoint
	}
	record := openaibatch.Job{
		ID:               openaibatch.JobID(session.account.Name, key),
		Account:          session.account.Name,
		FileID:           file.ID,
		UploadID:         file.UploadID,
		Endpoint:         input.Endpoint,
		CompletionWindow: input.CompletionWindow,
		Metadata:         input.Metadata,
		Segments:         file.Segments,
		Status:           openaibatch.InProgress,
		Created:          time.Now().UTC(),
	}
	return entry.createJob(session, record)
}

// createJob stores a new job and responds with it, or with the stored job that has the same ID.
func (entry *Entry) createJob(session *session, record openaibatch.Job) *caller.Error {
	data, err := etcd.Encode(etcd.NewOperation(), record)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	account, err := etcd.Encode(etcd.NewOperation(), record.Account)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	stored, err := createOnce(session.ctx, entry.store, etcd.JobKey(record.Account, record.ID), record,
		etcd.Put(etcd.ActiveJobKey(record.ID), data),
		etcd.Put(etcd.JobAccountKey(record.ID), account))
	if err != nil {
		return storeWriteError(err)
	}
	if stored.FileID != record.FileID {
		return caller.InvalidRequest(http.StatusUnprocessableEntity, "idempotency_key_reused", "%s was used for another job", caller.IdempotencyKeyHeader)
	}
	return writeJSON(session, caller.NewBatch(stored, stored.Counts))
}

// findJob returns a job of the session's account and its counts, which for a job in progress are those of the committed
// results.
func (entry *Entry) findJob(session *session, id string) (job openaibatch.Job, counts openaibatch.Counts, failure *caller.Error) {
	if entry.store == nil {
		return job, counts, storeUnavailable(request.NotRun)
	}
	record, err := etcd.Read[openaibatch.Job](session.ctx, entry.store, etcd.OtherCall, etcd.JobKey(session.account.Name, id))
	if err != nil {
		return job, counts, storeUnavailable(request.NotRun)
	}
	if record.Revision == 0 {
		return job, counts, caller.InvalidRequest(http.StatusNotFound, "unknown_batch", "there is no batch job %q", id)
	}
	if record.Value.Status != openaibatch.InProgress {
		return record.Value, record.Value.Counts, nil
	}
	counts, err = entry.countItems(session.ctx, id)
	if err != nil {
		return job, counts, storeUnavailable(request.NotRun)
	}
	return record.Value, counts, nil
}

// countItems returns the counts of the committed results of a job.
func (entry *Entry) countItems(ctx context.Context, jobID string) (counts openaibatch.Counts, err error) {
	response, err := entry.store.List(ctx, etcd.OtherCall, etcd.SegmentsPrefix(jobID), "", 0, false)
	if err != nil {
		return counts, err
	}
	for _, kv := range response.KVs {
		counts = counts.Add(decodeOrDefault(kv, openaibatch.Segment{}).Counts)
	}
	return counts, nil
}

// getBatch responds with a batch job of the account.
func (entry *Entry) getBatch(session *session) *caller.Error {
	job, counts, failure := entry.findJob(session, session.iris.Params().Get("id"))
	if failure != nil {
		return failure
	}
	return writeJSON(session, caller.NewBatch(job, counts))
}

// listBatches responds with a page of the account's batch jobs.
func (entry *Entry) listBatches(session *session) *caller.Error {
	return listRecords(entry, session, etcd.AccountJobsPrefix(session.account.Name), func(record openaibatch.Job) (caller.Batch, string) {
		return caller.NewBatch(record, record.Counts), record.ID
	})
}

// cancelBatch cancels a job of the account. Committed results stay readable.
func (entry *Entry) cancelBatch(session *session) *caller.Error {
	job, _, failure := entry.findJob(session, session.iris.Params().Get("id"))
	if failure != nil {
		return failure
	}
	return entry.cancelJob(session, job)
}

const maxCancelAttempts = 3

// cancelJob cancels a job and responds with its record. It retries if the job changes at the same time.
func (entry *Entry) cancelJob(session *session, job openaibatch.Job) *caller.Error {
	for range maxCancelAttempts {
		if job.Status != openaibatch.InProgress {
			return writeJSON(session, caller.NewBatch(job, job.Counts))
		}
		activeKey, exists, err := entry.store.Get(session.ctx, etcd.CommitCall, etcd.ActiveJobKey(job.ID))
		if err != nil {
			return storeWriteError(err)
		}
		if exists {
			counts, err := entry.countItems(session.ctx, job.ID)
			if err == nil {
				err = entry.endJob(session.ctx, job, activeKey.ModRevision, openaibatch.Cancelled, counts)
			}
			if err != nil && !errors.Is(err, etcd.ErrConflict) {
				return storeWriteError(err)
			}
		}
		record, err := etcd.Read[openaibatch.Job](session.ctx, entry.store, etcd.CommitCall, etcd.JobKey(job.Account, job.ID))
		if err != nil {
			return storeWriteError(err)
		}
		job = record.Value
	}
	return storeUnavailable(request.NotRun)
}

// endJob writes the final record of a job. From then on every commit of its segments fails, because the active-job key
// has changed. The active-job key of a cancelled job is kept for cancelledKeyTTL, so that all entries see the
// cancellation and report it to the target daemons.
func (entry *Entry) endJob(ctx context.Context, job openaibatch.Job, revision int64, status openaibatch.Status, counts openaibatch.Counts) (err error) {
	ended := job.WithEnd(status, counts, time.Now().UTC())
	operationID := etcd.NewOperation()
	data, err := etcd.Encode(operationID, ended)
	if err != nil {
		return err
	}
	key := etcd.JobKey(job.Account, job.ID)
	activeKeyUpdate := etcd.Delete(etcd.ActiveJobKey(job.ID))
	if status == openaibatch.Cancelled {
		activeKeyUpdate = etcd.Put(etcd.ActiveJobKey(job.ID), data)
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(etcd.ActiveJobKey(job.ID), revision)},
		Success: []etcd.RequestOp{etcd.Put(key, data), activeKeyUpdate},
	}
	_, err = etcd.Commit(ctx, entry.store, etcd.CommitCall, txn, key, operationID)
	if err == nil && status == openaibatch.Cancelled {
		time.AfterFunc(cancelledKeyTTL, func() { entry.deleteActiveKey(context.WithoutCancel(ctx), job.ID) })
	}
	return err
}

// deleteActiveKey deletes the active-job key of a cancelled job.
func (entry *Entry) deleteActiveKey(ctx context.Context, jobID string) {
	ctx, cancel := entry.storeContext(ctx)
	defer cancel()
	operation := etcd.Delete(etcd.ActiveJobKey(jobID))
	// If this fails, the next entry that starts reads the key and deletes it.
	_, _ = entry.store.Txn(ctx, etcd.OtherCall, etcd.TxnRequest{Success: []etcd.RequestOp{operation}})
}
