package node

import (
	"time"

	"cowslipway/core/coordination/cost"
	"cowslipway/core/coordination/speed"
	"cowslipway/core/state/fleet"
	"cowslipway/io/process/telemetry"
)

// maxBlockedShare is the share of a segment of a stream for which its reader may have kept this process from reading on. Beyond it the
// segment says more of the reader than of the engine.
const maxBlockedShare = 0.1

// Pace measures the time per event of one run at an engine. The zero value measures nothing.
type Pace struct {
	node       *Node
	engine     fleet.Engine
	kind       string
	events     int // since the segment began
	since      time.Time
	receivedAt time.Time     // of the latest event
	blocked    time.Duration // time of the segment in which events were not read
}

// Pace returns the measure of a run of a kind of request at an engine.
func (node *Node) Pace(engine fleet.Engine, kind string) (pace Pace) {
	return Pace{node: node, engine: engine, kind: kind}
}

// Received records the arrival of an event. The first one of a run only begins a segment, as prompts differ.
func (pace *Pace) Received(now time.Time) {
	pace.receivedAt = now
	if pace.since.IsZero() {
		pace.since = now
		return
	}
	if pace.events++; pace.events < speed.SegmentEvents {
		return
	}
	length := now.Sub(pace.since)
	if pace.blocked.Seconds() <= maxBlockedShare*length.Seconds() && !pace.node.SchedulingDelayed() {
		pace.node.observeSpeed(now, pace.engine, pace.kind, length/speed.SegmentEvents)
	}
	pace.events, pace.since, pace.blocked = 0, now, 0
}

// Forwarded records that the latest event has been passed on.
func (pace *Pace) Forwarded(now time.Time) { pace.blocked += now.Sub(pace.receivedAt) }

// observeSpeed records the time per event at an engine, and in the metrics how far it was from the expected one.
func (node *Node) observeSpeed(now time.Time, engine fleet.Engine, kind string, perEvent time.Duration) {
	node.placementMutex.Lock()
	expected := node.pool.ObserveSpeed(now, engine, kind, perEvent)
	node.placementMutex.Unlock()
	if expected > 0 {
		telemetry.EventTimeErrors.Add(speed.ErrorClass(expected, perEvent), 1)
	}
}

// ExpectWork returns the expected output of a request beyond the events that it has had, and the time that it takes at a usual engine.
func (node *Node) ExpectWork(kind string, declared, had int) (work time.Duration, output cost.Output) {
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	return node.pool.ExpectWork(time.Now(), kind, declared, had)
}

// RecordOutput records the number of events of a request that has ended, and in the metrics how far it was from the expected one.
func (node *Node) RecordOutput(kind string, declared, events int) {
	node.placementMutex.Lock()
	_, expected := node.pool.ExpectWork(time.Now(), kind, declared, 0)
	node.pool.RecordOutput(kind, declared, events)
	node.placementMutex.Unlock()
	if expected.Runs > 0 {
		telemetry.OutputErrors.Add(speed.ErrorClass(time.Duration(expected.Mean*float64(time.Second)), time.Duration(events)*time.Second), 1)
	}
}
