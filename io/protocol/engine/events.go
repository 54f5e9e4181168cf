package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"

	"cowslipway/io/protocol/eventstream"
)

const maxEventBytes = 1 << 20

// ErrEventTooLong is returned for a server-sent event of more than maxEventBytes bytes.
const ErrEventTooLong = errors.ConstError("server-sent event is too long")

var doneEvent = []byte("data: [DONE]")

// EventReader splits a stream into server-sent events. An event includes the blank line that ends it.
type EventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// NewEventReader returns an EventReader that reads from body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(body)}
}

// Next returns the next event, which is valid until the next call. It returns io.EOF if the stream ends between two events
// and io.ErrUnexpectedEOF if it ends within one. Text that is no event is an error.
func (reader *EventReader) Next() (event []byte, err error) {
	reader.buffer = reader.buffer[:0]
	atLineStart := true // false after a partial line, whose remainder may be only "\n" without being a blank line
	for {
		line, err := reader.reader.ReadSlice('\n')
		reader.buffer = append(reader.buffer, line...)
		if len(reader.buffer) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		blank := atLineStart && len(bytes.TrimRight(line, "\r\n")) == 0
		atLineStart = err == nil
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(reader.buffer) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if blank && len(reader.buffer) > len(line) {
			return reader.buffer, eventstream.Check(reader.buffer)
		}
	}
}

// IsDone reports whether event is the last event of a stream of the OpenAI API.
func IsDone(event []byte) bool { return bytes.HasPrefix(event, doneEvent) }
