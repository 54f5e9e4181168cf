package ingress

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/store"
)

const (
	viewPatience = 600 * time.Millisecond // news of the store take at most the follower's pace and a call
	// staleAfter is as old as a view may be that is shown: what was read elsewhere has to be known here after 1 s. An older
	// one is of a process that is behind: it asks the store before it says that there is nothing yet.
	staleAfter     = 950 * time.Millisecond
	submitPatience = 1500 * time.Millisecond
	endPatience    = 3 * time.Second // the end of a job has to be acknowledged within 4 s
	writePause     = 100 * time.Millisecond
	outageRetry    = time.Second
	pageBytes      = 900 << 10 // of results: callers get at most 1 MB
	maxItems       = 200
	defaultTarget  = 18 * time.Second
	defaultAbandon = 60 * time.Second
	abandonMargin  = 5 * time.Second // clocks of VMs differ
)

// serveSubmission accepts a batch job once its record is in the store.
func (server *Server) serveSubmission(writer http.ResponseWriter, request *http.Request, call port.Call, route routes.Route, path string, body []byte) {
	if call.RequestID == "" {
		server.refuse(writer, call, http.StatusBadRequest, 0, "a batch job needs an identifier")
		return
	}
	items, err := server.Callers.Job(body)
	if err != nil || len(items) > maxItems {
		server.refuse(writer, call, http.StatusBadRequest, 0, "not a batch job of at most 200 items")
		return
	}
	if view, ok, _ := server.Node.JobView(call.RequestID); ok && view.Job != nil {
		writer.WriteHeader(http.StatusAccepted)
		return
	}
	txn, err := server.submission(call, request.Host, route, path, items)
	if err != nil {
		server.refuse(writer, call, http.StatusInternalServerError, 0, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), submitPatience)
	defer cancel()
	err = server.create(ctx, txn)
	switch {
	case err == nil:
		writer.WriteHeader(http.StatusAccepted)
		server.Log.Info("job accepted", zap.String("job", call.RequestID), zap.Int("items", len(items)))
	case errors.Is(err, store.ErrNotSent):
		server.refuse(writer, call, http.StatusServiceUnavailable, outageRetry, "not run: "+err.Error())
	default:
		server.refuse(writer, call, http.StatusGatewayTimeout, 0, "the job may have been accepted: "+err.Error())
	}
}

func (server *Server) submission(call port.Call, host string, route routes.Route, path string, items []jobrecord.Item) (txn store.Txn, err error) {
	now := time.Now()
	target, lifetime := route.BatchTarget, route.BatchLifetime
	if target <= 0 {
		target = defaultTarget
	}
	if lifetime <= 0 {
		lifetime = defaultAbandon
	}
	job := jobrecord.Job{
		ID: call.RequestID, Host: host, Path: path, Submitted: now, Due: now.Add(target),
		AbandonAfter: now.Add(lifetime + abandonMargin), Items: items,
	}
	jobValue, err := jobrecord.Encode(job)
	if err != nil {
		return txn, err
	}
	owner := jobrunner.PreferredOwner(job.ID, server.Node.Members(fleet.WorkerRole))
	ownership, err := jobrecord.Encode(jobrecord.Ownership{Owner: owner, Submitted: now})
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

// create carries out the creation of a job. The cause of its error is ErrNotSent where no part of the job exists or
// will; a job that exists already is no error.
func (server *Server) create(ctx context.Context, txn store.Txn) (err error) {
	lost := false // an earlier call may yet take effect
	for {
		_, _, err = server.Node.Store.Commit(ctx, txn)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		lost = lost || !errors.Is(err, store.ErrNotSent)
		select {
		case <-ctx.Done():
			if lost {
				// Not err as it is: the last call's certainty says nothing of the earlier ones.
				return errors.Annotate(store.ErrUnknown, err.Error())
			}
			return err
		case <-time.After(writePause):
		}
	}
}

// find returns what is known of a job; it asks the store where the view has not shown the job yet.
// A status other than 0 is the answer to the caller.
func (server *Server) find(ctx context.Context, id string) (view jobrecord.View, status int) {
	deadline := time.Now().Add(viewPatience)
	asked := false
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
			if asked {
				return view, http.StatusServiceUnavailable
			}
			asked, deadline = true, time.Now().Add(viewPatience)
			if exists, err := server.exists(ctx, id); err == nil && !exists {
				return view, http.StatusNotFound
			}
		}
		timer.Stop()
		if ctx.Err() != nil {
			return view, http.StatusServiceUnavailable
		}
	}
}

// exists asks the store for a job; of one that was swept only the mark of its end is left.
func (server *Server) exists(ctx context.Context, id string) (exists bool, err error) {
	item, ok, err := server.Node.Store.Get(ctx, server.Node.Records.OwnKey(jobrecord.OwnershipKey(id)))
	if err != nil || !ok {
		return false, err
	}
	var ownership jobrecord.Ownership
	if err = json.Unmarshal(item.Value, &ownership); err != nil || !ownership.Ended {
		return true, err
	}
	_, exists, err = server.Node.Store.Get(ctx, server.Node.Records.OwnKey(jobrecord.JobKey(id)))
	return exists, err
}

