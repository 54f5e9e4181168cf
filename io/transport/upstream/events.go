package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maxEventBytes bounds one event; events of language models have some hundred bytes.
const maxEventBytes = 4 << 20

// Event is one whole event of a stream.
type Event struct {
	Raw []byte // with its final blank line; valid until the next call
	ID  string
}

// Data returns the event's data, the lines joined as the format of event streams says.
func (event Event) Data() string {
	var data []string
	for line := range strings.SplitSeq(string(event.Raw), "\n") {
		line = strings.TrimSuffix(line, "\r")
		if text, ok := strings.CutPrefix(line, "data:"); ok {
			data = append(data, strings.TrimPrefix(text, " "))
		}
	}
	return strings.Join(data, "\n")
}

// EventReader reads a stream of events one by one.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader { return &EventReader{reader: bufio.NewReader(body)} }

// Next returns the next whole event. Bytes that end without a blank line come with io.ErrUnexpectedEOF.
func (events *EventReader) Next() (event Event, err error) {
	events.raw = events.raw[:0]
	begins := true // the next part begins a line: the end of a line that came in parts is no blank line
	for {
		line, err := events.reader.ReadSlice('\n')
		events.raw = append(events.raw, line...)
		blank := begins && (bytes.Equal(line, []byte("\n")) || bytes.Equal(line, []byte("\r\n")))
		if begins = err == nil; errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err == nil && len(events.raw) > maxEventBytes {
			return Event{}, errors.Errorf("an event has over %d bytes", maxEventBytes)
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(events.raw) > 0 {
				return Event{Raw: events.raw}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if blank {
			return Event{Raw: events.raw, ID: eventID(events.raw)}, nil
		}
	}
}

func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if text, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("id:")); ok {
			return string(bytes.TrimSpace(text))
		}
	}
	return ""
}

// Follows reports whether a stream that is known up to the event last may go on with the event next.
func Follows(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true // the caller's or the engine's names have no order
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err != nil || after > before
}
