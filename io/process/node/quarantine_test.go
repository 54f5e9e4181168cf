package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/core/state/fleet"
	"cowslipway/io/port"
	"cowslipway/io/store"
	"cowslipway/io/transport/upstream"
)

// newTestNode returns a node that can check the ends of engines.
func newTestNode() *Node {
	node := &Node{Log: zap.NewNop(), Upstream: &upstream.Pool{DialTimeout: dialTimeout}}
	node.directory.init(node)
	node.quarantine.init(node)
	return node
}

// TestUnreachableEngine checks that the end of an engine is not counted where a connection to it merely gets no answer, as
// over a cut link.
func TestUnreachableEngine(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err = syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for { // fill the queue of the listening socket, so that the kernel drops further SYN packets
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = conn.Close() }()
	}
	node := newTestNode()
	fingerprint := poisonpill.FingerprintOf("POST", "host", "/", nil)
	node.CheckEngineEnd(context.Background(), EngineRun{Engine: fleet.Engine{ID: "e1", Address: address}, Content: poisonpill.Content{Request: fingerprint}, Sent: time.Now()})
	if node.quarantine.ledger.Suspected(fingerprint) {
		t.Error("the end of an engine that does not answer a connection was counted")
	}
}

// TestEarlierIncarnationListed checks that a run that a live engine broke off is not counted as an end when the record of the
// former engine at its address, which is still in the store, is listed again.
func TestEarlierIncarnationListed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	node := newTestNode()
	former, current := fleet.Engine{ID: "e1", StartUnixMilli: 1000, Address: address}, fleet.Engine{ID: "e2", StartUnixMilli: 5000, Address: address}
	fingerprint := poisonpill.FingerprintOf("POST", "host", "/", nil)
	node.CheckEngineEnd(context.Background(), EngineRun{Engine: current, Content: poisonpill.Content{Request: fingerprint}, Sent: time.Now(), Events: 1})
	node.quarantine.engineListed(former)
	node.quarantine.engineListed(current)
	if node.quarantine.ledger.Suspected(fingerprint) {
		t.Error("the end of an engine was counted that is alive and is the newest at its address")
	}
}

// TestIncarnationListedLate checks that a run that a live engine broke off is not counted as an end when the incarnation that ran
// it is listed to this process only afterwards.
func TestIncarnationListedLate(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	sent := time.Now()
	address := listener.Addr().String()
	believed := fleet.Engine{ID: "e1", StartUnixMilli: sent.Add(-time.Minute).UnixMilli(), Address: address}
	current := fleet.Engine{ID: "e1", StartUnixMilli: sent.Add(-time.Second).UnixMilli(), Address: address}
	later := fleet.Engine{ID: "e1", StartUnixMilli: sent.Add(time.Second).UnixMilli(), Address: address}
	node := newTestNode()
	fingerprint := poisonpill.FingerprintOf("POST", "host", "/", nil)
	node.CheckEngineEnd(context.Background(), EngineRun{Engine: believed, Content: poisonpill.Content{Request: fingerprint}, Sent: sent, Events: 1})
	node.quarantine.engineListed(current)
	if node.quarantine.ledger.Suspected(fingerprint) {
		t.Error("the end of an engine was counted that had started before the request was sent, and is alive")
	}
	node.quarantine.engineListed(later)
	if !node.quarantine.ledger.Suspected(fingerprint) {
		t.Error("the end of an engine was not counted although a later incarnation is listed")
	}
}

// TestIncarnationListedEarly checks that a run is counted whose engine has started again and been listed before its response is
// found to be broken off.
func TestIncarnationListedEarly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	sent := time.Now()
	believed := fleet.Engine{ID: "e1", StartUnixMilli: sent.Add(-time.Minute).UnixMilli(), Address: listener.Addr().String()}
	later := believed
	later.StartUnixMilli = sent.Add(time.Millisecond).UnixMilli()
	node := newTestNode()
	node.directory.engines[later.ID] = later
	fingerprint := poisonpill.FingerprintOf("POST", "host", "/", nil)
	node.CheckEngineEnd(context.Background(), EngineRun{Engine: believed, Content: poisonpill.Content{Request: fingerprint}, Sent: sent})
	if !node.quarantine.ledger.Suspected(fingerprint) {
		t.Error("the end of an engine was not counted although a later incarnation is listed")
	}
}

// TestClearanceKeepsLaterEnds checks that an end after the time of a clearance, which the ledger keeps, is still written to the
// store.
func TestClearanceKeepsLaterEnds(t *testing.T) {
	node := newTestNode()
	fingerprint := poisonpill.FingerprintOf("POST", "host", "/", nil)
	now := time.Now()
	for number, at := range []time.Time{now.Add(-time.Second), now} {
		node.quarantine.recordEnd(brokenRun{EngineRun: EngineRun{Engine: fleet.Engine{ID: "e", StartUnixMilli: int64(number)}, Content: poisonpill.Content{Request: fingerprint}, Sent: at}, at: at}, "test")
	}
	node.quarantine.merge(suspicionSet{Clearances: []poisonpill.Clearance{{Fingerprint: fingerprint, At: now.Add(-500 * time.Millisecond)}}})
	if !node.quarantine.ledger.Suspected(fingerprint) {
		t.Fatal("the later end does not count any longer")
	}
	if len(node.quarantine.unsaved) != 1 {
		t.Errorf("%d ends wait for the store, want the one after the clearance", len(node.quarantine.unsaved))
	}
}

