package entry

import (
	"expvar"
	"sync"
	"sync/atomic"

	"cowslipway/io/transport/http1"
)

// metrics are the counters of one entry.
type metrics struct {
	requests        expvar.Int
	attempts        expvar.Int
	retries         expvar.Int
	brokenResponses expvar.Int // responses that failed after data was sent to the caller
	callerAborts    expvar.Int // streamed responses that the caller did not read to the end
	abortedRequests expvar.Int // requests in flight when the drain deadline was exceeded
	finished        expvar.Map // finished calls by disposition
	rejected        expvar.Map // error responses other than badInput, by error code
	badInput        expvar.Map // error responses to invalid requests, by error code
	endedCallers    expvar.Map // connections that were ended before their callers closed them, or refused, by reason
	callers         atomic.Pointer[http1.Admission]
}

// Stats holds counters of one entry since its start.
type Stats struct {
	Requests int64
	Attempts int64
	Retries  int64
}

// Stats returns the current values of the entry's counters.
func (entry *Entry) Stats() Stats {
	return Stats{Requests: entry.metrics.requests.Value(), Attempts: entry.metrics.attempts.Value(), Retries: entry.metrics.retries.Value()}
}

// publishOnce ensures that only the counters of the first entry of a process are published, since expvar panics if a name is
// published twice.
var publishOnce sync.Once

func (metrics *metrics) init() {
	metrics.finished.Init()
	metrics.rejected.Init()
	metrics.badInput.Init()
	metrics.endedCallers.Init()
	publishOnce.Do(func() {
		published := expvar.NewMap("cowslipway_entry")
		published.Set("requests", &metrics.requests)
		published.Set("attempts", &metrics.attempts)
		published.Set("retries", &metrics.retries)
		published.Set("broken_answers", &metrics.brokenResponses)
		published.Set("vanished_callers", &metrics.callerAborts)
		published.Set("cut_streams", &metrics.abortedRequests)
		published.Set("answered", &metrics.finished)
		published.Set("refused", &metrics.rejected)
		published.Set("bad_input", &metrics.badInput)
		published.Set("caller_ends", &metrics.endedCallers)
		published.Set("caller_bytes", expvar.Func(func() any {
			bytes, _ := metrics.callers.Load().Used()
			return bytes
		}))
		published.Set("caller_connections", expvar.Func(func() any {
			_, connections := metrics.callers.Load().Used()
			return connections
		}))
	})
}
