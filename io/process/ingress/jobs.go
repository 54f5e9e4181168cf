package ingress

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/jobroom"
	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/process/node"
	"cowslipway/io/process/telemetry"
	"cowslipway/io/store"
	"cowslipway/io/transport/http1"
)

const (
	viewTimeout = 600 * time.Millisecond // the view lags by at most the follower's pace and one store call
	// maxViewAge is the age of the view above which the process checks the store for newer results before it answers that
	// there are none. Results that one process has served have to be visible at every other one within 1 s; the difference
	// is for the way to the caller, as packets may wait for half a second on a link that counts as sound.
	maxViewAge            = 500 * time.Millisecond
	submitTimeout         = 1500 * time.Millisecond
	cancelTimeout         = 3 * time.Second // a cancellation has to be acknowledged within 4 s
	commitRetryDelay      = 100 * time.Millisecond
	outageRetryAfter      = time.Second
	jobRoomRetryAfter     = 5 * time.Second // jobs end, and leave room, after many seconds
	maxPageBytes          = 900 << 10       // encoded results on one page; callers accept pages of up to 1 MB
	maxJobItems           = 200
	defaultCompletionTime = 18 * time.Second
	defaultJobLifetime    = 60 * time.Second
	maxClockSkew          = 5 * time.Second // between the clocks of two VMs

	smallJobBytes = 64 << 10 // size up to which a record may take room that large ones can't
	largeJobShare = 0.75     // of the room for records, up to which large ones are accepted

	decodedCopies     = 2 // of the body of a submission, while it is decoded
	encodedCopies     = 6 // of a record: its JSON form, and that of the call to the store, with buffers that grow
	encodedPageCopies = 3 // of a page of results, with the buffer that grows
)

// errJobTooLong is the cause of the error of a job whose record the store does not take.
const errJobTooLong = errors.ConstError("the batch job is too long for one record")

// serveSubmission creates the records of a batch job and answers 202 once they are in the store. A job that exists
// already is accepted again.
func (server *Server) serveSubmission(writer http.ResponseWriter, request *http.Request, call port.Call, account string, route routes.Route, path string, body []byte) {
	if call.RequestID == "" {
		server.reject(writer, call, http.StatusBadRequest, 0, "a batch job needs an identifier")
		return
	}
	if err := http1.Hold(request, decodedCopies*int64(len(body))); err != nil {
		server.rejectBody(writer, call, err)
		return
	}
	items, err := server.Callers.Job(body, maxJobItems)
	if err != nil {
		server.reject(writer, call, http.StatusBadRequest, 0, "not a batch job of at most 200 items")
		return
	}
	if view, ok, _ := server.Node.JobView(call.RequestID); ok && view.Job != nil {
		if view.Job.Account != account && view.Job.Account != "" {
			server.reject(writer, call, http.StatusConflict, 0, "not run: the identifier is taken")
			return
		}
		writer.WriteHeader(http.StatusAccepted)
		return
	}
	for _, item := range items {
		if err = item.Validate(); err != nil {
			server.reject(writer, call, http.StatusBadRequest, 0, "not run: "+err.Error())
			return
		}
	}
	if err = http1.Hold(request, min(int64(len(body)), server.Node.Settings.MaxRecordBytes)*encodedCopies+int64(len(body))); err != nil {
		server.rejectBody(writer, call, err)
		return
	}
	txn, err := server.submissionTxn(call, account, request.Host, route, path, items)
	if errors.Is(err, errJobTooLong) {
		server.reject(writer, call, http.StatusRequestEntityTooLarge, 0, "not run: "+err.Error())
		return
	}
	if err != nil {
		server.reject(writer, call, http.StatusInternalServerError, 0, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), submitTimeout)
	defer cancel()
	if !server.beginSubmission(call.RequestID, int64(len(txn.Writes[0].Value))) {
		server.rejectWithoutRoom(ctx, writer, call)
		return
	}
	defer server.endSubmission(call.RequestID)
	job := submission{call: call, route: route, txn: txn, items: len(items), tokens: tokensOf(items)}
	if route.MaxWaitingTokens > 0 {
		server.submitBounded(ctx, writer, job)
		return
	}
	server.answerSubmission(writer, job, server.createJob(ctx, txn))
}

// beginSubmission reports whether there is room for the record of a job at all members, and reserves it.
func (server *Server) beginSubmission(id string, bytes int64) (ok bool) {
	state := jobroom.State{InView: func(id string) bool {
		view, ok, _ := server.Node.JobView(id)
		return ok && view.Job != nil
	}}
	state.Bytes, state.Capacity, state.AsOf = server.Node.JobRoom()
	server.jobRoomMutex.Lock()
	defer server.jobRoomMutex.Unlock()
	return server.jobRoom.Begin(id, bytes, state)
}

