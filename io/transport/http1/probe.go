package http1

import (
	"context"
	"net"
	"time"

	"cowslipway/core/coordination/memorybudget"
)

const (
	probeConnections    = 32
	probeStallTime      = 100 * time.Millisecond
	probeTakeTime       = 5 * time.Second
	probeProgressWindow = 30 * time.Second
	probeIdleLimit      = 5 * time.Minute
)

// AdmitProbes returns a listener for addresses that few programs call, such as those of readiness checks and metrics. It has some
// connections of its own, and ends the one that has waited longest in favour of a new one, until ctx ends.
func AdmitProbes(ctx context.Context, listener net.Listener) (admitting net.Listener) {
	const bytes = probeConnections * connectionBytes
	admission := &Admission{Budget: memorybudget.Budget{
		Bytes: bytes, SmallBytes: bytes, LargeBytes: bytes, MaxHoldings: probeConnections, StallTime: probeStallTime, TakeTime: probeTakeTime,
		ProgressWindow: probeProgressWindow, ProgressBytes: 1, IdleLimit: probeIdleLimit,
	}}
	go admission.Run(ctx)
	return admission.Listener(listener)
}
