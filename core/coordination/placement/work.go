package placement

import (
	"time"

	"cowslipway/core/coordination/cost"
)

// ExpectWork returns the expected output of a request of a kind, beyond the events that it has had, and the time that this takes at a usual
// engine; 0 means unknown. declared is the largest output that the request declares.
func (pool *Pool) ExpectWork(now time.Time, kind string, declared, had int) (work time.Duration, output cost.Output) {
	output = pool.outputs.Expect(kind, declared, had)
	return time.Duration(output.Mean * float64(pool.kinds.Usual(now, kind))), output
}

// RecordOutput records the number of events of a request that has ended.
func (pool *Pool) RecordOutput(kind string, declared, events int) {
	pool.outputs.Record(kind, declared, events)
}

// endangered reports whether a batch item would not be done in time at an engine.
func (pool *Pool) endangered(now time.Time, engine *engine, request Request) bool {
	if request.Work <= 0 || !request.Due.After(now) {
		return false
	}
	expected := request.Work.Seconds() * dueMargin * pool.factor(now, engine)
	return expected > request.Due.Sub(now).Seconds()
}