// endSubmission records that the submission of a job has ended.
func (server *Server) endSubmission(id string) {
	server.jobRoomMutex.Lock()
	defer server.jobRoomMutex.Unlock()
	server.jobRoom.End(time.Now(), id)
}

// rejectWithoutRoom answers the submission of a job for which there is no room, unless it was accepted before.
func (server *Server) rejectWithoutRoom(ctx context.Context, writer http.ResponseWriter, call port.Call) {
	exists, err := server.jobExists(ctx, call.RequestID)
	if err == nil && exists {
		writer.WriteHeader(http.StatusAccepted)
		return
	}
	bytes, capacity, _ := server.Node.JobRoom()
	server.reject(writer, call, http.StatusServiceUnavailable, jobRoomRetryAfter, "not run: the members have no room for the job", zap.Int64("records", bytes), zap.Int64("room", capacity), telemetry.Err(err))
}

// answerSubmission answers the submission of a batch job that was written, or could not be. decisionFields tell why it was
// accepted.
func (server *Server) answerSubmission(writer http.ResponseWriter, job submission, err error, decisionFields ...zap.Field) {
	switch {
	case err == nil:
		writer.WriteHeader(http.StatusAccepted)
		server.Log.Info("job accepted", append(decisionFields, zap.String("job", job.call.RequestID), zap.Int("items", job.items))...)
	case errors.Is(err, store.ErrRefused):
		server.reject(writer, job.call, http.StatusBadRequest, 0, "not run: "+err.Error())
	case errors.Is(err, store.ErrNotExecuted):
		server.reject(writer, job.call, http.StatusServiceUnavailable, outageRetryAfter, "not run: "+err.Error())
	default:
		server.reject(writer, job.call, http.StatusGatewayTimeout, 0, "the job may have been accepted: "+err.Error())
	}
}

// submissionTxn returns the transaction that creates the records of a job unless the job exists already.
func (server *Server) submissionTxn(call port.Call, account, host string, route routes.Route, path string, items []jobrecord.Item) (txn store.Txn, err error) {
	now := time.Now()
	completionTime, lifetime := route.BatchTarget, route.BatchLifetime
	if completionTime <= 0 {
		completionTime = defaultCompletionTime
	}
	if lifetime <= 0 {
		lifetime = defaultJobLifetime
	}
	if size, limit := payloadBytes(items), server.Node.Settings.MaxRecordBytes; size > limit { // before it is encoded, which takes several times its size
		return txn, errors.Annotatef(errJobTooLong, "over %d bytes, at most %d", size, limit)
	}
	job := jobrecord.Job{
		ID: call.RequestID, Host: host, Path: path, Submitted: now, Due: now.Add(completionTime),
		AbandonAfter: now.Add(lifetime + maxClockSkew), Items: items, Account: account,
	}
	jobValue, err := jobrecord.Encode(job)
	if err != nil {
		return txn, err
	}
	if limit := server.Node.Settings.MaxRecordBytes; int64(len(jobValue)) > limit {
		return txn, errors.Annotatef(errJobTooLong, "%d bytes, at most %d", len(jobValue), limit)
	}
	owner := jobrunner.PreferredOwner(job.ID, server.Node.Members(fleet.WorkerRole))
	ownership, err := jobrecord.Encode(jobrecord.Ownership{Owner: owner, Submitted: now, Account: account})
	if err != nil {
		return txn, err
	}
	ownershipKey := server.Node.Records.OwnKey(jobrecord.OwnershipKey(job.ID))
	return store.Txn{
		Conditions: []store.Condition{{Key: ownershipKey}},
		Writes: []store.Write{
			{Key: server.Node.Records.OwnKey(jobrecord.JobKey(job.ID)), Value: jobValue},
			{Key: ownershipKey, Value: ownership},
		},
	}, nil
}

// payloadBytes returns how many bytes the bodies of items take in a record.
func payloadBytes(items []jobrecord.Item) (bytes int64) {
	for _, item := range items {
		bytes += int64(base64.StdEncoding.EncodedLen(len(item.Body)))
	}
	return bytes
}

