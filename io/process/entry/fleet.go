package entry

import (
	"sync/atomic"
	"time"

	"cowslipway/core/coordination/routing"
	"cowslipway/io/protocol/peer"
)

// fleet is an immutable snapshot of the targets that an entry may use.
type fleet struct {
	services map[string][]*targetView
	daemons  map[string]*targetDaemon // by name
	entries  []Presence
}

// target returns the target called name.
func (fleet *fleet) target(name string) (view *targetView, ok bool) {
	for _, views := range fleet.services {
		for _, view := range views {
			if view.name == name {
				return view, true
			}
		}
	}
	return nil, false
}

// targetView is one target; its load and the work on it change in place.
type targetView struct {
	name        string
	service     string
	place       string
	daemon      *targetDaemon
	load        atomic.Pointer[receivedLoad]
	outstanding atomic.Int64
}

// receivedLoad is a report with what it was received beside.
type receivedLoad struct {
	peer.Load
	received    time.Time
	outstanding int
}

func (view *targetView) recordLoad(load peer.Load) {
	view.load.Store(&receivedLoad{Load: load, received: time.Now(), outstanding: int(view.outstanding.Load())})
}

func (view *targetView) candidate(now time.Time, excluded bool) routing.Candidate {
	candidate := routing.Candidate{
		Name:        view.name,
		Place:       view.place,
		Outstanding: int(view.outstanding.Load()),
		Retiring:    view.daemon.retiring.Load(),
		Excluded:    excluded,
	}
	seen := view.load.Load()
	if seen == nil {
		return candidate
	}
	candidate.Slots = seen.Slots
	candidate.Reported = seen.Online + seen.Queued
	candidate.ReportAge = now.Sub(seen.received)
	candidate.OutstandingAtReport = seen.outstanding
	candidate.Draining = seen.Draining
	candidate.Healthy = seen.Healthy
	return candidate
}
