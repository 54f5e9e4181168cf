package member

import (
	"slices"
	"testing"

	"cowslipway/core/coordination/placement"
)

func TestCountsKeepTheirValues(t *testing.T) {
	counts := []placement.Counts{{Engine: 1<<64 - 1, Online: 3, Batch: 1<<16 + 5}, {Engine: 7, Online: 0, Batch: 2}}
	message, left := Encode(41, counts)
	sequence, read, err := Decode(message)
	counts[0].Batch = 1<<16 - 1 // what a message can hold
	if err != nil || sequence != 41 || left != 0 || !slices.Equal(read, counts) {
		t.Errorf("sequence %d, counts %v, left %d: %v", sequence, read, left, err)
	}
	many := make([]placement.Counts, maxEntries+3)
	if message, left = Encode(1, many); left != 3 || len(message) > 1200 {
		t.Errorf("%d bytes, %d left out", len(message), left)
	}
}

func TestReportKeepsItsValues(t *testing.T) {
	sequence, running, waiting, ok := DecodeReport(EncodeReport(9, 8, 70000))
	if !ok || sequence != 9 || running != 8 || waiting != 1<<16-1 {
		t.Errorf("sequence %d, %d running, %d waiting, %t", sequence, running, waiting, ok)
	}
}

// FuzzMessages reads what any process may send.
func FuzzMessages(f *testing.F) {
	message, _ := Encode(1, []placement.Counts{{Engine: 5, Online: 1, Batch: 2}})
	f.Add(message)
	f.Add(EncodeReport(2, 3, 4))
	f.Fuzz(func(t *testing.T, data []byte) {
		sequence, counts, err := Decode(data)
		if err == nil {
			if again, left := Encode(sequence, counts); left == 0 && !slices.Equal(again, data) {
				t.Errorf("%x is read as %v", data, counts)
			}
		}
		if sequence, running, waiting, ok := DecodeReport(data); ok && !slices.Equal(EncodeReport(sequence, running, waiting), data) {
			t.Errorf("%x is read as %d and %d", data, running, waiting)
		}
	})
}