// createJob commits txn, with retries until ctx ends. The cause of its error is store.ErrNotExecuted where the job was not
// created and no earlier call can still create it. A job that exists already is not an error.
func (server *Server) createJob(ctx context.Context, txn store.Txn) (err error) {
	_, _, err = server.commitUntilKnown(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// findJob returns the view of a job. While the view lacks the job, it waits for changes and then reads the store to
// find out whether the job exists. A status other than 0 is the HTTP status with which to reject the call.
func (server *Server) findJob(ctx context.Context, id string) (view node.JobView, status int) {
	deadline := time.Now().Add(viewTimeout)
	checked := false // the store was read to find out whether the job exists
	for {
		view, ok, changed := server.Node.JobView(id)
		if ok && view.Job != nil {
			return view, 0
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-ctx.Done():
		case <-timer.C:
			if checked {
				return view, http.StatusServiceUnavailable
			}
			checked, deadline = true, time.Now().Add(viewTimeout)
			if exists, err := server.jobExists(ctx, id); err == nil && !exists {
				return view, http.StatusNotFound
			}
		}
		timer.Stop()
		if ctx.Err() != nil {
			return view, http.StatusServiceUnavailable
		}
	}
}

// jobExists reads the store to find out whether a job exists. A swept job, of which the store holds only the ownership
// record, does not exist.
func (server *Server) jobExists(ctx context.Context, id string) (exists bool, err error) {
	record, ok, err := server.Node.Store.Get(ctx, server.Node.Records.OwnKey(jobrecord.OwnershipKey(id)))
	if err != nil || !ok {
		return false, err
	}
	var ownership jobrecord.Ownership
	if err = json.Unmarshal(record.Value, &ownership); err != nil || !ownership.Ended {
		return true, err
	}
	_, exists, err = server.Node.Store.Get(ctx, server.Node.Records.OwnKey(jobrecord.JobKey(id)))
	return exists, err
}

// rejectJob rejects a call for a job that findJob or the store did not return.
func (server *Server) rejectJob(writer http.ResponseWriter, call port.Call, status int) {
	if status == http.StatusNotFound {
		server.reject(writer, call, status, 0, "no such batch job")
		return
	}
	server.reject(writer, call, status, notReadyRetryAfter, "the batch job is not known here yet")
}

// serveResults answers with a page of the results after position call.After. It waits up to call.Wait for the first one.
func (server *Server) serveResults(writer http.ResponseWriter, request *http.Request, call port.Call) {
	ctx, arrived := request.Context(), time.Now()
	view, status := server.findJob(ctx, call.JobID)
	if status != 0 {
		server.logNoResults(call, view, true, arrived, "job not found")
		server.rejectJob(writer, call, status)
		return
	}
	view = server.awaitResults(ctx, call, view)
	storeAsked := false
	if len(view.Results) <= call.After && mayLackResults(view, call.After) {
		storeAsked = true
		view = server.readChunks(ctx, view, call.After)
	}
	page, size := []jobrecord.Result{}, 0
	for _, result := range view.Results[min(call.After, len(view.Results)):] {
		if size += result.EncodedBytes(); size > maxPageBytes && len(page) > 0 {
			break
		}
		page = append(page, result)
	}
	if err := http1.Hold(request, encodedPageCopies*int64(size)); err != nil {
		server.rejectBody(writer, call, err)
		return
	}
	body, err := server.Callers.Results(len(view.Job.Items), page, call.After+len(page))
	if err != nil {
		server.reject(writer, call, http.StatusInternalServerError, 0, err.Error())
		return
	}
	switch {
	case len(page) == 0 && mayLackResults(view, call.After):
		server.logNoResults(call, view, storeAsked, arrived, "behind")
		server.reject(writer, call, http.StatusServiceUnavailable, notReadyRetryAfter, "results may exist that are not known here yet")
		return
	case len(page) == 0 && !hasAllResults(view):
		server.logNoResults(call, view, storeAsked, arrived, "empty page")
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body) // a caller that has disconnected repeats the call
}

// hasAllResults reports whether view has a result for each item of its job.
func hasAllResults(view node.JobView) bool { return len(view.Results) >= len(view.Job.Items) }

// mayLackResults reports whether the store may have results that view lacks and that other processes have returned: view is old, does not
// reach the position after, up to which the caller has read, or has chunks that follow one which it lacks.
func mayLackResults(view node.JobView, after int) bool {
	return len(view.Results) < after || !hasAllResults(view) && (view.HeldBack > 0 || time.Since(view.AsOf) > maxViewAge)
}

// awaitResults waits up to call.Wait, or until a stop is about to cut the call, for results after position call.After, and returns the view that
// has them or else the latest view. It aborts the response if ctx ends.
func (server *Server) awaitResults(ctx context.Context, call port.Call, view node.JobView) (latest node.JobView) {
	timer := time.NewTimer(call.Wait)
	defer timer.Stop()
	for waiting := call.Wait > 0; ; {
		current, _, changed := server.Node.JobView(call.JobID)
		if current.Job != nil && len(current.Results) >= len(view.Results) { // otherwise the job's records are being removed
			view = current
		}
		if !waiting || len(view.Results) > call.After || hasAllResults(view) {
			return view
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-server.waitsEnd:
			waiting = false
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// readChunks reads the chunks after those of view from the store, until view has a result after position after or the store has no further
// chunk. The view is then as of the start of the last call: the response may arrive late, for example if this process was suspended
// meanwhile. It ends early if the store does not answer.
func (server *Server) readChunks(ctx context.Context, view node.JobView, after int) (latest node.JobView) {
	for len(view.Results) <= after && !hasAllResults(view) {
		started := time.Now()
		record, ok, err := server.Node.Store.Get(ctx, server.Node.Records.OwnKey(jobrecord.ChunkKey(view.Job.ID, view.Chunks)))
		if err != nil {
			return view
		}
		if !ok {
			view.AsOf, view.Source, view.HeldBack = started, "chunk", 0
			return view
		}
		var chunk jobrecord.Chunk
		if err = json.Unmarshal(record.Value, &chunk); err != nil {
			server.Log.Warn("batch record ignored", zap.String("key", record.Key), telemetry.Err(err))
			return view
		}
		view.View = view.WithChunk(chunk)
	}
	return view
}

// logNoResults logs that a call for results gets none.
func (server *Server) logNoResults(call port.Call, view node.JobView, storeAsked bool, arrived time.Time, outcome string) {
	items := 0
	if view.Job != nil {
		items = len(view.Job.Items)
	}
	server.Log.Info("no results", zap.String("job", call.JobID), zap.Int("after", call.After), zap.Int("known", len(view.Results)), zap.Int("items", items),
		zap.Duration("view_age", time.Since(view.AsOf)), zap.String("view_source", view.Source), zap.Int64("revision", view.Revision),
		zap.Duration("change_age", time.Since(view.ChangedAt)), zap.Int("held_back", view.HeldBack), zap.Bool("store_asked", storeAsked),
		zap.Duration("took", time.Since(arrived)), zap.String("outcome", outcome))
}

// serveItemBody answers with the request body of one item of a job that has not ended.
func (server *Server) serveItemBody(writer http.ResponseWriter, request *http.Request, call port.Call) {
	view, status := server.findJob(request.Context(), call.JobID)
	if status != 0 {
		server.rejectJob(writer, call, status)
		return
	}
	for _, item := range view.Job.Items {
		if item.ID == call.ItemID && !view.Ownership.Ended {
			writer.Header().Set("Content-Type", "application/octet-stream")
			_, _ = writer.Write(item.Body) // a caller that has disconnected repeats the call
			return
		}
	}
	server.reject(writer, call, http.StatusNotFound, 0, "no such item")
}

// serveCancel cancels a job: it records that the job has ended, so that its items are no longer run. The cancellation of a
// job that has ended succeeds.
func (server *Server) serveCancel(writer http.ResponseWriter, request *http.Request, call port.Call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), cancelTimeout)
	defer cancel()
	view, _, _ := server.Node.JobView(call.JobID)
	if view.Ownership.Ended {
		return // net/http answers 200
	}
	key := server.Node.Records.OwnKey(jobrecord.OwnershipKey(call.JobID))
	ownership := view.Ownership
	for {
		done, err := server.tryRecordEnd(ctx, key, &ownership)
		switch {
		case done:
			server.Log.Info("job ended", zap.String("job", call.JobID))
			return
		case errors.Is(err, errJobNotFound):
			server.rejectJob(writer, call, http.StatusNotFound)
			return
		}
		select {
		case <-ctx.Done():
			server.reject(writer, call, http.StatusGatewayTimeout, 0, "the end may not have been recorded")
			return
		case <-time.After(commitRetryDelay):
		}
	}
}

const errJobNotFound = errors.ConstError("no such batch job")

// tryRecordEnd makes one attempt to record the end of a job under the given ownership key. It reads ownership from the store
// where its epoch is 0, and sets the epoch to 0 where the record may have changed.
func (server *Server) tryRecordEnd(ctx context.Context, key string, ownership *jobrecord.VersionedOwnership) (done bool, err error) {
	if ownership.Epoch == 0 {
		record, ok, err := server.Node.Store.Get(ctx, key)
		if err != nil {
			return false, err
		}
		if !ok {
			return false, errJobNotFound
		}
		ownership.Epoch = record.Revision
		if err = json.Unmarshal(record.Value, &ownership.Ownership); err != nil {
			return false, err
		}
		if ownership.Ended {
			return true, nil
		}
	}
	value, err := jobrecord.Encode(ownership.WithEnd())
	if err != nil {
		return false, err
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: key, Revision: ownership.Epoch}}, Writes: []store.Write{{Key: key, Value: value}}}
	_, _, err = server.Node.Store.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		ownership.Epoch = 0 // another process has changed the record, or this call may have
	}
	return err == nil, err
}