func (server *Server) refuseUnfound(writer http.ResponseWriter, call port.Call, status int) {
	if status == http.StatusNotFound {
		server.refuse(writer, call, status, 0, "no such batch job")
		return
	}
	server.refuse(writer, call, status, unreadyRetry, "the batch job is not known here yet")
}

// serveResults answers with the results after a position, and waits for one where the caller allows it.
func (server *Server) serveResults(writer http.ResponseWriter, request *http.Request, call port.Call) {
	ctx := request.Context()
	view, status := server.find(ctx, call.JobID)
	if status != 0 {
		server.refuseUnfound(writer, call, status)
		return
	}
	timer := time.NewTimer(call.Wait)
	defer timer.Stop()
	waiting := call.Wait > 0
	for len(view.Results) <= call.After && len(view.Results) < len(view.Job.Items) && waiting {
		current, _, changed := server.Node.JobView(call.JobID)
		if len(current.Results) > len(view.Results) {
			view = current
			continue
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	behind := len(view.Results) < call.After
	open := len(view.Results) < len(view.Job.Items)
	if behind || len(view.Results) == call.After && open && server.Node.ViewAge() > staleAfter && !server.current(ctx, view) {
		server.refuse(writer, call, http.StatusServiceUnavailable, unreadyRetry, "results may exist that are not known here yet")
		return
	}
	page, bytes := []jobrecord.Result{}, 0
	for _, result := range view.Results[call.After:] {
		if bytes += len(result.Text); bytes > pageBytes && len(page) > 0 {
			break
		}
		page = append(page, result)
	}
	body, err := server.Callers.Results(len(view.Job.Items), page, call.After+len(page))
	if err != nil {
		server.refuse(writer, call, http.StatusInternalServerError, 0, err.Error())
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body) // a caller that is gone asks again
}

// current reports whether the store has no results of a job beyond those of view.
func (server *Server) current(ctx context.Context, view jobrecord.View) bool {
	key := server.Node.Records.OwnKey(jobrecord.ChunkKey(view.Job.ID, view.Chunks))
	_, further, err := server.Node.Store.Get(ctx, key)
	return err == nil && !further
}

// serveItemBody answers with the body of one item.
func (server *Server) serveItemBody(writer http.ResponseWriter, request *http.Request, call port.Call) {
	view, status := server.find(request.Context(), call.JobID)
	if status != 0 {
		server.refuseUnfound(writer, call, status)
		return
	}
	for _, item := range view.Job.Items {
		if item.ID == call.ItemID && !view.Ownership.Ended {
			writer.Header().Set("Content-Type", "application/octet-stream")
			_, _ = writer.Write(item.Body) // a caller that is gone asks again
			return
		}
	}
	server.refuse(writer, call, http.StatusNotFound, 0, "no such item")
}

// serveEnd ends a job for good.
func (server *Server) serveEnd(writer http.ResponseWriter, request *http.Request, call port.Call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), endPatience)
	defer cancel()
	view, _, _ := server.Node.JobView(call.JobID)
	if view.Ownership.Ended {
		return // 200
	}
	key := server.Node.Records.OwnKey(jobrecord.OwnershipKey(call.JobID))
	owned := view.Ownership
	for {
		done, err := server.endOnce(ctx, key, &owned)
		switch {
		case done:
			server.Log.Info("job ended", zap.String("job", call.JobID))
			return
		case errors.Is(err, errNoJob):
			server.refuseUnfound(writer, call, http.StatusNotFound)
			return
		}
		select {
		case <-ctx.Done():
			server.refuse(writer, call, http.StatusGatewayTimeout, 0, "the end may not have been recorded")
			return
		case <-time.After(writePause):
		}
	}
}

const errNoJob = errors.ConstError("no such batch job")

// endOnce tries once to record the end; owned is read anew where it is not current.
func (server *Server) endOnce(ctx context.Context, key string, owned *jobrecord.VersionedOwnership) (done bool, err error) {
	if owned.Epoch == 0 {
		item, ok, err := server.Node.Store.Get(ctx, key)
		if err != nil {
			return false, err
		}
		if !ok {
			return false, errNoJob
		}
		owned.Epoch = item.Revision
		if err = json.Unmarshal(item.Value, &owned.Ownership); err != nil {
			return false, err
		}
		if owned.Ended {
			return true, nil
		}
	}
	value, err := jobrecord.Encode(owned.WithEnd())
	if err != nil {
		return false, err
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: key, Revision: owned.Epoch}}, Writes: []store.Write{{Key: key, Value: value}}}
	_, _, err = server.Node.Store.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		owned.Epoch = 0 // somebody else changed it, or this call did
	}
	return err == nil, err
}
