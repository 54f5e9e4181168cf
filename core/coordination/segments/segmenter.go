package segments

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"cowslipway/core/state/openaibatch"
)

const maxCustomIDBytes = 256

// LineError is a fault in one line of a batch file.
type LineError struct {
	Line    int // from 1 on
	Message string
}

// Error returns the line's number and the message.
func (failure *LineError) Error() string {
	return fmt.Sprintf("line %d: %s", failure.Line, failure.Message)
}

// Segmenter checks the lines of a batch file and packs them into segments.
type Segmenter struct {
	SegmentItems []int // items in each segment that is full

	pending []byte
	items   int
	lines   int
	known   map[uint64]struct{} // hashes of the custom ids
	total   int
}

// Add takes one line without its end; where it does not fit any more, it returns the segment before it.
func (segmenter *Segmenter) Add(line []byte) (full []byte, err error) {
	segmenter.lines++
	if len(line) == 0 {
		return nil, nil
	}
	if err = segmenter.check(line); err != nil {
		return nil, err
	}
	if segmenter.items == openaibatch.MaxSegmentItems || segmenter.items > 0 && len(segmenter.pending)+len(line) >= openaibatch.MaxSegmentBytes {
		full = segmenter.Flush()
	}
	segmenter.pending = append(append(segmenter.pending, line...), '\n')
	segmenter.items++
	segmenter.total++
	return full, nil
}

// Flush returns the last segment, nil if there is none.
func (segmenter *Segmenter) Flush() (segment []byte) {
	if segmenter.items == 0 {
		return nil
	}
	segment = segmenter.pending
	segmenter.SegmentItems = append(segmenter.SegmentItems, segmenter.items)
	segmenter.pending, segmenter.items = nil, 0
	return segment
}

// ItemCount returns the number of items taken.
func (segmenter *Segmenter) ItemCount() int { return segmenter.total }

func (segmenter *Segmenter) check(line []byte) (err error) {
	if len(line) > openaibatch.MaxSegmentBytes {
		return segmenter.fault("an item has %d bytes; at most %d are allowed", len(line), openaibatch.MaxSegmentBytes)
	}
	if segmenter.total >= openaibatch.MaxItems {
		return segmenter.fault("a file holds at most %d items", openaibatch.MaxItems)
	}
	if !gjson.ValidBytes(line) {
		return segmenter.fault("not valid JSON")
	}
	fields := gjson.GetManyBytes(line, "custom_id", "method", "url", "body", "body.model")
	customID, method, url, body, model := fields[0], fields[1], fields[2], fields[3], fields[4]
	if customID.Type != gjson.String || customID.Str == "" || len(customID.Str) > maxCustomIDBytes {
		return segmenter.fault("\"custom_id\" is missing or longer than %d characters", maxCustomIDBytes)
	}
	if method.Str != "POST" {
		return segmenter.fault("\"method\" is %q; only \"POST\" is allowed", method.String())
	}
	if url.Type != gjson.String || len(url.Str) == 0 || url.Str[0] != '/' {
		return segmenter.fault("\"url\" is missing or does not begin with '/'")
	}
	if service, _ := serviceOf(url.Str, model.Str); !body.IsObject() || service == "" {
		return segmenter.fault("\"body\" is no object with a \"model\"")
	}
	return segmenter.unique(customID.Str)
}

func (segmenter *Segmenter) unique(customID string) (err error) {
	if segmenter.known == nil {
		segmenter.known = map[uint64]struct{}{}
	}
	hash := xxhash.Sum64String(customID)
	if _, known := segmenter.known[hash]; known {
		return segmenter.fault("\"custom_id\" %q stands in the file already", customID)
	}
	segmenter.known[hash] = struct{}{}
	return nil
}

func (segmenter *Segmenter) fault(format string, values ...any) error {
	return &LineError{Line: segmenter.lines, Message: fmt.Sprintf(format, values...)}
}

const plainPrefix = "/services/"

// serviceOf returns the service that an item is for and the path there: a plain service is named by the
// URL, a model by the body.
func serviceOf(url, model string) (service, path string) {
	rest, plain := strings.CutPrefix(url, plainPrefix)
	if !plain {
		return model, url
	}
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// ParseItems reads the items of one segment; idempotent tells which routes may run more than once.
func ParseItems(segment []byte, idempotent func(service, path string) bool) (items []Item) {
	gjson.ForEachLine(string(segment), func(line gjson.Result) bool {
		fields := gjson.GetMany(line.Raw, "custom_id", "url", "body", "body.model")
		item := Item{
			Number:   len(items),
			CustomID: fields[0].Str,
			Body:     []byte(fields[2].Raw),
		}
		item.Service, item.Path = serviceOf(fields[1].Str, fields[3].Str)
		item.Idempotent = idempotent(item.Service, item.Path)
		items = append(items, item)
		return true
	})
	return items
}
