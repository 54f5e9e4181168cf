package entry

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"cowslipway/core/state/config"
	"cowslipway/core/state/openaibatch"
	"cowslipway/core/state/order"
	"cowslipway/core/state/request"
	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/operator"
	"cowslipway/io/protocol/peer"
)

const maxDeclarationBytes = 16 << 20

// addOperatorRoutes adds the paths below /operator/v1 to app.
func (entry *Entry) addOperatorRoutes(app *iris.Application) {
	app.Get("/operator/v1/configuration", entry.operatorOnly(entry.getConfiguration))
	app.Post("/operator/v1/configuration", entry.operatorOnly(entry.applyConfiguration))
	app.Get("/operator/v1/status", entry.operatorOnly(entry.status))
	app.Get("/operator/v1/where/{id}", entry.operatorOnly(entry.locate))
	app.Post("/operator/v1/jobs/{account}/{id}/cancel", entry.operatorOnly(entry.cancelJobAsOperator))
	app.Post("/operator/v1/targets/{target}/orders", entry.operatorOnly(entry.sendOrder))
	app.Post("/operator/v1/daemons/{name}/drain", entry.operatorOnly(entry.drainDaemon))
	app.Delete("/operator/v1/daemons/{name}/drain", entry.operatorOnly(entry.drainDaemon))
}

// operatorOnly returns a handler that serves only operators.
func (entry *Entry) operatorOnly(serve func(*session) *caller.Error) iris.Handler {
	return func(ctx iris.Context) {
		session := &session{ctx: ctx.Request().Context(), iris: ctx, id: request.NewID("req-"), started: time.Now(), configuration: entry.configurations.Current()}
		session.setHeader(caller.RequestIDHeader, session.id)
		failure := entry.authenticateOperator(session)
		if failure == nil {
			failure = serve(session)
		}
		if failure != nil {
			entry.writeError(ctx.ResponseWriter(), failure)
		}
	}
}

// authenticateOperator checks that the API key is in the settings or belongs to an account marked as operator. The keys
// in the settings work before the first configuration is adopted.
func (entry *Entry) authenticateOperator(session *session) *caller.Error {
	key, _ := strings.CutPrefix(session.iris.GetHeader("Authorization"), "Bearer ")
	digest := config.KeyDigest(key)
	for _, operatorKey := range entry.Settings.OperatorKeys {
		if operatorKey == digest {
			return nil
		}
	}
	account, ok := session.configuration.AccountByKey(key)
	if !ok || !account.Operator {
		return caller.InvalidRequest(http.StatusForbidden, "not_an_operator", "the API key is not an operator's")
	}
	return nil
}

// getConfiguration responds with the current configuration.
func (entry *Entry) getConfiguration(session *session) *caller.Error {
	current := entry.configurations.Current()
	if entry.store != nil {
		// Operators base changes on the stored configuration, which may be newer than this entry's.
		if stored, _, err := operator.ReadCurrent(session.ctx, entry.store); err == nil {
			current = stored
		}
	}
	return writeJSON(session, current)
}

// applyConfiguration stores a new configuration, adopts it and responds with its version.
func (entry *Entry) applyConfiguration(session *session) *caller.Error {
	body, failure := entry.readBody(session, maxDeclarationBytes)
	if failure != nil {
		return failure
	}
	var input operator.ApplyRequest
	if err := config.DecodeStrict(body, &input); err != nil {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_json", "%s", err)
	}
	if err := config.Check(input.Configuration); err != nil {
		return caller.InvalidRequest(http.StatusUnprocessableEntity, "invalid_declaration", "%s", err)
	}
	if input.Operation == "" {
		return caller.InvalidRequest(http.StatusBadRequest, "missing_operation", "\"operation\" is missing; it names the change when it is sent again")
	}
	if entry.store == nil {
		return storeUnavailable(request.NotRun)
	}
	version, err := operator.Apply(session.ctx, entry.store, input.Base, input.Configuration, input.Operation)
	switch {
	case errors.Is(err, operator.ErrVersionConflict):
		return entry.writeConflict(session, input.Base)
	case errors.Is(err, operator.ErrTooLarge):
		return caller.InvalidRequest(http.StatusRequestEntityTooLarge, "declaration_too_large", "%s", err)
	case err != nil:
		return storeWriteError(err)
	}
	if entry.configurations.SetIfNewer(input.Configuration.WithVersion(version).Indexed()) {
		entry.configurationAdopted(version)
	}
	return writeJSON(session, operator.ApplyResponse{Version: version})
}

