package member

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
)

func TestMessagesKeepTheirValues(t *testing.T) {
	counts := []placement.Counts{{Engine: 1<<64 - 1, Online: 3, Batch: 1<<16 + 5, Ejected: true}, {Engine: 7, Online: 0, Batch: 2}}
	message := Message{Sequence: 41, Counts: counts, Unreachable: []uint32{5, 6}, Relayed: []RelayedCounts{{Member: 5, Counts: counts[1:]}, {Member: 9, Counts: []placement.Counts{}}}}
	data, left := message.Encode()
	read, err := Decode(data)
	counts[0].Batch = 1<<15 - 1 // what a message can hold
	if err != nil || left != 0 || !reflect.DeepEqual(read, message) {
		t.Errorf("%+v is read as %+v, left %d: %v", message, read, left, err)
	}
}

// TestMessagesFitADatagram plays a fleet whose counts are more than a datagram holds: the sender's own go first.
func TestMessagesFitADatagram(t *testing.T) {
	many := make([]placement.Counts, 90)
	message := Message{Counts: many, Unreachable: make([]uint32, 30), Relayed: []RelayedCounts{{Member: 1, Counts: many[:2]}, {Member: 2, Counts: many}}}
	data, left := message.Encode()
	read, err := Decode(data)
	if err != nil || len(data) > maxBytes || len(read.Counts) != len(many) || left == 0 {
		t.Errorf("%d bytes, %d counts, %d left out: %v", len(data), len(read.Counts), left, err)
	}
}

// TestIndirectCounts plays an entry that is cut off from a worker while a third process hears both.
func TestIndirectCounts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	members := map[string]fleet.Member{"entry/1": {Name: "entry"}, "worker/1": {Name: "worker"}, "third/1": {Name: "third"}}
	counts := []placement.Counts{{Engine: 7, Online: 2}}
	var third, worker indirect
	third.heard("entry/1", counts)
	third.heard("worker/1", nil)
	worker.heard("third/1", nil)
	if got := third.relayed(now); len(got) > 0 {
		t.Errorf("counts that nobody misses are passed on: %v", got)
	}
	third.missed(now, []uint32{digestOf("entry/1")})
	relayed := third.relayed(now)
	if len(relayed) != 1 {
		t.Fatalf("passed on: %v", relayed)
	}
	if owner, ok := worker.take(now, members, relayed[0]); !ok || owner != "entry/1" {
		t.Errorf("the worker takes %q, %t", owner, ok)
	}
	if got := worker.expired(now.Add(indirectFor)); len(got) > 0 {
		t.Errorf("forgotten too early: %v", got)
	}
	if got := worker.expired(now.Add(indirectFor + 1)); len(got) != 1 {
		t.Errorf("not forgotten: %v", got)
	}
	if got := third.relayed(now.Add(wantedFor)); len(got) > 0 {
		t.Errorf("still passed on: %v", got)
	}
	worker.heard("entry/1", counts)
	if owner, ok := worker.take(now, members, relayed[0]); ok {
		t.Errorf("counts at second hand replace those of %s itself", owner)
	}
}

func TestReportKeepsItsValues(t *testing.T) {
	sequence, running, waiting, ok := DecodeLoadReport(EncodeLoadReport(9, 8, 70000))
	if !ok || sequence != 9 || running != 8 || waiting != 1<<16-1 {
		t.Errorf("sequence %d, %d running, %d waiting, %t", sequence, running, waiting, ok)
	}
}

// FuzzMessages reads what any process may send.
func FuzzMessages(f *testing.F) {
	data, _ := Message{Sequence: 1, Counts: []placement.Counts{{Engine: 5, Online: 1, Batch: 2}}, Unreachable: []uint32{1}, Relayed: []RelayedCounts{{Member: 3}}}.Encode()
	f.Add(data)
	f.Add(EncodeLoadReport(2, 3, 4))
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err == nil && len(data) <= maxBytes {
			if again, left := message.Encode(); left == 0 && !slices.Equal(again, data) {
				t.Errorf("%x is read as %+v", data, message)
			}
		}
		if sequence, running, waiting, ok := DecodeLoadReport(data); ok && !slices.Equal(EncodeLoadReport(sequence, running, waiting), data) {
			t.Errorf("%x is read as %d and %d", data, running, waiting)
		}
	})
}
