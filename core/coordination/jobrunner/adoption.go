package jobrunner

import "cowslipway/core/state/jobrecord"

// StoredState is what a process has learned of a job from a conflict with its own write, which its view may not show yet.
type StoredState struct {
	Epoch  int64 // of the ownership record; 0 if the record has been removed
	Chunks int   // least number of chunks of results
}

// ShownBy reports whether view is at least as new as state, so that the job may be adopted from it. The record of a removed job is not
// written again.
func (state StoredState) ShownBy(view jobrecord.View) bool {
	return state.Epoch != 0 && view.Ownership.Epoch >= state.Epoch && view.Chunks >= state.Chunks
}
