package jobrunner

import (
	"testing"

	"cowslipway/core/state/jobrecord"
)

// TestStoredStateShownBy guards against adopting a job from a view that is older than what a conflict has shown.
func TestStoredStateShownBy(t *testing.T) {
	view := jobrecord.View{Ownership: jobrecord.VersionedOwnership{Epoch: 20}, Chunks: 2}
	for _, test := range []struct {
		name  string
		state StoredState
		want  bool
	}{
		{name: "the same", state: StoredState{Epoch: 20, Chunks: 2}, want: true},
		{name: "the view is newer", state: StoredState{Epoch: 10, Chunks: 1}, want: true},
		{name: "the job has another owner or has ended", state: StoredState{Epoch: 21, Chunks: 2}},
		{name: "a chunk is missing", state: StoredState{Epoch: 20, Chunks: 3}},
		{name: "the job has been removed", state: StoredState{Chunks: 2}},
	} {
		if got := test.state.ShownBy(view); got != test.want {
			t.Errorf("%s: shown: %t", test.name, got)
		}
	}
}
