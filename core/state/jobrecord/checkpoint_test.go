package jobrecord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

func lines(t *testing.T, checkpoints ...Checkpoint) (text string) {
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

func TestCheckpointsGoOnWithoutGap(t *testing.T) {
	text := lines(t,
		Checkpoint{Job: "j", Item: "a", Offset: 0, LastEvent: "2", Data: []string{"x", "y"}},
		Checkpoint{Job: "j", Item: "a", Offset: 2, LastEvent: "3", Data: []string{"z"}},
		Checkpoint{Job: "j", Item: "a", Offset: 4, LastEvent: "5", Data: []string{"after a gap"}},
		Checkpoint{Job: "j", Item: "b", Offset: 0, LastEvent: "2", Data: []string{"1", "2"}},
		Checkpoint{Job: "j", Item: "b", Offset: 0, LastEvent: "1", Data: []string{"again"}},
	)
	progresses, left := DecodeCheckpoints(text)
	if got := fmt.Sprint(progresses); got != "map[j:map[a:{3 [x y z]} b:{1 [again]}]]" || left != 1 {
		t.Errorf("%s, %d left out", got, left)
	}
}

// TestTornCheckpoints tears, drops and spoils the end of a file as a disk that lost its power does: what is read is always
// a true beginning of the item's events.
func TestTornCheckpoints(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		var text string
		var events []string
		for len(events) < 40 {
			from := len(events)
			for range 1 + random.IntN(5) {
				events = append(events, fmt.Sprintf("event %d\nof many", len(events)+1))
			}
			text += lines(t, Checkpoint{Job: "j", Item: "a", Offset: from, LastEvent: fmt.Sprint(len(events)), Data: events[from:]})
		}
		spoilt := []byte(text)
		switch random.IntN(3) {
		case 0:
			spoilt = spoilt[:random.IntN(len(spoilt))]
		case 1:
			spoilt[random.IntN(len(spoilt))] ^= byte(1 + random.IntN(255))
		case 2:
			at := random.IntN(len(spoilt))
			spoilt = slices.Concat(spoilt[:at], make([]byte, random.IntN(50)), spoilt[min(len(spoilt), at+random.IntN(200)):])
		}
		progresses, _ := DecodeCheckpoints(string(spoilt))
		got := progresses["j"]["a"]
		if len(got.Data) > len(events) || !slices.Equal(got.Data, events[:len(got.Data)]) || len(got.Data) > 0 && got.LastEvent != fmt.Sprint(len(got.Data)) {
			t.Fatalf("seed %d: progress %+v", seed, got)
		}
	}
}

// FuzzCheckpoints reads what a disk may hold.
func FuzzCheckpoints(f *testing.F) {
	f.Add("3c2b1f00 {\"job\":\"j\"}\n")
	f.Fuzz(func(t *testing.T, text string) {
		progresses, left := DecodeCheckpoints(text)
		if count := strings.Count(text, "\n") + 1; left > count || len(progresses) > count {
			t.Errorf("%d jobs and %d lines left out of %d", len(progresses), left, count)
		}
	})
}

func TestBookIsTheSameInAnyOrder(t *testing.T) {
	type record struct {
		name     string
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
		book := Cache{}
		for _, at := range append(random.Perm(len(records)), random.Perm(len(records))...) { // each comes twice, as after a new listing
			value, err := Encode(records[at].value)
			if err == nil {
				err = book.Apply(records[at].name, value, records[at].revision, false)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		view, ok := book.Get("j")
		if !ok || view.Job == nil || view.Ownership.Owner != "w2/y" || view.Ownership.Epoch != 3 || fmt.Sprint(view.Results) != "[{b completed 1} {a failed } {c completed 2}]" {
			t.Fatalf("seed %d: %+v", seed, view)
		}
	}
}

func TestUnreadableRecordsChangeNothing(t *testing.T) {
	book := Cache{}
	for _, name := range []string{JobKey("j"), OwnershipKey("j"), ChunkKey("j", 0), ResultsPrefix("j") + "first"} {
		if err := book.Apply(name, []byte("not json"), 1, false); err == nil {
			t.Errorf("%s was taken in", name)
		}
	}
	if view, ok := book.Get("j"); ok && (view.Job != nil || view.Chunks != 0 || view.Ownership.Epoch != 0) {
		t.Errorf("view %+v", view)
	}
}