// writeConflict responds with the difference between the version that the change was based on and the current one.
func (entry *Entry) writeConflict(session *session, base int64) *caller.Error {
	current, _, err := operator.ReadCurrent(session.ctx, entry.store)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	baseConfiguration := config.Configuration{Version: base}
	if base > 0 {
		if baseConfiguration, err = operator.ReadVersion(session.ctx, entry.store, base); err != nil && !errors.Is(err, errors.NotFound) {
			return storeUnavailable(request.NotRun)
		}
	}
	session.iris.StatusCode(http.StatusConflict)
	return writeJSON(session, operator.ApplyResponse{Version: current.Version, Conflict: true, Diff: config.Diff(baseConfiguration, current).String()})
}

// status responds with the configuration version, the state of the store and the known entries and target daemons.
func (entry *Entry) status(session *session) *caller.Error {
	fleet := entry.fleet.Load()
	response := operator.StatusResponse{Version: entry.configurations.Current().Version}
	if entry.store != nil {
		response.StoreUp, response.StoreCalls = entry.store.Available(), entry.store.Calls()
	}
	for _, presence := range fleet.entries {
		response.Daemons = append(response.Daemons, operator.Process{Name: presence.Name, Role: etcd.EntryRole, Place: presence.Place, Version: presence.Version})
	}
	for name, daemon := range fleet.daemons {
		response.Daemons = append(response.Daemons, operator.Process{
			Name:    name,
			Role:    etcd.TargetRole,
			Place:   daemon.handshake.Load().Place,
			Version: daemon.version.Load(),
			Leaving: daemon.retiring.Load(),
		})
	}
	sort.Slice(response.Daemons, func(i, j int) bool { return response.Daemons[i].Name < response.Daemons[j].Name })
	return writeJSON(session, response)
}

// locate responds with the runs of a request, as recorded by this entry and the connected target daemons, and with the
// state of the batch job that it names or belongs to.
func (entry *Entry) locate(session *session) *caller.Error {
	response := operator.LocateResponse{ID: session.iris.Params().Get("id"), Runs: []peer.Run{}}
	for _, run := range entry.history.RunsOf(response.ID) {
		response.Runs = append(response.Runs, peer.NewRun(run, entry.Settings.Name))
	}
	response.Runs = append(response.Runs, entry.locateAtDaemons(session, response.ID)...)
	response.Job = entry.locateJob(session, response.ID)
	if len(response.Runs) == 0 && response.Job == nil {
		return caller.InvalidRequest(http.StatusNotFound, "unknown_id", "nothing is known of %q here", response.ID)
	}
	sort.Slice(response.Runs, func(i, j int) bool { return response.Runs[i].Started.Before(response.Runs[j].Started) })
	return writeJSON(session, response)
}

// locateAtDaemons returns the runs of a request that the connected target daemons have recorded.
func (entry *Entry) locateAtDaemons(session *session, id string) (runs []peer.Run) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	for _, daemon := range entry.fleet.Load().daemons {
		conns := daemon.connections.Load()
		if conns == nil {
			continue
		}
		group.Go(func() {
			response, err := conns.clientFor(request.Online).Call(session.ctx, peer.Call{Kind: peer.CallFindRuns, RequestID: id})
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			runs = append(runs, response.Runs...)
		})
	}
	group.Wait()
	return runs
}

// locateJob returns the state of the job with the given ID, or of the item with the given ID and its job. It returns
// nil if there is none or the store is unavailable.
func (entry *Entry) locateJob(session *session, id string) *operator.JobState {
	jobID, itemNumber, isItem := strings.Cut(id, ".")
	if entry.store == nil || !strings.HasPrefix(jobID, "batch_") {
		return nil
	}
	account, err := etcd.Read[string](session.ctx, entry.store, etcd.OtherCall, etcd.JobAccountKey(jobID))
	if err != nil || account.Revision == 0 {
		return nil
	}
	record, err := etcd.Read[openaibatch.Job](session.ctx, entry.store, etcd.OtherCall, etcd.JobKey(account.Value, jobID))
	if err != nil || record.Revision == 0 {
		return nil
	}
	return entry.jobState(session, record.Value, itemNumber, isItem)
}

// jobState returns the state of a job and, if isItem, of one of its items.
func (entry *Entry) jobState(session *session, job openaibatch.Job, itemNumber string, isItem bool) *operator.JobState {
	counts := job.Counts
	if job.Status == openaibatch.InProgress {
		counts, _ = entry.countItems(session.ctx, job.ID)
	}
	state := &operator.JobState{Status: string(job.Status), Total: job.Items(), Done: counts.Completed, Failed: counts.Failed}
	number, err := strconv.Atoi(itemNumber)
	if !isItem || err != nil || number < 0 || number >= job.Items() {
		return state
	}
	for number >= job.Segments[state.Segment] {
		number -= job.Segments[state.Segment]
		state.Segment++
	}
	record, err := etcd.Read[openaibatch.Segment](session.ctx, entry.store, etcd.OtherCall, etcd.SegmentKey(job.ID, state.Segment))
	if err != nil {
		return state
	}
	state.Owner, state.Outcome = record.Value.Owner, "pending"
	if record.Value.Finished.Has(number) {
		state.Outcome = "committed"
	}
	return state
}

