package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
)

// quarantinedReason is the reason for which a request is rejected under which several engines have ended.
const quarantinedReason = "quarantined, since engines ended while they ran this request"

// quarantinedPartReason is the reason for which a request is rejected that has a part of a prompt under which several engines have ended.
const quarantinedPartReason = "quarantined, since engines ended while they ran requests with a part of its prompt"

// unprovenReason is the reason for which a request is rejected while another copy of it is tried.
const unprovenReason = "quarantined until one like it has run, since engines ended while they ran copies of this request, or others with a part of its prompt"

// readContent returns what engines read of the request.
func (online *onlineRequest) readContent() poisonpill.Content {
	return poisonpill.Content{
		Request: poisonpill.FingerprintOf(online.request.Method, online.request.Host, online.request.RequestURI, online.body),
		Parts:   online.parts(),
	}
}

// fingerprint returns the fingerprint of the request.
func (online *onlineRequest) fingerprint() poisonpill.Fingerprint { return online.content().Request }

// parts returns the parts of the prompt that other requests may have too.
func (online *onlineRequest) parts() []poisonpill.Part {
	return poisonpill.PartsOf(online.server.Node.Engines.PromptParts(online.header))
}

// fingerprintField returns the log field with the fingerprint of the request after an attempt whose outcome is unknown, and
// no field after any other attempt.
func (online *onlineRequest) fingerprintField(result outcome) zap.Field {
	if result != unknown {
		return zap.Skip()
	}
	return zap.Stringer("fingerprint", online.fingerprint())
}

// quarantined returns a quarantine that keeps the request from running at engine, or at any engine if that is the zero value. ok is
// false if there is none, or if the request may run as the trial of all that there are.
func (online *onlineRequest) quarantined(ctx context.Context, engine fleet.Engine) (quarantine poisonpill.Quarantine, ok bool) {
	quarantines, ambiguous := online.server.Node.Quarantines(online.content, engine)
	for _, quarantine := range quarantines {
		if ambiguous || !online.mayTry(ctx, quarantine) {
			return quarantine, true
		}
	}
	return quarantine, false
}

// mayTry reports whether the request may run although it, or a part of its prompt, is quarantined: as the only one in the fleet that does.
func (online *onlineRequest) mayTry(ctx context.Context, quarantine poisonpill.Quarantine) (allowed bool) {
	if number, ok := online.trials[quarantine.Fingerprint]; ok {
		return number == quarantine.TrialNumber && !online.reachedEngine
	}
	if !online.server.Node.TakeTrial(ctx, online.call.RequestID, quarantine) {
		return false
	}
	if online.trials == nil {
		online.trials = map[poisonpill.Fingerprint]int{}
	}
	online.trials[quarantine.Fingerprint] = quarantine.TrialNumber
	return true
}

// rejectQuarantined returns why a quarantined request is rejected and when it may run again. While its quarantine is unproven, that
// is once a trial has completed.
func (online *onlineRequest) rejectQuarantined(quarantine poisonpill.Quarantine) (retryAfter time.Duration, reason string, fields []zap.Field) {
	reason, retryAfter = quarantinedReason, time.Until(quarantine.Until)
	if quarantine.Part != "" {
		reason = quarantinedPartReason
	}
	if quarantine.Unproven && quarantine.Trials > 0 {
		reason, retryAfter = unprovenReason, trialRetryAfter
	}
	return retryAfter, reason, []zap.Field{zap.Stringer("fingerprint", quarantine.Fingerprint), zap.String("part", quarantine.Part), zap.Int("ends", len(quarantine.Ends)), zap.Time("until", quarantine.Until)}
}
