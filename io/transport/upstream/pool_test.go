package upstream

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestLastReceivedIsMonotonic checks that the time of the last byte does not move when the time of day jumps: streams that have
// received nothing for some time are cancelled by it.
func TestLastReceivedIsMonotonic(t *testing.T) {
	pool := &Pool{}
	if last := pool.LastReceived("engine"); !last.IsZero() {
		t.Errorf("last byte at %s, want none", last)
	}
	received := &atomic.Int64{}
	pool.lastReceived.Store("engine", received)
	if last := pool.LastReceived("engine"); !last.IsZero() {
		t.Errorf("last byte at %s although none was received", last)
	}
	local, remote := net.Pipe()
	defer func() { _ = local.Close() }()
	go func() {
		_, _ = remote.Write([]byte("x"))
		_ = remote.Close()
	}()
	before := time.Now()
	if _, err := (&receiveTracker{Conn: local, lastReceived: received}).Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	last := pool.LastReceived("engine")
	if !strings.Contains(last.String(), " m=") {
		t.Error("the time of the last byte has no monotonic reading")
	}
	if last.Before(before) || time.Since(last) < 0 {
		t.Errorf("last byte at %s, which is not between %s and now", last, before)
	}
}
