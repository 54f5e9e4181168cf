package http1

import (
	"net"
	"testing"
	"time"
)

// TestAwaitAccepted guards against closing a listener while connections wait to be accepted.
func TestAwaitAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	AwaitAccepted(listener, time.Hour) // nothing waits
	for range 3 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	AwaitAccepted(listener, 10*time.Millisecond) // ends with the limit
	done := make(chan struct{})
	go func() {
		AwaitAccepted(listener, time.Hour)
		close(done)
	}()
	for number := range 3 {
		select {
		case <-done:
			t.Fatalf("it returned although %d connections waited", 3-number)
		default:
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	<-done
}
