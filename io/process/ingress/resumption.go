package ingress

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"

	"cowslipway/io/process/node"
	"cowslipway/io/process/telemetry"
)

// The reasons for which a caller cannot resume a stream.
const (
	versionGoneReason    = "no engine has the software version that began the stream any longer"
	engineReplacedReason = "the engine that began the stream may have had another software version than was listed"
	versionUnknownReason = "it is not known which software version began the stream"
	serviceGoneReason    = "the route no longer leads to the service that began the stream"
)

const (
	// noRetry is the retry delay of a rejection that a repeat would meet again.
	noRetry = time.Duration(-1)
	// unknownRetryAfter is the retry delay where a member that may know the stream, or the store, did not respond.
	unknownRetryAfter = 300 * time.Millisecond
)

// resumable reports whether the response is a stream that another engine may resume.
func (online *onlineRequest) resumable() bool {
	return online.route.Kind == routes.Stream && online.route.Resumable
}

// build returns the build at which the stream may go on.
func (online *onlineRequest) build() fleet.Build {
	return fleet.Build{Service: online.service, Version: online.version}
}

// findVersion sets service and version to those that began the stream which the caller resumes. If they are not known, or no longer
// serve, it rejects the request at once and returns false: the caller can then begin anew.
func (online *onlineRequest) findVersion() (ok bool) {
	started, begunBy := time.Now(), online.call.BegunBy
	if begunBy != "" {
		online.service = online.route.SelectService(begunBy) // as for the request that began the stream
	}
	window := node.StreamWindow(online.route.Timeout)
	found, known := online.server.Node.FindStream(online.request.Context(), begunBy, online.service, window, online.arrived)
	if known && begunBy != "" { // it may be taken up again, also if it is rejected now
		record := found.Record
		record.RequestID, record.Build = begunBy, found.Build
		online.recorded = online.server.Node.RenewStream(online.request.Context(), record, window)
	}
	retryAfter, reason, outcome := noRetry, "", "found"
	switch {
	case !known:
		reason, outcome = versionUnknownReason, "unknown"
		if found.Silent > 0 || found.Unproven {
			retryAfter = unknownRetryAfter
		}
	case !online.route.LeadsTo(found.Build.Service):
		reason, outcome = serviceGoneReason, "service gone"
	case !online.server.Node.Serves(found.Build):
		reason, outcome = versionGoneReason, "version gone"
	}
	telemetry.Resumptions.Add(outcome, 1)
	telemetry.StreamEvidence.Add(string(found.Evidence), 1)
	var proof zap.Field // how long after the arrival the view that is the evidence was current
	if proof = zap.Skip(); !found.AsOf.IsZero() {
		proof = zap.Duration("proof", found.AsOf.Sub(online.arrived))
	}
	online.server.Log.Info("resumption", zap.String("request", online.call.RequestID), zap.String("begun_by", begunBy), zap.String("last_event", online.call.LastEventID),
		zap.String("service", found.Build.Service), zap.String("software", found.Build.Version), zap.String("evidence", string(found.Evidence)), proof, zap.String("source", found.Source), zap.Int("asked", found.Asked),
		zap.Int("silent", found.Silent), zap.Duration("window", window), zap.Duration("took", time.Since(started)), zap.Duration("view_age", online.server.Node.ViewAge()), zap.String("outcome", outcome))
	if reason != "" {
		online.server.reject(online.writer, online.call, http.StatusServiceUnavailable, retryAfter, "not run: "+reason)
		return false
	}
	online.service, online.version = found.Build.Service, found.Build.Version
	return true
}

// awaitRecord waits before the first event until other members know which build streams the response, so that the stream can be resumed
// if this process is lost after the event. They have been informed while the engine worked on the event.
func (online *onlineRequest) awaitRecord() {
	if online.recorded == nil {
		return
	}
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-online.recorded:
	case <-timer.C:
	}
}
