package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"cowslipway/io/protocol/eventstream"
)

// maxEventBytes limits the size of an event, and of a sequence of events without ID and data, such as comments that keep a connection
// open. Events of language models have a few hundred bytes.
const maxEventBytes = 1 << 20

// Event is a complete server-sent event.
type Event struct {
	Raw []byte // bytes of the event with its final blank line; valid until the next call of EventReader.Next
	ID  string // empty if the event has none
}

// HasData reports whether the event has data lines.
func (event Event) HasData() bool {
	return bytes.HasPrefix(event.Raw, []byte("data:")) || bytes.Contains(event.Raw, []byte("\ndata:"))
}

// Data returns the event's data lines, joined with newlines as the format of server-sent events specifies.
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

// EventReader splits a stream of server-sent events into events. Buffer.Pool is set before the first call of Next.
type EventReader struct {
	Buffer Buffer // of the event that is being read

	reader *bufio.Reader
	raw    []byte
	empty  int // bytes of events without ID and data since the last other event
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader { return &EventReader{reader: bufio.NewReader(body)} }

// Next returns the next event. At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF and the bytes read if the
// last event has no final blank line.
func (reader *EventReader) Next() (event Event, err error) {
	reader.raw = reader.raw[:0]
	if cap(reader.raw) > unreservedBytes {
		reader.Close()
	}
	atLineStart := true // false while the rest of a long line is read; its line end is not a blank line
	for {
		line, err := reader.reader.ReadSlice('\n')
		if roomErr := reader.Buffer.Resize(int64(len(reader.raw) + len(line))); roomErr != nil {
			return Event{}, roomErr
		}
		reader.raw = append(reader.raw, line...)
		blank := atLineStart && (bytes.Equal(line, []byte("\n")) || bytes.Equal(line, []byte("\r\n")))
		if atLineStart = err == nil; errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err == nil && len(reader.raw) > maxEventBytes {
			return Event{}, errors.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(reader.raw) > 0 {
				return Event{Raw: reader.raw}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if blank {
			return reader.complete()
		}
	}
}

// Close gives the memory of the last event back.
func (reader *EventReader) Close() {
	reader.raw = nil
	reader.Buffer.Release()
}

// complete returns the event that has been read, unless it is none or there were too many events without ID and data.
func (reader *EventReader) complete() (event Event, err error) {
	event = Event{Raw: reader.raw, ID: eventID(reader.raw)}
	if err = eventstream.Check(event.Raw); err != nil {
		return Event{}, err
	}
	if event.ID != "" || event.HasData() {
		reader.empty = 0
		return event, nil
	}
	if reader.empty += len(event.Raw); reader.empty > maxEventBytes {
		return Event{}, errors.Errorf("no ID and no data in %d bytes", reader.empty)
	}
	return event, nil
}

// eventID returns the value of the first id field in raw, or an empty string.
func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if text, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("id:")); ok {
			return string(bytes.TrimSpace(text))
		}
	}
	return ""
}

// Follows reports whether the event with the ID next may come after the event with the ID last. Only IDs that are integers
// are ordered.
func Follows(last, next string) bool {
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true // IDs that are not integers have no order
	}
	nextNumber, err := strconv.ParseInt(next, 10, 64)
	return err != nil || nextNumber > lastNumber
}
