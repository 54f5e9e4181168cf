package ingress

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/accountlimit"
	"cowslipway/core/state/routes"
	"cowslipway/io/process/telemetry"
)

// unboundedLimitTimeout is the timeout of a request without a deadline as far as waiting for the owners of a limit is concerned.
const unboundedLimitTimeout = 5 * time.Second

// admitAccount decides whether the limit of the caller's account admits the request, and answers the request otherwise. done returns
// the admission if the request was not sent to an engine.
func (online *onlineRequest) admitAccount() (done func(), ok bool) {
	account := online.caller.account
	if account == nil || account.Rate <= 0 {
		return func() {}, true
	}
	node := online.server.Node
	timeout := unboundedLimitTimeout
	if !online.deadline.IsZero() {
		timeout = time.Until(online.deadline)
	}
	claim := node.AdmitAccount(online.request.Context(), *account, timeout)
	admission := node.AccountAdmission(claim)
	online.usage, online.usageKnown = admission.Usage, admission.Usage > 0
	if admission.Allowed {
		telemetry.AccountLimits.Add(telemetry.AccountLabel(account.Name)+" admitted", 1)
		return func() {
			if !online.reachedEngine {
				node.ReturnAdmission(claim)
			}
		}, true
	}
	telemetry.AccountLimits.Add(telemetry.AccountLabel(account.Name)+" refused", 1)
	reason := "not run: the account has exceeded its limit"
	if admission.Outcome != accountlimit.Exceeded {
		reason = "not run: it is not known now whether the account has exceeded its limit"
	}
	online.server.reject(online.writer, online.call, http.StatusTooManyRequests, admission.RetryAfter, reason,
		append(online.caller.fields(), admissionFields(*account, admission)...)...)
	return nil, false
}

// admissionFields returns the log fields of a decision on the limit of an account.
func admissionFields(account routes.Account, admission accountlimit.Admission) []zap.Field {
	return []zap.Field{
		zap.Float64("rate", account.Rate), zap.Float64("burst", account.Burst), zap.Float64("usage", admission.Usage),
		zap.String("limit_owner", admission.Owner), zap.Stringer("limit_outcome", admission.Outcome), zap.Int("asked", admission.Asked),
		zap.Int("unpaid", admission.Unpaid), zap.Int("allowance", admission.Allowance), zap.Duration("view_age", admission.ViewAge),
	}
}
