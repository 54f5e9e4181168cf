package segments

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipway/core/state/openaibatch"
	"cowslipway/core/state/request"
)

var dispositions = map[string]request.Disposition{
	"not_run": request.NotRun, "failed": request.Failed, "may_have_run": request.MayHaveRun, "done": request.Done,
}

// TestTracker runs testdata/tracker: several owners work on one segment in a store.
func TestTracker(t *testing.T) {
	store := &segmentStore{}
	owners := map[string]*owner{}
	datadriven.RunTest(t, "testdata/tracker", func(t *testing.T, data *datadriven.TestData) string {
		var name string
		if data.HasArg("owner") {
			data.ScanArgs(t, "owner", &name)
		}
		owner := owners[name]
		switch data.Cmd {
		case "segment":
			store.reset(data.HasArg("idempotent"), strings.Fields(data.Input))
			clear(owners)
			return ""
		case "claim":
			owners[name] = store.claim(name)
			return owners[name].format()
		case "outcome":
			return owner.applyOutcome(strings.Fields(data.Input), store)
		case "start":
			return owner.commit(store, parseNumbers(data.Input)...)
		case "commit":
			return owner.commit(store)
		case "store":
			return store.format()
		case "select":
			return selectSegments(t, data)
		}
		t.Fatalf("unknown command %q", data.Cmd)
		return ""
	})
}

// segmentStore holds the committed state of a segment. A commit based on an older revision fails.
type segmentStore struct {
	items    []Item
	segment  openaibatch.Segment
	revision int
	results  map[int]int // number of committed results by item number
}

// owner is an entry that has claimed the segment.
type owner struct {
	tracker       *Tracker
	revision      int // revision of the store after the last commit of this owner
	pending, lost []Item
}

func (store *segmentStore) reset(idempotent bool, names []string) {
	*store = segmentStore{results: map[int]int{}}
	for i, name := range names {
		store.items = append(store.items, Item{Number: i, CustomID: name, Idempotent: idempotent})
	}
}

func (store *segmentStore) claim(name string) *owner {
	store.segment = store.segment.WithOwner(name)
	store.revision++
	claimed := &owner{revision: store.revision}
	claimed.tracker, claimed.pending, claimed.lost = NewTracker(store.segment, store.items)
	for _, item := range claimed.lost {
		claimed.tracker.Record(Result{Number: item.Number})
	}
	return claimed
}

func (owner *owner) format() string {
	return fmt.Sprintf("epoch=%d pending=%v lost=%v\n", owner.tracker.Segment.Epoch, customIDs(owner.pending), customIDs(owner.lost))
}

func customIDs(items []Item) (ids []string) {
	for _, item := range items {
		ids = append(ids, item.CustomID)
	}
	return ids
}

func parseNumbers(input string) (numbers []int) {
	for _, field := range strings.Fields(input) {
		var number int
		_, _ = fmt.Sscan(field, &number)
		numbers = append(numbers, number)
	}
	return numbers
}

// applyOutcome classifies and records the outcome given by the fields NUMBER DISPOSITION REASON STATUS.
func (owner *owner) applyOutcome(fields []string, store *segmentStore) string {
	var number, status int
	_, _ = fmt.Sscan(fields[0], &number)
	_, _ = fmt.Sscan(fields[3], &status)
	reason := request.Reason(fields[2])
	if reason == "-" {
		reason = request.ReasonNone
	}
	item := store.items[number]
	switch owner.tracker.Classify(item, request.Outcome{Disposition: dispositions[fields[1]], Reason: reason}, status) {
	case Retry:
		return "retry\n"
	case Success:
		return fmt.Sprintf("success recorded=%v\n", owner.tracker.Record(Result{Number: number, Succeeded: true}))
	default:
		return fmt.Sprintf("failure recorded=%v\n", owner.tracker.Record(Result{Number: number}))
	}
}

func (owner *owner) commit(store *segmentStore, started ...int) string {
	prepared := owner.tracker.PrepareCommit(started...)
	if owner.revision != store.revision {
		return "conflict\n"
	}
	store.revision++
	owner.revision = store.revision
	store.segment = prepared.Segment
	for _, result := range prepared.Results {
		store.results[result.Number]++
	}
	owner.tracker.ApplyCommit(prepared)
	return fmt.Sprintf("committed %d results, done=%v\n", len(prepared.Results), prepared.Segment.Done)
}

func (store *segmentStore) format() string {
	duplicates := 0
	for _, count := range store.results {
		if count > 1 {
			duplicates++
		}
	}
	return fmt.Sprintf("results=%d of %d duplicates=%d counts=%+v\n", len(store.results), len(store.items), duplicates, store.segment.Counts)
}

// selectSegments selects a segment of an unclaimed job for each owner and returns how many different ones were selected.
func selectSegments(t *testing.T, data *datadriven.TestData) string {
	var segments, owners int
	data.ScanArgs(t, "segments", &segments)
	data.ScanArgs(t, "owners", &owners)
	selected := map[int]int{}
	for i := range owners {
		segment, ok := SelectSegment(fmt.Sprintf("entry-%d", i), "job", segments, nil, nil, func(int) bool { return false })
		if ok {
			selected[segment]++
		}
	}
	return fmt.Sprintf("different segments: %d of %d\n", len(selected), owners)
}

// TestSegmenter runs testdata/segmenter: it adds lines to a Segmenter and prints the segment sizes and the last items.
func TestSegmenter(t *testing.T) {
	datadriven.RunTest(t, "testdata/segmenter", func(t *testing.T, data *datadriven.TestData) string {
		segmenter := &Segmenter{}
		if data.HasArg("items") {
			var items, size int
			data.ScanArgs(t, "items", &items)
			data.ScanArgs(t, "size", &size)
			for i := range items {
				line := fmt.Sprintf(`{"custom_id":"%d","method":"POST","url":"/v1/x","body":{"model":"m","p":"%s"}}`, i, strings.Repeat("x", size))
				if _, err := segmenter.Add([]byte(line)); err != nil {
					return err.Error() + "\n"
				}
			}
		}
		for _, line := range strings.Split(data.Input, "\n") {
			if _, err := segmenter.Add([]byte(line)); err != nil {
				return err.Error() + "\n"
			}
		}
		last := segmenter.Flush()
		items := ParseItems(last, func(service, _ string) bool { return service != "notices" })
		var lines []string
		for _, item := range items[max(0, len(items)-3):] {
			lines = append(lines, fmt.Sprintf("%s service=%s path=%s idempotent=%v", item.CustomID, item.Service, item.Path, item.Idempotent))
		}
		return fmt.Sprintf("segments %v\n%s\n", segmenter.SegmentItems, strings.Join(lines, "\n"))
	})
}
