package peer

import "cowslipway/core/state/runs"

// NewRun converts run, recorded by the entry or target daemon with the name recorder, to the form sent to peers and operators.
func NewRun(run runs.Run, recorder string) Run {
	result := Run{
		RequestID: run.RequestID,
		AttemptID: run.AttemptID,
		Account:   run.Account,
		Service:   run.Service,
		Place:     run.Place,
		Target:    run.Target,
		Daemon:    recorder,
		State:     run.State.String(),
		Started:   run.Started,
		Ended:     run.Ended,
	}
	if run.State == runs.Ended {
		result.Disposition, result.Reason = run.Outcome.Disposition.String(), string(run.Outcome.Reason)
	}
	return result
}
