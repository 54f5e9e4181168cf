package peer

import (
	"context"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"cowslipway/core/state/request"
	"cowslipway/io/transport/quic"
)

// MaxBodyBytes is the largest body of one attempt.
const MaxBodyBytes = 8 << 20

// Handler does the work of a daemon behind the protocol.
type Handler interface {
	// HandleAttempt runs one attempt; ctx ends when the entry cancels it or is gone.
	HandleAttempt(ctx context.Context, attempt Attempt, body []byte, writer *ResponseWriter)
	// HandleControl serves the control stream of one entry until it ends.
	HandleControl(ctx context.Context, hello Handshake, frames *FrameReader, stream io.Writer)
	// HandleCall answers one question.
	HandleCall(ask Call) CallResponse
	// HandleProtocolError is told of each stream that broke the protocol.
	HandleProtocolError(err error)
}

// Server serves the connections of one listener.
type Server struct {
	Listener *quic.Listener
	Handler  Handler
}

// Run serves connections until ctx ends.
func (server *Server) Run(ctx context.Context) (err error) {
	for {
		connection, err := server.Listener.Accept(ctx)
		if err != nil {
			return errors.Annotate(err, "accepting connections")
		}
		go server.serve(ctx, connection)
	}
}

func (server *Server) serve(ctx context.Context, connection *quic.Connection) {
	defer func() { _ = connection.CloseWithError(0, "") }()
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		go server.serveStream(connection.Context(), stream)
	}
}

func (server *Server) serveStream(ctx context.Context, stream *quic.Stream) {
	frames := NewFrameReader(stream)
	frame, err := frames.Next()
	if err == nil {
		err = server.dispatch(ctx, stream, frames, frame)
	}
	if err != nil {
		server.Handler.HandleProtocolError(err)
		quic.Abort(stream)
	}
}

func (server *Server) dispatch(ctx context.Context, stream *quic.Stream, frames *FrameReader, first Frame) (err error) {
	switch first.Type {
	case FrameAttempt:
		var attempt Attempt
		if err = first.Decode(&attempt); err != nil {
			return err
		}
		return server.serveAttempt(ctx, stream, frames, attempt)
	case FrameHandshake:
		var hello Handshake
		if err = first.Decode(&hello); err != nil {
			return err
		}
		server.Handler.HandleControl(ctx, hello, frames, stream)
		quic.Abort(stream)
		return nil
	case FrameCall:
		var ask Call
		if err = first.Decode(&ask); err != nil {
			return err
		}
		if err = WriteMessage(stream, FrameCallResponse, server.Handler.HandleCall(ask)); err != nil {
			return err
		}
		return stream.Close()
	default:
		return errors.Annotatef(ErrMalformedFrame, "type %d opens a stream", first.Type)
	}
}

func (server *Server) serveAttempt(ctx context.Context, stream *quic.Stream, frames *FrameReader, attempt Attempt) (err error) {
	body, err := readBody(frames, attempt.BodySizeBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go watchCancel(frames, cancel)
	writer := &ResponseWriter{stream: stream, digest: xxhash.New()}
	server.Handler.HandleAttempt(ctx, attempt, body, writer)
	if !writer.ended {
		return errors.New("attempt ended without its last frame")
	}
	_ = stream.Close()
	stream.CancelRead(0) // lets watchCancel end
	return nil
}

func readBody(frames *FrameReader, size int64) (body []byte, err error) {
	if size < 0 || size > MaxBodyBytes {
		return nil, errors.Annotatef(ErrMalformedFrame, "body of %d bytes, at most %d are allowed", size, MaxBodyBytes)
	}
	for int64(len(body)) < size {
		frame, err := frames.Next()
		if err != nil {
			return nil, unexpected(err)
		}
		if frame.Type != FrameBody || int64(len(body)+len(frame.Payload)) > size || len(frame.Payload) == 0 {
			return nil, errors.Annotatef(ErrMalformedFrame, "type %d inside a body", frame.Type)
		}
		if body == nil && int64(len(frame.Payload)) == size {
			return frame.Payload, nil
		}
		body = append(body, frame.Payload...)
	}
	return body, nil
}

// ErrCancelled is the cause of the context of an attempt that its entry cancelled.
const ErrCancelled = errors.ConstError("cancelled by the entry")

// watchCancel ends the attempt when the entry cancels it or drops the stream.
func watchCancel(frames *FrameReader, cancel context.CancelCauseFunc) {
	frame, err := frames.Next()
	if err == nil && frame.Type == FrameCancel {
		cancel(ErrCancelled)
		return
	}
	if err != nil && !errors.Is(err, io.EOF) {
		cancel(ErrCancelled)
	}
}

// ResponseWriter writes the answer to one attempt.
type ResponseWriter struct {
	stream io.Writer
	digest *xxhash.Digest
	buffer []byte
	count  uint64
	ended  bool
	failed error
}

// WriteHead queues the status and header fields; they leave with the next frame.
func (writer *ResponseWriter) WriteHead(head Head) (err error) {
	writer.buffer, err = AppendMessage(writer.buffer, FrameHead, head)
	return err
}

// WriteData queues a piece of the answer as numbered frames.
func (writer *ResponseWriter) WriteData(data []byte) {
	for len(data) > 0 {
		chunk := data[:min(len(data), dataChunkBytes)]
		data = data[len(chunk):]
		writer.buffer = appendData(writer.buffer, writer.count, chunk)
		writer.count++
		_, _ = writer.digest.Write(chunk)
	}
}

// Flush sends what is queued.
func (writer *ResponseWriter) Flush() (err error) {
	if writer.failed != nil || len(writer.buffer) == 0 {
		return writer.failed
	}
	_, writer.failed = writer.stream.Write(writer.buffer)
	writer.buffer = writer.buffer[:0]
	return writer.failed
}

// WriteEnd sends the last frame; the count and the digest are filled in.
func (writer *ResponseWriter) WriteEnd(end End) {
	writer.ended = true
	end.Frames, end.Digest = writer.count, writer.digest.Sum64()
	if end.Disposition != request.Done && end.Disposition != request.Failed {
		end.Tokens = 0
	}
	buffer, err := AppendMessage(writer.buffer, FrameEnd, end)
	if err != nil {
		return
	}
	writer.buffer = buffer
	_ = writer.Flush()
}
