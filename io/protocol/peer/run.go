package peer

import "cowslipway/core/state/runs"

// NewRun returns run as daemons and operators see it.
func NewRun(run runs.Run, daemon string) Run {
	shown := Run{
		RequestID: run.RequestID,
		AttemptID: run.AttemptID,
		Account:   run.Account,
		Service:   run.Service,
		Place:     run.Place,
		Target:    run.Target,
		Daemon:    daemon,
		State:     run.State.String(),
		Started:   run.Started,
		Ended:     run.Ended,
	}
	if run.State == runs.Ended {
		shown.Disposition, shown.Reason = run.Outcome.Disposition.String(), string(run.Outcome.Reason)
	}
	return shown
}
