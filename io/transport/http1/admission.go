package http1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/memorybudget"
)

const (
	// connectionBytes is what an open connection takes besides the body of its request: goroutines, buffers, the head, and bytes that wait
	// in the system to be read.
	connectionBytes = 64 << 10
	// receiveBufferBytes is the size of the system's buffer for a connection; the system uses twice as much. Left alone, it enlarges the
	// buffer to megabytes while nobody reads.
	receiveBufferBytes = 24 << 10

	acceptWait   = 100 * time.Millisecond // for connections to be ended in place of a new one
	reserveWait  = 2 * time.Second        // for the same, while a request waits for memory
	tickInterval = 500 * time.Millisecond
	lateTick     = 2 * tickInterval // between two ticks; in a longer time the process did not run, or hardly
	maxTick      = 4 * tickInterval // that counts between two ticks
)

// refusedReason is the reason of a connection that was not admitted.
const refusedReason = "refused"

// Admission admits connections and the bodies of requests as far as there is memory for them. The exported fields must be set before the
// methods are called.
type Admission struct {
	Budget memorybudget.Budget
	// OnEnd is called for each connection that is ended before its caller closes it, with the bytes that it holds, or is refused. It must
	// not block and may be nil.
	OnEnd func(reason string, held int64)

	tick atomic.Pointer[tick] // the last one of Run; nil before the first

	mutex    sync.Mutex
	released chan struct{} // closed at the next release of memory; nil if nobody waits
	forgiven *tick         // the last one after which the process did not run
	stopping bool
}

// tick relates the clock of an admission to that of the system.
type tick struct {
	clock time.Duration // time for which the process has run; above 0
	at    time.Time
}

// Stop makes Run end the connections of callers that have stopped within a request. It is called when the process begins to stop.
func (admission *Admission) Stop() {
	admission.update(func(time.Time) { admission.stopping = true })
}

// Run ends connections whose callers make no progress until ctx ends.
func (admission *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		admission.endCallers()
		admission.tick.Store(&tick{clock: time.Duration(admission.clock()), at: time.Now()})
	}
}

// endCallers ends connections whose callers make no progress.
func (admission *Admission) endCallers() {
	admission.update(func(now time.Time) {
		admission.Budget.EndOverdue(now)
		if admission.stopping {
			admission.Budget.EndStalled(now)
		}
	})
}

// clock returns the time in nanoseconds, above 0, by a clock that stands still while the process does not run, so that callers are not
// blamed for it.
func (admission *Admission) clock() (nanoseconds int64) {
	last := admission.tick.Load()
	if last == nil {
		admission.tick.CompareAndSwap(nil, &tick{clock: 1, at: time.Now()})
		last = admission.tick.Load()
	}
	return int64(last.clock + min(time.Since(last.at), maxTick))
}

// clockTime returns a time of the clock as the budget takes it.
func clockTime(nanoseconds int64) time.Time { return time.Time{}.Add(time.Duration(nanoseconds)) }

// update calls change with the mutex held.
func (admission *Admission) update(change func(now time.Time)) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	now := clockTime(admission.clock())
	if last := admission.tick.Load(); last != admission.forgiven && time.Since(last.at) > lateTick {
		admission.forgiven = last
		admission.Budget.Forgive(now)
	}
	change(now)
}

// Used returns the memory that callers hold and the number of their connections.
func (admission *Admission) Used() (bytes int64, connections int) {
	admission.update(func(time.Time) { bytes, connections = admission.Budget.Used() })
	return bytes, connections
}

// await calls decide until it does not return Wait, at each release of memory, at most for limit.
func (admission *Admission) await(limit time.Duration, decide func(now time.Time) memorybudget.Verdict) (granted bool) {
	var timeout <-chan time.Time
	for {
		verdict, released := memorybudget.Granted, (chan struct{})(nil)
		admission.update(func(now time.Time) {
			if verdict = decide(now); verdict != memorybudget.Wait {
				return
			}
			if admission.released == nil {
				admission.released = make(chan struct{})
			}
			released = admission.released
		})
		if verdict != memorybudget.Wait {
			return verdict == memorybudget.Granted
		}
		if timeout == nil {
			timer := time.NewTimer(limit)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return false
		}
	}
}

// wake lets those that wait for memory decide again. The mutex must be held.
func (admission *Admission) wake() {
	if admission.released != nil {
		close(admission.released)
		admission.released = nil
	}
}

// report calls OnEnd.
func (admission *Admission) report(reason string, held int64) {
	if admission.OnEnd != nil {
		admission.OnEnd(reason, held)
	}
}

// Listener returns a listener whose connections are admitted.
func (admission *Admission) Listener(listener net.Listener) net.Listener {
	return &admittingListener{Listener: listener, admission: admission}
}

// admittingListener accepts connections and closes those that are not admitted.
type admittingListener struct {
	net.Listener
	admission *Admission
}

// Accept returns the next connection that is admitted.
func (listener *admittingListener) Accept() (admitted net.Conn, err error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted, ok := listener.admission.admit(conn); ok {
			return admitted, nil
		}
		_ = conn.Close()
		listener.admission.report(refusedReason, 0)
	}
}

// admit reserves memory for a connection.
func (admission *Admission) admit(conn net.Conn) (admitted *Conn, ok bool) {
	admitted = &Conn{Conn: conn, admission: admission}
	admitted.holding.End, admitted.holding.Sync = admitted.end, admitted.sync
	ok = admission.await(acceptWait, func(now time.Time) memorybudget.Verdict {
		return admission.Budget.Open(&admitted.holding, connectionBytes, now)
	})
	return admitted, ok
}

// Listen listens on a TCP address with a receive buffer of a fixed size for each connection.
func Listen(ctx context.Context, address string) (listener net.Listener, err error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		return raw.Control(func(fd uintptr) {
			// Where the system refuses the size, its own limits hold.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes) //nolint:gosec // descriptors are small
		})
	}}
	listener, err = config.Listen(ctx, "tcp", address)
	return listener, errors.Annotatef(err, "listening on %s", address)
}