// cancelJobAsOperator cancels a job of any account.
func (entry *Entry) cancelJobAsOperator(session *session) *caller.Error {
	if entry.store == nil {
		return storeUnavailable(request.NotRun)
	}
	params := session.iris.Params()
	record, err := etcd.Read[openaibatch.Job](session.ctx, entry.store, etcd.CommitCall, etcd.JobKey(params.Get("account"), params.Get("id")))
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	if record.Revision == 0 {
		return caller.InvalidRequest(http.StatusNotFound, "unknown_batch", "there is no batch job %q of account %q", params.Get("id"), params.Get("account"))
	}
	return entry.cancelJob(session, record.Value)
}

// sendOrder stores an order under the next epoch of the target and sends it to the target daemon on the engine's VM.
func (entry *Entry) sendOrder(session *session) *caller.Error {
	body, failure := entry.readBody(session, entry.Settings.MaxBodyBytes)
	if failure != nil {
		return failure
	}
	var input operator.OrderRequest
	if err := config.DecodeStrict(body, &input); err != nil {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_json", "%s", err)
	}
	if !strings.HasPrefix(input.Path, "/") {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_path", "\"path\" is %q; a path on the engine is needed", input.Path)
	}
	name := session.iris.Params().Get("target")
	view, ok := entry.fleet.Load().target(name)
	if !ok {
		return caller.InvalidRequest(http.StatusNotFound, "unknown_target", "there is no target %q", name)
	}
	if entry.store == nil {
		return storeUnavailable(request.NotRun)
	}
	next, err := entry.recordOrder(session, name, input)
	if err != nil {
		return storeWriteError(err)
	}
	conns := view.daemon.connections.Load()
	response := operator.OrderResponse{Epoch: next.Order.Epoch, Disposition: request.NotRun.String(), Reason: string(request.ReasonTargetLost)}
	if conns != nil {
		callResponse, err := conns.clientFor(request.Online).Call(session.ctx, peer.Call{Kind: peer.CallOrder, Target: name, Order: next.Order})
		response.Disposition, response.Reason = callResponse.Outcome.Disposition.String(), string(callResponse.Outcome.Reason)
		if err != nil {
			response.Disposition, response.Reason = request.MayHaveRun.String(), string(request.ReasonTargetLost)
		}
	}
	return writeJSON(session, response)
}

// recordOrder stores the order under the next epoch of the target. It returns [etcd.ErrConflict] if another order was
// stored at the same time.
func (entry *Entry) recordOrder(session *session, target string, input operator.OrderRequest) (next order.Record, err error) {
	key := etcd.OrderKey(target)
	current, err := etcd.Read[order.Record](session.ctx, entry.store, etcd.ConfigurationCall, key)
	if err != nil {
		return next, err
	}
	next = current.Value.WithOrder(input.Path, input.Body)
	operationID := etcd.NewOperation()
	data, err := etcd.Encode(operationID, next)
	if err != nil {
		return next, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(key, current.Revision)},
		Success: []etcd.RequestOp{etcd.Put(key, data)},
	}
	_, err = etcd.Commit(session.ctx, entry.store, etcd.ConfigurationCall, txn, key, operationID)
	return next, err
}

// drainDaemon stores an operator's request to drain a target daemon; with DELETE it removes the request.
func (entry *Entry) drainDaemon(session *session) *caller.Error {
	if entry.store == nil {
		return storeUnavailable(request.NotRun)
	}
	name := session.iris.Params().Get("name")
	operation := etcd.Delete(etcd.DrainKey(name))
	if session.iris.Method() == http.MethodPost {
		data, err := etcd.Encode(etcd.NewOperation(), Presence{Name: name})
		if err != nil {
			return storeUnavailable(request.NotRun)
		}
		operation = etcd.Put(etcd.DrainKey(name), data)
	}
	_, err := entry.store.Txn(session.ctx, etcd.ConfigurationCall, etcd.TxnRequest{Success: []etcd.RequestOp{operation}})
	if err != nil {
		return storeWriteError(err)
	}
	session.iris.StatusCode(http.StatusNoContent)
	return nil
}
