package jobrecord

import (
	"math/rand/v2"
	"strings"
	"testing"
	"unicode/utf8"
)

// texts are characters that JSON encodes in different sizes.
var texts = []string{"a", `"`, `\`, "\n", "\r", "\t", "\b", "\f", "\x00", "\x1f", "\x7f", "<", ">", "&", "ä", "漢", "🙂", "\u2028", "\ufffd", "\xff", "\xe4\xb8"}

// TestEncodedBytes guards against chunks that are larger than they were taken for, and against sizes that are far too large.
func TestEncodedBytes(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var text strings.Builder
		for range random.IntN(200) {
			text.WriteString(texts[random.IntN(len(texts))])
		}
		result := Result{ID: strings.Repeat(`<"`, random.IntN(9)), State: Completed, Text: text.String()}
		checkEncodedBytes(t, result)
	}
}

// checkEncodedBytes compares EncodedBytes with the size of an encoded chunk.
func checkEncodedBytes(t *testing.T, result Result) {
	t.Helper()
	value, err := Encode(Chunk{Results: []Result{result}, Part: 99, More: true})
	if err != nil {
		t.Fatal(err)
	}
	if size := result.EncodedBytes() + chunkOverhead; len(value) > size || len(value) < size-chunkOverhead-resultOverhead {
		t.Fatalf("the chunk with %q has %d bytes, EncodedBytes expects up to %d", result.Text, len(value), size)
	}
}

// TestSplitIsJoined guards against texts that lose or change characters where they are split.
func TestSplitIsJoined(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		var text strings.Builder
		for range random.IntN(3000) {
			text.WriteString(texts[random.IntN(len(texts))])
		}
		maxBytes := 600 + random.IntN(2000)
		result := Result{ID: "i", State: Completed, Text: strings.ToValidUTF8(text.String(), "?")}
		parts := result.Split(maxBytes)
		view := View{}
		for number, part := range parts {
			chunk := Chunk{Results: []Result{part}, Part: number, More: number+1 < len(parts)}
			value, err := Encode(chunk)
			if err != nil || len(value) > maxBytes || !utf8.ValidString(part.Text) {
				t.Fatalf("seed %d: part %d of %d has %d bytes, want at most %d: %v", seed, number, len(parts), len(value), maxBytes, err)
			}
			view = view.WithChunk(chunk)
		}
		if len(view.Results) != 1 || view.Results[0] != result || view.Chunks != len(parts) {
			t.Fatalf("seed %d: %d results and %d chunks after %d parts, or another text", seed, len(view.Results), view.Chunks, len(parts))
		}
	}
}

// TestPartsOfAnotherOwner guards against texts that are joined from the parts of two owners: the former one has written some parts.
func TestPartsOfAnotherOwner(t *testing.T) {
	view := View{}
	for _, chunk := range []Chunk{
		{Results: []Result{{ID: "a", State: Completed, Text: "old 0,"}}, More: true},
		{Results: []Result{{ID: "a", State: Completed, Text: "old 1,"}}, Part: 1, More: true},
		{Results: []Result{{ID: "b", State: Completed, Text: "b"}}},
		{Results: []Result{{ID: "a", State: Completed, Text: "new 0,"}}, More: true},
		{Results: []Result{{ID: "a", State: Completed, Text: "new 1"}}, Part: 1},
		{Results: []Result{{ID: "c", State: Completed, Text: "without the part before"}}, Part: 1},
	} {
		view = view.WithChunk(chunk)
	}
	if len(view.Results) != 2 || view.Results[0].Text != "b" || view.Results[1].Text != "new 0,new 1" {
		t.Errorf("got results %+v", view.Results)
	}
}

// FuzzEncodedBytes checks EncodedBytes with any text.
func FuzzEncodedBytes(f *testing.F) {
	f.Add("i", "text\"\u2029\xff")
	f.Fuzz(func(t *testing.T, id, text string) {
		checkEncodedBytes(t, Result{ID: id, State: Completed, Text: text})
	})
}
