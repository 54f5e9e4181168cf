package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// FrameType identifies the payload of a frame.
type FrameType uint8

// The frame types; their values are part of the wire format. The first frame of a stream is a FrameAttempt, a
// FrameHandshake or a FrameCall.
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
	frameHeaderBytes  = 5 // type (1 byte) and payload length (4 bytes, big-endian)
	sequenceBytes     = 8
	maxFrameBytes     = 2 << 20
	dataChunkBytes    = 32 << 10
	streamBufferBytes = 4 << 10
)

// ErrMalformedFrame is the cause of every error about a frame that violates the protocol.
const ErrMalformedFrame = errors.ConstError("malformed frame")

// Frame is the unit of transmission: a type and a payload. On the wire, the payload's length is between them.
type Frame struct {
	Type    FrameType
	Payload []byte
}

// Decode decodes the msgpack payload of the frame into message. The cause of its errors is ErrMalformedFrame.
func (frame Frame) Decode(message any) (err error) {
	if err = msgpack.Unmarshal(frame.Payload, message); err != nil {
		return errors.Annotatef(errors.WithType(err, ErrMalformedFrame), "decoding payload of frame type %d", frame.Type)
	}
	return nil
}

// AppendFrame appends a frame of type frameType with payload to buffer.
func AppendFrame(buffer []byte, frameType FrameType, payload []byte) []byte {
	buffer = append(buffer, byte(frameType))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	return append(buffer, payload...)
}

// AppendMessage appends a frame of type frameType with the msgpack encoding of message to buffer.
func AppendMessage(buffer []byte, frameType FrameType, message any) (extended []byte, err error) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return buffer, errors.Annotatef(err, "encoding frame type %d", frameType)
	}
	return AppendFrame(buffer, frameType, payload), nil
}

// appendData appends a FrameData frame to buffer; its payload is the sequence number followed by data.
func appendData(buffer []byte, sequence uint64, data []byte) []byte {
	buffer = append(buffer, byte(FrameData))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(data)+sequenceBytes))
	buffer = binary.BigEndian.AppendUint64(buffer, sequence)
	return append(buffer, data...)
}

// splitData splits the payload of a FrameData frame into its sequence number and its data.
func splitData(frame Frame) (sequence uint64, data []byte, err error) {
	if len(frame.Payload) < sequenceBytes {
		return 0, nil, errors.Annotate(ErrMalformedFrame, "data frame without a sequence number")
	}
	return binary.BigEndian.Uint64(frame.Payload), frame.Payload[sequenceBytes:], nil
}

// FrameReader reads frames from a stream.
type FrameReader struct {
	reader *bufio.Reader
}

// NewFrameReader returns a FrameReader that reads from stream.
func NewFrameReader(stream io.Reader) *FrameReader {
	return &FrameReader{reader: bufio.NewReaderSize(stream, streamBufferBytes)}
}

// Next returns the next frame. It returns io.EOF if the stream ends between two frames and io.ErrUnexpectedEOF if it
// ends within one.
func (reader *FrameReader) Next() (frame Frame, err error) {
	var header [frameHeaderBytes]byte
	if _, err = io.ReadFull(reader.reader, header[:1]); err != nil {
		return Frame{}, err
	}
	if _, err = io.ReadFull(reader.reader, header[1:]); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	frame.Type = FrameType(header[0])
	if frame.Type == 0 || frame.Type >= frameTypeCount {
		return Frame{}, errors.Annotatef(ErrMalformedFrame, "unknown frame type %d", frame.Type)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxFrameBytes {
		return Frame{}, errors.Annotatef(ErrMalformedFrame, "payload of %d bytes exceeds the limit of %d bytes", size, maxFrameBytes)
	}
	frame.Payload = make([]byte, size)
	if _, err = io.ReadFull(reader.reader, frame.Payload); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	return frame, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF, and any other error unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
