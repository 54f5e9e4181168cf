package entry

import (
	"sync/atomic"
	"time"

	"cowslipway/core/coordination/routing"
	"cowslipway/io/protocol/peer"
)

// fleet is an immutable snapshot of the connected targets and the live entries.
type fleet struct {
	services map[string][]*targetView // by service
	daemons  map[string]*targetDaemon // by name
	entries  []Presence
}

// target returns the target with the given name.
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

// targetView is a target as this entry sees it. load and outstanding are updated in place.
type targetView struct {
	name        string
	service     string
	place       string
	daemon      *targetDaemon
	load        atomic.Pointer[receivedLoad] // nil before the first report
	outstanding atomic.Int64                 // requests of this entry at the target
}

// receivedLoad is a reported load with the state of this entry when it was received.
type receivedLoad struct {
	peer.Load
	received             time.Time
	outstandingAtReceipt int // requests of this entry at the target
}

// recordLoad stores a load that was received just now.
func (view *targetView) recordLoad(load peer.Load) {
	view.load.Store(&receivedLoad{Load: load, received: time.Now(), outstandingAtReceipt: int(view.outstanding.Load())})
}

// leaving reports whether the target is expected to end soon: it drains, or the platform lists its VM as leaving.
func (view *targetView) leaving() bool {
	last := view.load.Load()
	return view.daemon.retiring.Load() || last != nil && last.Draining
}

// candidate returns the target as a candidate for routing.
func (view *targetView) candidate(now time.Time, excluded bool) routing.Candidate {
	candidate := routing.Candidate{
		Name:        view.name,
		Place:       view.place,
		Outstanding: int(view.outstanding.Load()),
		Retiring:    view.daemon.retiring.Load(),
		Excluded:    excluded,
	}
	last := view.load.Load()
	if last == nil {
		return candidate
	}
	candidate.Slots = last.Slots
	candidate.Reported = last.Online + last.Queued
	candidate.ReportAge = now.Sub(last.received)
	candidate.OutstandingAtReport = last.outstandingAtReceipt
	candidate.Draining = last.Draining
	candidate.Healthy = last.Healthy
	return candidate
}
