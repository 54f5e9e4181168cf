package target

import (
	"go.uber.org/zap"

	"cowslipway/core/state/request"
	"cowslipway/io/protocol/peer"
)

// attemptBytes is what an attempt takes besides its body: its stream, goroutines and buffers.
const attemptBytes = 64 << 10

// AdmitAttempt rejects an attempt for which there is no memory.
func (daemon *Daemon) AdmitAttempt(attempt peer.Attempt) (release func(), rejection peer.End, ok bool) {
	reservation, ok := daemon.memory.Reserve(attemptBytes + attempt.BodySizeBytes)
	if ok {
		return reservation.Release, peer.End{}, true
	}
	daemon.metrics.rejected.Add(string(request.ReasonOverloaded), 1)
	daemon.Log.Debug("attempt rejected: no memory", zap.String("request_id", attempt.RequestID), zap.Int64("body_bytes", attempt.BodySizeBytes))
	return nil, notRun(request.ReasonOverloaded, defaultRetryAfter), false
}
