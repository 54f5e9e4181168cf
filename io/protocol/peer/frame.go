package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// FrameType says what the payload of a frame is.
type FrameType uint8

// The frame types. The first frame of a stream is an Attempt, a Hello or an Ask.
const (
	FrameAttempt FrameType = iota + 1
	FrameBody
	FrameCancel
	FrameHead
	FrameData
	FrameEnd
	FrameHandshake
	FrameReport
	FrameHeartbeat
	FrameConfiguration
	FrameCall
	FrameCallResponse
	frameTypeCount
)

const (
	frameHeaderBytes  = 5
	sequenceBytes     = 8
	maxFrameBytes     = 2 << 20
	dataChunkBytes    = 32 << 10
	streamBufferBytes = 4 << 10
)

// ErrMalformedFrame is the cause of every error about a frame that the protocol does not allow.
const ErrMalformedFrame = errors.ConstError("malformed frame")

// Frame is one unit of the protocol on the wire: type, length and payload.
type Frame struct {
	Type    FrameType
	Payload []byte
}

// Decode reads the payload of frame into message.
func (frame Frame) Decode(message any) (err error) {
	if err = msgpack.Unmarshal(frame.Payload, message); err != nil {
		return errors.Annotatef(errors.WithType(err, ErrMalformedFrame), "payload of frame type %d", frame.Type)
	}
	return nil
}

// AppendFrame appends a frame with payload to buffer.
func AppendFrame(buffer []byte, kind FrameType, payload []byte) []byte {
	buffer = append(buffer, byte(kind))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	return append(buffer, payload...)
}

// AppendMessage appends a frame that carries message to buffer.
func AppendMessage(buffer []byte, kind FrameType, message any) (extended []byte, err error) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return buffer, errors.Annotatef(err, "encoding frame type %d", kind)
	}
	return AppendFrame(buffer, kind, payload), nil
}

// appendData appends a numbered data frame to buffer.
func appendData(buffer []byte, sequence uint64, data []byte) []byte {
	buffer = append(buffer, byte(FrameData))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(data)+sequenceBytes))
	buffer = binary.BigEndian.AppendUint64(buffer, sequence)
	return append(buffer, data...)
}

// splitData returns the number and the content of a data frame.
func splitData(frame Frame) (sequence uint64, data []byte, err error) {
	if len(frame.Payload) < sequenceBytes {
		return 0, nil, errors.Annotate(ErrMalformedFrame, "data frame without a number")
	}
	return binary.BigEndian.Uint64(frame.Payload), frame.Payload[sequenceBytes:], nil
}

// FrameReader reads frames from a stream.
type FrameReader struct {
	reader *bufio.Reader
}

// NewFrameReader returns a reader of the frames on stream.
func NewFrameReader(stream io.Reader) *FrameReader {
	return &FrameReader{reader: bufio.NewReaderSize(stream, streamBufferBytes)}
}

// Next returns the next frame; io.EOF only between two frames, io.ErrUnexpectedEOF within one.
func (reader *FrameReader) Next() (frame Frame, err error) {
	var header [frameHeaderBytes]byte
	if _, err = io.ReadFull(reader.reader, header[:1]); err != nil {
		return Frame{}, err
	}
	if _, err = io.ReadFull(reader.reader, header[1:]); err != nil {
		return Frame{}, unexpected(err)
	}
	frame.Type = FrameType(header[0])
	if frame.Type == 0 || frame.Type >= frameTypeCount {
		return Frame{}, errors.Annotatef(ErrMalformedFrame, "unknown type %d", frame.Type)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxFrameBytes {
		return Frame{}, errors.Annotatef(ErrMalformedFrame, "%d bytes, at most %d are allowed", size, maxFrameBytes)
	}
	frame.Payload = make([]byte, size)
	if _, err = io.ReadFull(reader.reader, frame.Payload); err != nil {
		return Frame{}, unexpected(err)
	}
	return frame, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
