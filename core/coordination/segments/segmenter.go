package segments

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"cowslipway/core/state/httpsyntax"
	"cowslipway/core/state/openaibatch"
)

const maxCustomIDBytes = 256

// LineError reports an invalid line of a batch file.
type LineError struct {
	Line    int // counted from 1
	Message string
}

// Error returns the line number and the message.
func (lineError *LineError) Error() string {
	return fmt.Sprintf("line %d: %s", lineError.Line, lineError.Message)
}

// Segmenter validates the lines of a batch file and packs them into segments.
type Segmenter struct {
	SegmentItems []int // number of items in each segment returned so far

	pending   []byte              // lines of the segment that is being filled
	items     int                 // number of items in pending
	lines     int                 // number of lines added, blank ones included
	customIDs map[uint64]struct{} // hashes of the custom IDs
	total     int                 // number of items added
}

// Add adds one line, given without its line break; blank lines are ignored. If the line does not fit into the current
// segment, Add returns that segment and starts a new one. For an invalid line it returns a *LineError.
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

// Flush returns the current segment and starts a new one. It returns nil if the segment is empty.
func (segmenter *Segmenter) Flush() (segment []byte) {
	if segmenter.items == 0 {
		return nil
	}
	segment = segmenter.pending
	segmenter.SegmentItems = append(segmenter.SegmentItems, segmenter.items)
	segmenter.pending, segmenter.items = nil, 0
	return segment
}

// ItemCount returns the number of items added so far.
func (segmenter *Segmenter) ItemCount() int { return segmenter.total }

func (segmenter *Segmenter) check(line []byte) (err error) {
	if len(line) > openaibatch.MaxSegmentBytes {
		return segmenter.errorf("an item has %d bytes; at most %d are allowed", len(line), openaibatch.MaxSegmentBytes)
	}
	if segmenter.total >= openaibatch.MaxItems {
		return segmenter.errorf("a file holds at most %d items", openaibatch.MaxItems)
	}
	if !gjson.ValidBytes(line) {
		return segmenter.errorf("not valid JSON")
	}
	fields := gjson.GetManyBytes(line, "custom_id", "method", "url", "body", "body.model")
	customID, method, url, body, model := fields[0], fields[1], fields[2], fields[3], fields[4]
	if customID.Type != gjson.String || customID.Str == "" || len(customID.Str) > maxCustomIDBytes {
		return segmenter.errorf("\"custom_id\" is missing or longer than %d characters", maxCustomIDBytes)
	}
	if method.Str != "POST" {
		return segmenter.errorf("\"method\" is %q; only \"POST\" is allowed", method.String())
	}
	if url.Type != gjson.String || len(url.Str) == 0 || url.Str[0] != '/' {
		return segmenter.errorf("\"url\" is missing or does not begin with '/'")
	}
	if err = httpsyntax.CheckTarget(url.Str); err != nil {
		return segmenter.errorf("\"url\": %s", err)
	}
	if service, _ := serviceAndPath(url.Str, model.Str); !body.IsObject() || service == "" {
		return segmenter.errorf("\"body\" is no object with a \"model\"")
	}
	return segmenter.checkUnique(customID.Str)
}

func (segmenter *Segmenter) checkUnique(customID string) (err error) {
	if segmenter.customIDs == nil {
		segmenter.customIDs = map[uint64]struct{}{}
	}
	hash := xxhash.Sum64String(customID)
	if _, duplicate := segmenter.customIDs[hash]; duplicate {
		return segmenter.errorf("\"custom_id\" %q stands in the file already", customID)
	}
	segmenter.customIDs[hash] = struct{}{}
	return nil
}

func (segmenter *Segmenter) errorf(format string, values ...any) error {
	return &LineError{Line: segmenter.lines, Message: fmt.Sprintf(format, values...)}
}

const plainServicePrefix = "/services/"

// serviceAndPath returns the service of an item and the request path at that service. The URL names a plain service as
// "/services/NAME/PATH"; for any other URL, the model is the service and the URL is the path.
func serviceAndPath(url, model string) (service, path string) {
	rest, plain := strings.CutPrefix(url, plainServicePrefix)
	if !plain {
		return model, url
	}
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

// ParseItems returns the items of a segment that a Segmenter produced. idempotent reports whether requests to a path of
// a service may run more than once.
func ParseItems(segment []byte, idempotent func(service, path string) bool) (items []Item) {
	gjson.ForEachLine(string(segment), func(line gjson.Result) bool {
		fields := gjson.GetMany(line.Raw, "custom_id", "url", "body", "body.model")
		item := Item{
			Number:   len(items),
			CustomID: fields[0].Str,
			Body:     []byte(fields[2].Raw),
		}
		item.Service, item.Path = serviceAndPath(fields[1].Str, fields[3].Str)
		item.Idempotent = idempotent(item.Service, item.Path)
		items = append(items, item)
		return true
	})
	return items
}