// TestEndOfLostPeer checks that an end that a peer has told is written to the store if the peer does not write it, and only then.
func TestEndOfLostPeer(t *testing.T) {
	node := newTestNode()
	node.Records = recordNames{}
	now := time.Now()
	lost := poisonpill.EngineEnd{Fingerprint: poisonpill.FingerprintOf("POST", "host", "/lost", nil), Engine: "e1/1", Process: "i2", Sent: now, Ended: now}
	kept := lost
	kept.Fingerprint = poisonpill.FingerprintOf("POST", "host", "/kept", nil)
	node.quarantine.merge(suspicionSet{Ends: []poisonpill.EngineEnd{lost, kept, lost}})
	value, err := json.Marshal(kept)
	if err != nil {
		t.Fatal(err)
	}
	if err = node.quarantine.applyRecord(store.Item{Key: node.quarantine.endKey(kept), Value: value, Revision: 1}); err != nil {
		t.Fatal(err)
	}
	if txn, _, _ := node.quarantine.nextTxn(now.Add(peerSaveDelay - time.Second)); txn.Entries() != 0 {
		t.Errorf("%d ends are written before the peer can be expected to have written them", txn.Entries())
	}
	if _, ends, _ := node.quarantine.nextTxn(now.Add(2*peerSaveDelay + time.Second)); len(ends) != 1 || ends[0] != lost {
		t.Errorf("%v are written, want the end that the store does not have", ends)
	}
}

// recordNames is a port.Records that stores records under their names.
type recordNames struct {
	port.Records // nil, so that a call which the test does not expect panics
}

func (recordNames) OwnKey(name string) (key string) { return name }

// TestChecksKeepFewConnections checks that an engine that breaks off responses and lives is not left with more open connections
// after each check: an engine accepts a limited number from all processes, and resets those beyond it.
func TestChecksKeepFewConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var open atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				open.Add(-1)
			}()
		}
	}()
	node := newTestNode()
	const resets = 10
	for number := range resets {
		fingerprint := poisonpill.FingerprintOf("POST", "host", fmt.Sprint("/", number), nil)
		node.CheckEngineEnd(context.Background(), EngineRun{Engine: fleet.Engine{ID: "e", Address: listener.Addr().String()}, Content: poisonpill.Content{Request: fingerprint}, Sent: time.Now()})
	}
	time.Sleep(5 * recheckDelay)
	if count := open.Load(); count > resets {
		t.Errorf("%d connections are open after %d responses were broken off, want at most one for each that the engine closed", count, resets)
	}
}

// TestSoundPartIsVouchedFor checks that a process which has seen requests with a part run informs the members that report an end under it,
// once for all ends up to then: a member that has just started would refuse popular parts after an outage.
func TestSoundPartIsVouchedFor(t *testing.T) {
	knowing, started := newTestNode(), newTestNode()
	knowing.Records, started.Records = recordNames{}, recordNames{}
	engine := fleet.Engine{ID: "e", Service: "s", SoftwareVersion: "v1"}
	parts := poisonpill.PartsOf([]string{"popular"})
	knowing.RecordSound(engine, parts)
	now := time.Now()
	for number := range 3 {
		engine.ID = fmt.Sprintf("e%d", number)
		run := EngineRun{Engine: engine, Content: poisonpill.Content{Request: poisonpill.FingerprintOf("POST", "host", engine.ID, nil), Parts: parts}, Sent: now}
		started.quarantine.recordEnd(brokenRun{EngineRun: run, at: now}, "test")
	}
	knowing.quarantine.merge(started.quarantine.unshared)
	if knowing.quarantine.ledger.Suspected(parts[0].Fingerprint) {
		t.Error("the process that has seen the part run suspects it")
	}
	vouched := knowing.quarantine.unshared
	if len(vouched.Clearances) != 1 || len(knowing.quarantine.clearances) != 0 {
		t.Errorf("%d clearances for the members and %d for the store, want one and none", len(vouched.Clearances), len(knowing.quarantine.clearances))
	}
	started.quarantine.merge(vouched)
	found, _ := started.Quarantines(func() poisonpill.Content { return poisonpill.Content{Parts: parts} }, fleet.Engine{})
	if len(found) != 0 {
		t.Errorf("the member that reported the ends still refuses the part: %v", found)
	}
	if unsaved := len(started.quarantine.unsaved); unsaved != 3 {
		t.Errorf("%d ends wait for the store, want those of the three requests", unsaved)
	}
}
