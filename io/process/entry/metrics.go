package entry

import (
	"expvar"
	"sync"
)

// metrics counts what an entry does; the counters are published once a process.
type metrics struct {
	requests        expvar.Int
	attempts        expvar.Int
	retries         expvar.Int
	brokenResponses expvar.Int
	callerAborts    expvar.Int
	closedStreams   expvar.Int
	finished        expvar.Map // by disposition
	rejected        expvar.Map // by reason
	badInput        expvar.Map // by kind
}

// Stats are counters of one entry since its start.
type Stats struct {
	Requests int64
	Attempts int64
	Retries  int64
}

// Stats returns the entry's counters.
func (entry *Entry) Stats() Stats {
	return Stats{Requests: entry.metrics.requests.Value(), Attempts: entry.metrics.attempts.Value(), Retries: entry.metrics.retries.Value()}
}

var publishOnce sync.Once

func (metrics *metrics) init() {
	metrics.finished.Init()
	metrics.rejected.Init()
	metrics.badInput.Init()
	publishOnce.Do(func() {
		published := expvar.NewMap("cowslipway_entry")
		published.Set("requests", &metrics.requests)
		published.Set("attempts", &metrics.attempts)
		published.Set("retries", &metrics.retries)
		published.Set("broken_answers", &metrics.brokenResponses)
		published.Set("vanished_callers", &metrics.callerAborts)
		published.Set("cut_streams", &metrics.closedStreams)
		published.Set("answered", &metrics.finished)
		published.Set("refused", &metrics.rejected)
		published.Set("bad_input", &metrics.badInput)
	})
}
