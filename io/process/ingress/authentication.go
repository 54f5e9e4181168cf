package ingress

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/authentication"
	"cowslipway/core/coordination/placement"
	"cowslipway/core/coordination/withdrawal"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/process/telemetry"
)

// staleRetryAfter covers one reading of the store after an outage.
const staleRetryAfter = time.Second

// identity is what is known of the caller of one call, by the newest configuration.
type identity struct {
	table       *routes.Table
	account     *routes.Account // nil if the call has no key that is known
	hasAccounts bool
	verdict     withdrawal.Verdict
	digest      authentication.Digest // of the key
	proofAge    time.Duration         // of the configuration
}

// identify finds the account of a call by the newest configuration. isPublic tells by its routing table whether the call needs no key.
func (server *Server) identify(call port.Call, isPublic func(table *routes.Table) bool) (caller identity) {
	caller.proofAge = server.Node.ProofAge() // before the configuration is loaded, which is then no older
	accounts := server.Node.Accounts()
	caller.table, caller.hasAccounts = accounts.Table(), accounts.HasAccounts()
	held := false
	if call.Key != "" && caller.hasAccounts {
		caller.digest = authentication.DigestOf(call.Key)
		caller.account, held = accounts.Find(caller.digest)
	}
	if !caller.hasAccounts || isPublic(caller.table) {
		return caller
	}
	policy := withdrawal.Policy{Bound: server.Node.Settings.RevocationBound.Duration()}
	caller.verdict = policy.Decide(held, caller.proofAge)
	telemetry.KeyChecks.Add(caller.verdict.String(), 1)
	return caller
}

// accountName returns the name of the caller's account, or nothing if it has none.
func (caller identity) accountName() string {
	if caller.account == nil {
		return ""
	}
	return caller.account.Name
}

// fields returns the log fields of a decision about the caller.
func (caller identity) fields() []zap.Field {
	if !caller.hasAccounts {
		return nil
	}
	fields := []zap.Field{zap.String("account", caller.accountName()), zap.Duration("proof_age", caller.proofAge)}
	if caller.digest != (authentication.Digest{}) {
		fields = append(fields, zap.Stringer("key", caller.digest))
	}
	return fields
}

// apply sets what a placement goes by from the caller's account, if it has one.
func (caller identity) apply(request placement.Request) placement.Request {
	if account := caller.account; account != nil {
		request.Account, request.Priority, request.Weight = account.Name, account.Priority, account.Rate
	}
	return request
}

// refusal returns how to refuse a call, or an attempt that has not been sent, whose verdict is not to allow it.
func (caller identity) refusal() (status int, retryAfter time.Duration, reason string) {
	if caller.verdict == withdrawal.Stale {
		return http.StatusServiceUnavailable, staleRetryAfter, "the configuration known here may be out of date"
	}
	return http.StatusUnauthorized, noRetry, "the API key is not known"
}

// authenticate identifies the caller of a call. It answers the call and reports false if the caller's key does not allow it.
func (server *Server) authenticate(writer http.ResponseWriter, call port.Call, isPublic func(table *routes.Table) bool) (caller identity, ok bool) {
	if server.Node.Table() == nil {
		server.reject(writer, call, http.StatusServiceUnavailable, notReadyRetryAfter, "not run: the configuration is not known yet")
		return caller, false
	}
	caller = server.identify(call, isPublic)
	if caller.verdict == withdrawal.Allow {
		if caller.hasAccounts {
			telemetry.AccountCalls.Add(telemetry.AccountLabel(caller.accountName()), 1)
		}
		return caller, true
	}
	status, retryAfter, reason := caller.refusal()
	server.reject(writer, call, status, retryAfter, "not run: "+reason, caller.fields()...)
	return caller, false
}

// admitJobCall reports whether the caller may reach the batch job that the call names, and answers the call otherwise. A job of another
// account is answered like one that does not exist.
func (server *Server) admitJobCall(writer http.ResponseWriter, request *http.Request, call port.Call) (ok bool) {
	host := request.Host
	caller, ok := server.authenticate(writer, call, func(table *routes.Table) bool { return call.Key == "" && table.HasPublicJobs(host) })
	if !ok || !caller.hasAccounts {
		return ok
	}
	view, _, _ := server.Node.JobView(call.JobID)
	if view.Job == nil && (view.Ownership.Epoch == 0 || call.Kind != port.CancelJobCall) {
		found, status := server.findJob(request.Context(), call.JobID)
		if status == http.StatusNotFound && call.Kind == port.CancelJobCall {
			return true // there is no such job, or it has ended
		}
		if status != 0 {
			server.logNoResults(call, found, true, time.Now(), "job not found")
			server.rejectJob(writer, call, status)
			return false
		}
		view = found
	}
	owner := view.Ownership.Account
	if view.Job != nil {
		owner = view.Job.Account
	}
	if owner == "" || owner == caller.accountName() { // jobs from before there were accounts are open to all
		return true
	}
	server.reject(writer, call, http.StatusNotFound, 0, "no such batch job", append(caller.fields(), zap.String("owner", owner))...)
	return false
}

// recheck identifies the caller again by the newest configuration before an attempt, and reports whether the request may still be sent.
func (online *onlineRequest) recheck() (ok bool) {
	public := online.route.Public
	online.caller = online.server.identify(online.call, func(*routes.Table) bool { return public })
	return online.caller.verdict == withdrawal.Allow
}
