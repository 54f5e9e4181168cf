package jobrecord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// encodeLines returns the encoded checkpoints as the text of a file.
func encodeLines(t *testing.T, checkpoints ...Checkpoint) (text string) {
	t.Helper()
	for _, checkpoint := range checkpoints {
		line, err := EncodeCheckpoint(checkpoint)
		if err != nil {
			t.Fatal(err)
		}
		text += string(line)
	}
	return text
}

// TestDecodeCheckpoints decodes checkpoints that continue an item, follow a missing checkpoint and start an item over.
func TestDecodeCheckpoints(t *testing.T) {
	text := encodeLines(t,
		Checkpoint{Job: "j", Item: "a", Offset: 0, LastEventID: "2", Data: []string{"x", "y"}},
		Checkpoint{Job: "j", Item: "a", Offset: 2, LastEventID: "3", Data: []string{"z"}},
		Checkpoint{Job: "j", Item: "a", Offset: 4, LastEventID: "5", Data: []string{"after a gap"}},
		Checkpoint{Job: "j", Item: "b", Offset: 0, LastEventID: "2", Data: []string{"1", "2"}},
		Checkpoint{Job: "j", Item: "b", Offset: 0, LastEventID: "1", Data: []string{"again"}},
	)
	progress, skipped := DecodeCheckpoints(text)
	if got := fmt.Sprint(progress); got != "map[j:map[a:{3 [x y z] { }} b:{1 [again] { }}]]" || skipped != 1 {
		t.Errorf("got progress %s, %d lines skipped", got, skipped)
	}
}

// TestDamagedCheckpoints truncates a file, changes a byte or replaces a part by zero bytes, as a power failure may. The
// decoded progress must always be a prefix of the events of the item.
func TestDamagedCheckpoints(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		var text string
		var events []string
		for len(events) < 40 {
			offset := len(events)
			for range 1 + random.IntN(5) {
				events = append(events, fmt.Sprintf("event %d\nof many", len(events)+1))
			}
			text += encodeLines(t, Checkpoint{Job: "j", Item: "a", Offset: offset, LastEventID: fmt.Sprint(len(events)), Data: events[offset:]})
		}
		damaged := []byte(text)
		switch random.IntN(3) {
		case 0:
			damaged = damaged[:random.IntN(len(damaged))]
		case 1:
			damaged[random.IntN(len(damaged))] ^= byte(1 + random.IntN(255))
		case 2:
			start := random.IntN(len(damaged))
			damaged = slices.Concat(damaged[:start], make([]byte, random.IntN(50)), damaged[min(len(damaged), start+random.IntN(200)):])
		}
		progress, _ := DecodeCheckpoints(string(damaged))
		got := progress["j"]["a"]
		if len(got.Data) > len(events) || !slices.Equal(got.Data, events[:len(got.Data)]) || len(got.Data) > 0 && got.LastEventID != fmt.Sprint(len(got.Data)) {
			t.Fatalf("seed %d: progress %+v is not a prefix of the events", seed, got)
		}
	}
}

// FuzzDecodeCheckpoints checks that no text makes DecodeCheckpoints panic, or report more jobs or skipped lines than the text
// has lines.
func FuzzDecodeCheckpoints(f *testing.F) {
	f.Add("3c2b1f00 {\"job\":\"j\"}\n")
	f.Fuzz(func(t *testing.T, text string) {
		progress, skipped := DecodeCheckpoints(text)
		if lineCount := strings.Count(text, "\n") + 1; skipped > lineCount || len(progress) > lineCount {
			t.Errorf("%d jobs and %d skipped lines in a text of %d lines", len(progress), skipped, lineCount)
		}
	})
}

// TestCacheOrder checks that the content of the cache depends neither on the order in which records are applied nor on applying
// them twice.
func TestCacheOrder(t *testing.T) {
	type record struct {
		key      string
		value    any
		revision int64
	}
	records := []record{
		{JobKey("j"), Job{ID: "j", Items: []Item{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, 1},
		{OwnershipKey("j"), Ownership{Owner: "w1/x"}, 1},
		{ChunkKey("j", 0), Chunk{Results: []Result{{ID: "b", State: Completed, Text: "1"}}}, 2},
		{OwnershipKey("j"), Ownership{Owner: "w2/y"}, 3},
		{ChunkKey("j", 1), Chunk{Results: []Result{{ID: "a", State: Failed}, {ID: "c", State: Completed, Text: "2"}}}, 4},
	}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		cache := Cache{}
		for _, index := range append(random.Perm(len(records)), random.Perm(len(records))...) { // every record twice, as after a new listing of the store
			value, err := Encode(records[index].value)
			if err == nil {
				err = cache.Apply(records[index].key, value, records[index].revision, false)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		view, ok := cache.Get("j")
		if !ok || view.Job == nil || view.Ownership.Owner != "w2/y" || view.Ownership.Epoch != 3 || fmt.Sprint(view.Results) != "[{b completed 1} {a failed } {c completed 2}]" {
			t.Fatalf("seed %d: got view %+v", seed, view)
		}
	}
}

// TestInvalidRecords checks that a record that cannot be decoded returns an error and changes nothing.
func TestInvalidRecords(t *testing.T) {
	cache := Cache{}
	for _, key := range []string{JobKey("j"), OwnershipKey("j"), ChunkKey("j", 0), ResultsPrefix("j") + "first"} {
		if err := cache.Apply(key, []byte("not json"), 1, false); err == nil {
			t.Errorf("applying invalid record %q returned no error", key)
		}
	}
	if view, ok := cache.Get("j"); ok && (view.Job != nil || view.Chunks != 0 || view.Ownership.Epoch != 0) {
		t.Errorf("invalid records changed the view to %+v", view)
	}
}
