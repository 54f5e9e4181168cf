package ingress

import (
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
)

// outputKind returns the kind under which the lengths of the request's responses are learned.
func (online *onlineRequest) outputKind() (kind string, declared int) {
	return online.route.Name, online.call.Size.MaxOutputTokens
}

// expectedWork returns the time that the rest of the request is expected to take at a usual engine.
func (online *onlineRequest) expectedWork() (work time.Duration) {
	kind, declared := online.outputKind()
	work, _ = online.server.Node.ExpectWork(kind, declared, online.events)
	return work
}

// recordOutput records the length of a stream that this process has passed on from its first event to its end.
func (online *onlineRequest) recordOutput() {
	if online.streaming && online.call.LastEventID == "" {
		kind, declared := online.outputKind()
		online.server.Node.RecordOutput(kind, declared, online.events)
	}
}

// speedFields returns the log fields for what was believed of the speed of a decision's engine.
func speedFields(decision placement.Decision) []zap.Field {
	belief := decision.Belief
	return []zap.Field{zap.Duration("work", decision.Work), zap.Float64("factor", belief.Factor), zap.Float64("usual", belief.Usual), zap.Float64("now", belief.Now), zap.Duration("speed_age", belief.Age)}
}
