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

// TestWork runs the scripts: a store that holds one segment, and owners that work on it.
func TestWork(t *testing.T) {
	store := &segmentStore{}
	owners := map[string]*owner{}
	datadriven.RunTest(t, "testdata/work", func(t *testing.T, data *datadriven.TestData) string {
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
			return owners[name].show()
		case "outcome":
			return owner.outcome(strings.Fields(data.Input), store)
		case "mark":
			return owner.commit(store, numbers(data.Input)...)
		case "commit":
			return owner.commit(store)
		case "store":
			return store.show()
		case "pick":
			return pick(t, data)
		}
		t.Fatalf("unknown command %q", data.Cmd)
		return ""
	})
}

// segmentStore holds what is committed; a commit on another revision fails.
type segmentStore struct {
	items    []Item
	segment  openaibatch.Segment
	revision int
	results  map[int]int
}

type owner struct {
	work          *Tracker
	revision      int
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
	claimed.work, claimed.pending, claimed.lost = NewTracker(store.segment, store.items)
	for _, item := range claimed.lost {
		claimed.work.Record(Result{Number: item.Number})
	}
	return claimed
}

func (owner *owner) show() string {
	return fmt.Sprintf("epoch=%d pending=%v lost=%v\n", owner.work.Segment.Epoch, ids(owner.pending), ids(owner.lost))
}

func ids(items []Item) (names []string) {
	for _, item := range items {
		names = append(names, item.CustomID)
	}
	return names
}

func numbers(input string) (found []int) {
	for _, word := range strings.Fields(input) {
		var number int
		_, _ = fmt.Sscan(word, &number)
		found = append(found, number)
	}
	return found
}

// outcome takes "NUMBER DISPOSITION REASON STATUS".
func (owner *owner) outcome(words []string, store *segmentStore) string {
	var number, status int
	_, _ = fmt.Sscan(words[0], &number)
	_, _ = fmt.Sscan(words[3], &status)
	reason := request.Reason(words[2])
	if reason == "-" {
		reason = request.ReasonNone
	}
	item := store.items[number]
	switch owner.work.Classify(item, request.Outcome{Disposition: dispositions[words[1]], Reason: reason}, status) {
	case Retry:
		return "again\n"
	case Success:
		return fmt.Sprintf("success recorded=%v\n", owner.work.Record(Result{Number: number, Succeeded: true}))
	default:
		return fmt.Sprintf("failure recorded=%v\n", owner.work.Record(Result{Number: number}))
	}
}

func (owner *owner) commit(store *segmentStore, started ...int) string {
	checkpoint := owner.work.PrepareCommit(started...)
	if owner.revision != store.revision {
		return "conflict\n"
	}
	store.revision++
	owner.revision = store.revision
	store.segment = checkpoint.Segment
	for _, result := range checkpoint.Results {
		store.results[result.Number]++
	}
	owner.work.ApplyCommit(checkpoint)
	return fmt.Sprintf("committed %d results, done=%v\n", len(checkpoint.Results), checkpoint.Segment.Done)
}

func (store *segmentStore) show() string {
	doubled := 0
	for _, count := range store.results {
		if count > 1 {
			doubled++
		}
	}
	return fmt.Sprintf("outcomes=%d of %d doubled=%d counts=%+v\n", len(store.results), len(store.items), doubled, store.segment.Counts)
}

// pick lets every owner pick once on a job of fresh segments and says how many picked the same.
func pick(t *testing.T, data *datadriven.TestData) string {
	var segments, owners int
	data.ScanArgs(t, "segments", &segments)
	data.ScanArgs(t, "owners", &owners)
	picked := map[int]int{}
	for i := range owners {
		segment, ok := SelectSegment(fmt.Sprintf("entry-%d", i), "job", segments, nil, nil, func(int) bool { return false })
		if ok {
			picked[segment]++
		}
	}
	return fmt.Sprintf("different: %d of %d\n", len(picked), owners)
}

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
		rest := segmenter.Flush()
		items := ParseItems(rest, func(service, _ string) bool { return service != "notices" })
		var lines []string
		for _, item := range items[max(0, len(items)-3):] {
			lines = append(lines, fmt.Sprintf("%s service=%s path=%s idempotent=%v", item.CustomID, item.Service, item.Path, item.Idempotent))
		}
		return fmt.Sprintf("segments %v\n%s\n", segmenter.SegmentItems, strings.Join(lines, "\n"))
	})
}
