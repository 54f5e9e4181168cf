package entry

import "time"

// startupWait is how long an entry that could serve already waits for the other target daemons that it knows of. Daemons that run
// are connected and have the configuration within a report or two.
const startupWait = 3 * time.Second

// readiness decides whether an entry is ready: it has a configuration, and so has a target daemon that it is connected to, without
// which a request would be rejected there. When it starts it also waits for the other daemons, since the targets of a service
// may all be at one of them.
type readiness struct {
	ready       bool
	firstUsable time.Time // when a daemon first became usable; zero before
}

// update returns whether an entry is ready that knows of a number of daemons, of which usable ones are connected and have a
// configuration. configured reports whether the entry has one.
func (readiness *readiness) update(now time.Time, configured bool, known, usable int) (ready bool) {
	if !configured || usable == 0 {
		readiness.ready, readiness.firstUsable = false, time.Time{}
		return false
	}
	if readiness.firstUsable.IsZero() {
		readiness.firstUsable = now
	}
	if usable >= known || now.Sub(readiness.firstUsable) >= startupWait {
		readiness.ready = true // until no daemon is usable any longer
	}
	return readiness.ready
}

// updateReadiness brings the state that the entry's health page reports up to date.
func (control *control) updateReadiness() {
	usable := 0
	for _, daemon := range control.daemons {
		if daemon.connected && daemon.version.Load() > 0 {
			usable++
		}
	}
	configured := control.entry.configurations.Current().Version > 0
	control.entry.ready.Store(control.readiness.update(control.now, configured, len(control.daemons), usable))
}
