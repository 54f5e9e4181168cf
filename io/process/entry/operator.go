package entry

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

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

// operatorOnly lets operators through: accounts marked so, and the keys in the settings, which work before a
// first configuration is in force.
func (entry *Entry) operatorOnly(serve func(*session) *caller.Error) iris.Handler {
	return func(ctx iris.Context) {
		session := &session{ctx: ctx.Request().Context(), iris: ctx, id: request.NewID("req-"), configuration: entry.configurations.Current()}
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

func (entry *Entry) authenticateOperator(session *session) *caller.Error {
	key, _ := strings.CutPrefix(session.iris.GetHeader("Authorization"), "Bearer ")
	digest := config.KeyDigest(key)
	for _, known := range entry.Settings.OperatorKeys {
		if known == digest {
			return nil
		}
	}
	account, ok := session.configuration.AccountByKey(key)
	if !ok || !account.Operator {
		return caller.InvalidRequest(http.StatusForbidden, "not_an_operator", "the API key is not an operator's")
	}
	return nil
}

func (entry *Entry) getConfiguration(session *session) *caller.Error {
	current := entry.configurations.Current()
	if entry.store != nil {
		// What operators base a change on is the store's word, not this entry's.
		if stored, _, err := operator.ReadCurrent(session.ctx, entry.store); err == nil {
			current = stored
		}
	}
	return writeJSON(session, current)
}

func (entry *Entry) applyConfiguration(session *session) *caller.Error {
	body, failure := entry.readBody(session, maxDeclarationBytes)
	if failure != nil {
		return failure
	}
	var wanted operator.ApplyRequest
	if err := config.DecodeStrict(body, &wanted); err != nil {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_json", "%s", err)
	}
	if err := config.Check(wanted.Configuration); err != nil {
		return caller.InvalidRequest(http.StatusUnprocessableEntity, "invalid_declaration", "%s", err)
	}
	if wanted.Operation == "" {
		return caller.InvalidRequest(http.StatusBadRequest, "missing_operation", "\"operation\" is missing; it names the change when it is sent again")
	}
	if entry.store == nil {
		return storeUnavailable(request.NotRun)
	}
	version, err := operator.Apply(session.ctx, entry.store, wanted.Base, wanted.Configuration, wanted.Operation)
	switch {
	case errors.Is(err, operator.ErrVersionConflict):
		return entry.writeConflict(session, wanted.Base)
	case errors.Is(err, operator.ErrTooLarge):
		return caller.InvalidRequest(http.StatusRequestEntityTooLarge, "declaration_too_large", "%s", err)
	case err != nil:
		return storeWriteError(err)
	}
	if entry.configurations.SetIfNewer(wanted.Configuration.WithVersion(version).Indexed()) {
		entry.configurationAdopted(version)
	}
	return writeJSON(session, operator.ApplyResponse{Version: version})
}

// writeConflict shows the operator who lost a race what the other one changed.
func (entry *Entry) writeConflict(session *session, base int64) *caller.Error {
	current, _, err := operator.ReadCurrent(session.ctx, entry.store)
	if err != nil {
		return storeUnavailable(request.NotRun)
	}
	seen := config.Configuration{Version: base}
	if base > 0 {
		if seen, err = operator.ReadVersion(session.ctx, entry.store, base); err != nil && !errors.Is(err, errors.NotFound) {
			return storeUnavailable(request.NotRun)
		}
	}
	session.iris.StatusCode(http.StatusConflict)
	return writeJSON(session, operator.ApplyResponse{Version: current.Version, Conflict: true, Diff: config.Diff(seen, current).String()})
}

func (entry *Entry) status(session *session) *caller.Error {
	fleet := entry.fleet.Load()
	answer := operator.StatusResponse{Version: entry.configurations.Current().Version}
	if entry.store != nil {
		answer.StoreUp, answer.StoreCalls = entry.store.Available(), entry.store.Calls()
	}
	for _, presence := range fleet.entries {
		answer.Daemons = append(answer.Daemons, operator.Process{Name: presence.Name, Role: etcd.EntryRole, Place: presence.Place, Version: presence.Version})
	}
	for name, link := range fleet.daemons {
		answer.Daemons = append(answer.Daemons, operator.Process{
			Name:    name,
			Role:    etcd.TargetRole,
			Place:   link.handshake.Load().Place,
			Version: link.version.Load(),
			Leaving: link.retiring.Load(),
		})
	}
	sort.Slice(answer.Daemons, func(i, j int) bool { return answer.Daemons[i].Name < answer.Daemons[j].Name })
	return writeJSON(session, answer)
}

// locate answers from this entry's record, from the target daemons' and from the records of jobs.
func (entry *Entry) locate(session *session) *caller.Error {
	answer := operator.LocateResponse{ID: session.iris.Params().Get("id"), Runs: []peer.Run{}}
	for _, run := range entry.history.RunsOf(answer.ID) {
		answer.Runs = append(answer.Runs, peer.NewRun(run, entry.Settings.Name))
	}
	answer.Runs = append(answer.Runs, entry.locateAtDaemons(session, answer.ID)...)
	answer.Job = entry.locateJob(session, answer.ID)
	if len(answer.Runs) == 0 && answer.Job == nil {
		return caller.InvalidRequest(http.StatusNotFound, "unknown_id", "nothing is known of %q here", answer.ID)
	}
	sort.Slice(answer.Runs, func(i, j int) bool { return answer.Runs[i].Started.Before(answer.Runs[j].Started) })
	return writeJSON(session, answer)
}

// locateAtDaemons asks every target daemon that is connected.
func (entry *Entry) locateAtDaemons(session *session, id string) (runs []peer.Run) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	for _, link := range entry.fleet.Load().daemons {
		opened := link.connections.Load()
		if opened == nil {
			continue
		}
		group.Go(func() {
			answer, err := opened.clientFor(request.Online).Call(session.ctx, peer.Call{Kind: peer.CallFindRuns, RequestID: id})
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			runs = append(runs, answer.Runs...)
		})
	}
	group.Wait()
	return runs
}

// locateJob tells how far the job called id has come, or the job of the item called id.
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

func (entry *Entry) jobState(session *session, found openaibatch.Job, itemNumber string, isItem bool) *operator.JobState {
	counts := found.Counts
	if found.Status == openaibatch.InProgress {
		counts, _ = entry.countItems(session.ctx, found.ID)
	}
	state := &operator.JobState{Status: string(found.Status), Total: found.Items(), Done: counts.Completed, Failed: counts.Failed}
	number, err := strconv.Atoi(itemNumber)
	if !isItem || err != nil || number < 0 || number >= found.Items() {
		return state
	}
	for number >= found.Segments[state.Segment] {
		number -= found.Segments[state.Segment]
		state.Segment++
	}
	record, err := etcd.Read[openaibatch.Segment](session.ctx, entry.store, etcd.OtherCall, etcd.SegmentKey(found.ID, state.Segment))
	if err != nil {
		return state
	}
	state.Owner, state.Outcome = record.Value.Owner, "pending"
	if record.Value.Finished.Has(number) {
		state.Outcome = "committed"
	}
	return state
}

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

// sendOrder records the order under the next epoch of the target's placement and passes it to the daemon
// beside the engine.
func (entry *Entry) sendOrder(session *session) *caller.Error {
	body, failure := entry.readBody(session, entry.Settings.MaxBodyBytes)
	if failure != nil {
		return failure
	}
	var wanted operator.OrderRequest
	if err := config.DecodeStrict(body, &wanted); err != nil {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_json", "%s", err)
	}
	if !strings.HasPrefix(wanted.Path, "/") {
		return caller.InvalidRequest(http.StatusBadRequest, "invalid_path", "\"path\" is %q; a path on the engine is needed", wanted.Path)
	}
	name := session.iris.Params().Get("target")
	view, ok := entry.fleet.Load().target(name)
	if !ok {
		return caller.InvalidRequest(http.StatusNotFound, "unknown_target", "there is no target %q", name)
	}
	if entry.store == nil {
		return storeUnavailable(request.NotRun)
	}
	next, err := entry.recordOrder(session, name, wanted)
	if err != nil {
		return storeWriteError(err)
	}
	opened := view.daemon.connections.Load()
	answer := operator.OrderResponse{Epoch: next.Order.Epoch, Disposition: request.NotRun.String(), Reason: string(request.ReasonTargetLost)}
	if opened != nil {
		told, err := opened.clientFor(request.Online).Call(session.ctx, peer.Call{Kind: peer.CallOrder, Target: name, Order: next.Order})
		answer.Disposition, answer.Reason = told.Outcome.Disposition.String(), string(told.Outcome.Reason)
		if err != nil {
			answer.Disposition, answer.Reason = request.MayHaveRun.String(), string(request.ReasonTargetLost)
		}
	}
	return writeJSON(session, answer)
}

func (entry *Entry) recordOrder(session *session, target string, wanted operator.OrderRequest) (next order.Record, err error) {
	key := etcd.OrderKey(target)
	current, err := etcd.Read[order.Record](session.ctx, entry.store, etcd.ConfigurationCall, key)
	if err != nil {
		return next, err
	}
	next = current.Value.WithOrder(wanted.Path, wanted.Body)
	operation := etcd.NewOperation()
	data, err := etcd.Encode(operation, next)
	if err != nil {
		return next, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(key, current.Revision)},
		Success: []etcd.RequestOp{etcd.Put(key, data)},
	}
	_, err = etcd.Commit(session.ctx, entry.store, etcd.ConfigurationCall, txn, key, operation)
	return next, err
}

// drainDaemon records that a target daemon is to be drained, or with DELETE that it is not any more.
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
