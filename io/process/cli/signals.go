package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// untilStopped returns a context that ends at the first SIGINT or SIGTERM. After it, SIGINT ends the process at once, as an
// operator at a terminal expects, and SIGTERM does nothing: supervisors may repeat it, and SIGKILL ends a process that does not
// stop in time.
func untilStopped(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			signal.Reset(os.Interrupt)
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel()
	}
}

// catchHangups returns a channel that receives a value for a SIGHUP. Without it, SIGHUP ends a process at once, also one that
// finishes its requests after SIGTERM; so it is called before anything else and stays in effect until the process exits.
func catchHangups() (hangups <-chan os.Signal) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
