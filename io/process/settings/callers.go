package settings

import (
	"syscall"
	"time"

	"cowslipway/core/coordination/memorybudget"
	"cowslipway/core/state/config"
)

const (
	ownMemoryMB         = 48        // of a process without callers
	leastCallerMemoryMB = 16        // room for a body of 4 MiB beside small requests
	leastJobsMemoryMB   = 8         // some records of the largest size
	leastPeerCallsMB    = 24        // room for a call of the largest size, which takes four times its size, beside small ones
	leastResponsesMB    = 12        // room for an output of the largest size, 8 MiB, beside small ones
	mebibyte            = 1 << 20   // bytes
	smallBytes          = 160 << 10 // a connection, and a body of 64 KiB while its buffer grows
	smallShare          = 0.25      // of the memory for callers, which only small requests may take
	// reservedDescriptors are left to files, to connections to the store and to other processes, and to those of readiness checks and
	// metrics.
	reservedDescriptors = 456
	leastConnections    = 16
	stallTime           = time.Second
	takeTime            = 5 * time.Second
	refillTime          = time.Minute
)

// Callers limits what a process holds for its callers.
type Callers struct {
	MemoryMB       float64         `json:"memory_mb"`       // for all connections and requests together; 0 derives it from the memory limit of the process
	Connections    int             `json:"connections"`     // at once; 0 derives them from the limit of descriptors
	ProgressWindow config.Duration `json:"progress_window"` // time in which a caller that sends a request or reads a response must make progress; 0 sets no limit
	ProgressBytes  int64           `json:"progress_bytes"`  // least progress in a window
}

// DefaultCallers returns the defaults of the limits for callers.
func DefaultCallers() Callers {
	return Callers{ProgressWindow: config.Duration(30 * time.Second), ProgressBytes: 1 << 10}
}

// Budget returns the budget of a process with a limit of memory and one of descriptors. A limit of descriptors of 0 is that of the system.
func (callers Callers) Budget(memoryMB float64, descriptors int) (budget memorybudget.Budget) {
	callersMB := callers.MemoryMB
	if callersMB == 0 {
		callersMB = max(leastCallerMemoryMB, (memoryMB-ownMemoryMB)/2) // the other half is for what the collector has not freed yet
	}
	bytes := int64(callersMB * mebibyte)
	return memorybudget.Budget{
		Bytes:          bytes,
		SmallBytes:     smallBytes,
		LargeBytes:     bytes - int64(smallShare*float64(bytes)),
		MaxHoldings:    callers.connections(descriptors),
		StallTime:      stallTime,
		TakeTime:       takeTime,
		RefillTime:     refillTime,
		ProgressWindow: callers.ProgressWindow.Duration(),
		ProgressBytes:  callers.ProgressBytes,
	}
}

// connections returns how many callers may be connected at once. Each request may need another connection, to an engine.
func (callers Callers) connections(descriptors int) (count int) {
	if callers.Connections > 0 {
		return callers.Connections
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, 1<<20)) //nolint:gosec // it is bounded
	}
	return max(leastConnections, (descriptors-reservedDescriptors)/2)
}

// callers checks the limits for callers.
func (checker *checker) callers(callers Callers) {
	if callers.MemoryMB != 0 {
		checker.inRange("callers.memory_mb", callers.MemoryMB, leastCallerMemoryMB, 1<<20)
	}
	if callers.Connections != 0 {
		checker.inRange("callers.connections", float64(callers.Connections), leastConnections, 1<<20)
	}
	if callers.ProgressWindow != 0 {
		checker.duration("callers.progress_window", callers.ProgressWindow, time.Second, time.Hour)
	}
	checker.inRange("callers.progress_bytes", float64(callers.ProgressBytes), 1, 1<<20)
}
