package draining

import "time"

// Late is the rule for requests that arrive after a process has ceased to accept connections. A nil Late serves all requests.
type Late struct {
	From time.Time // requests that have arrived completely before were sent before the process ceased to accept connections
	Cut  time.Time // the requests that are still being served then are cut
}

// NewLate returns the rule of a process that has ceased to accept connections now, was to do so at planned and cuts requests at cut. A process
// that had no processor time meanwhile gets as long for the requests that have waited for it.
func NewLate(now, planned, cut time.Time) *Late {
	return &Late{From: now.Add(max(0, now.Sub(planned))), Cut: cut}
}

// MayServe reports whether a request that has arrived completely now may be sent to an engine: it was sent in time, or ends before it is cut
// because of its deadline. A deadline of zero means that there is none.
func (late *Late) MayServe(now, deadline time.Time) bool {
	return late == nil || now.Before(late.From) || !deadline.IsZero() && deadline.Before(late.Cut)
}
