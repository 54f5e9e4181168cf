package peer

import (
	"context"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"cowslipway/core/state/request"
	"cowslipway/io/transport/quic"
)

// MaxBodyBytes is the maximum size of an attempt's body.
const MaxBodyBytes = 8 << 20

// Handler handles the streams that a Server accepts. Its methods are called concurrently.
type Handler interface {
	// AdmitAttempt decides whether there is memory for an attempt before its body is read. An attempt that is not admitted ends with
	// rejection and has not run. release is called once the attempt has ended.
	AdmitAttempt(attempt Attempt) (release func(), rejection End, ok bool)
	// HandleAttempt executes attempt and writes the response, including its end frame, to writer. ctx is cancelled with the
	// cause ErrCancelled if the entry cancels the attempt or resets the stream.
	HandleAttempt(ctx context.Context, attempt Attempt, body []byte, writer *ResponseWriter)
	// HandleControl serves the control stream of an entry until the stream ends.
	HandleControl(ctx context.Context, handshake Handshake, frames *FrameReader, stream io.Writer)
	// HandleCall executes call and returns the response to it.
	HandleCall(call Call) CallResponse
	// HandleProtocolError is called with the error of each stream that violates the protocol or fails.
	HandleProtocolError(err error)
}

// Server serves the connections that Listener accepts.
type Server struct {
	Listener *quic.Listener
	Handler  Handler
}

// Run accepts and serves connections until ctx ends or the listener fails. It always returns an error.
func (server *Server) Run(ctx context.Context) (err error) {
	for {
		connection, err := server.Listener.Accept(ctx)
		if err != nil {
			return errors.Annotate(err, "accepting connections")
		}
		go server.serve(ctx, connection)
	}
}

// serve serves the streams of connection until the connection is closed or ctx ends.
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

// dispatch serves stream according to the type of its first frame.
func (server *Server) dispatch(ctx context.Context, stream *quic.Stream, frames *FrameReader, first Frame) (err error) {
	switch first.Type {
	case FrameAttempt:
		var attempt Attempt
		if err = first.Decode(&attempt); err != nil {
			return err
		}
		return server.serveAttempt(ctx, stream, frames, attempt)
	case FrameHandshake:
		var handshake Handshake
		if err = first.Decode(&handshake); err != nil {
			return err
		}
		server.Handler.HandleControl(ctx, handshake, frames, stream)
		quic.Abort(stream)
		return nil
	case FrameCall:
		var call Call
		if err = first.Decode(&call); err != nil {
			return err
		}
		if err = WriteMessage(stream, FrameCallResponse, server.Handler.HandleCall(call)); err != nil {
			return err
		}
		return stream.Close()
	default:
		return errors.Annotatef(ErrMalformedFrame, "unexpected type %d of the first frame of a stream", first.Type)
	}
}

func (server *Server) serveAttempt(ctx context.Context, stream *quic.Stream, frames *FrameReader, attempt Attempt) (err error) {
	if attempt.BodySizeBytes < 0 || attempt.BodySizeBytes > MaxBodyBytes {
		return errors.Annotatef(ErrMalformedFrame, "body size of %d bytes is outside the range from 0 to %d bytes", attempt.BodySizeBytes, MaxBodyBytes)
	}
	writer := &ResponseWriter{stream: stream, digest: xxhash.New()}
	release, rejection, ok := server.Handler.AdmitAttempt(attempt)
	if !ok {
		writer.WriteEnd(rejection)
		_ = stream.Close()
		stream.CancelRead(0)
		return nil
	}
	defer release()
	body, err := readBody(frames, attempt.BodySizeBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go watchCancel(frames, cancel)
	server.Handler.HandleAttempt(ctx, attempt, body, writer)
	if !writer.ended {
		return errors.New("handler returned without writing the end frame")
	}
	_ = stream.Close()
	stream.CancelRead(0) // makes watchCancel return
	return nil
}

// readBody reads an attempt's body of size bytes from its FrameBody frames.
func readBody(frames *FrameReader, size int64) (body []byte, err error) {
	for int64(len(body)) < size {
		frame, err := frames.Next()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if frame.Type != FrameBody || int64(len(body)+len(frame.Payload)) > size || len(frame.Payload) == 0 {
			return nil, errors.Annotatef(ErrMalformedFrame, "empty, oversized or unexpected frame of type %d in a body", frame.Type)
		}
		if body == nil && int64(len(frame.Payload)) == size {
			return frame.Payload, nil
		}
		if body == nil {
			body = make([]byte, 0, size)
		}
		body = append(body, frame.Payload...)
	}
	return body, nil
}

// ErrCancelled is the cause of the cancellation of an attempt's context by the entry.
const ErrCancelled = errors.ConstError("cancelled by the entry")

// watchCancel cancels an attempt's context when the entry sends FrameCancel or reading from the stream fails. The end of the
// stream alone does not cancel it.
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

// ResponseWriter writes the response to an attempt: a head, data and an end frame.
type ResponseWriter struct {
	stream     io.Writer
	digest     *xxhash.Digest // of the data written
	buffer     []byte         // frames that are not yet sent
	dataFrames uint64         // number of data frames written
	ended      bool
	writeErr   error // first error of the stream
}

// WriteHead buffers the head of the response.
func (writer *ResponseWriter) WriteHead(head Head) (err error) {
	writer.buffer, err = AppendMessage(writer.buffer, FrameHead, head)
	return err
}

// WriteData buffers data as numbered frames of at most dataChunkBytes each.
func (writer *ResponseWriter) WriteData(data []byte) {
	for len(data) > 0 {
		chunk := data[:min(len(data), dataChunkBytes)]
		data = data[len(chunk):]
		writer.buffer = appendData(writer.buffer, writer.dataFrames, chunk)
		writer.dataFrames++
		_, _ = writer.digest.Write(chunk)
	}
}

// Flush sends the buffered frames. After a write error it sends nothing and returns the same error again.
func (writer *ResponseWriter) Flush() (err error) {
	if writer.writeErr != nil || len(writer.buffer) == 0 {
		return writer.writeErr
	}
	_, writer.writeErr = writer.stream.Write(writer.buffer)
	writer.buffer = writer.buffer[:0]
	return writer.writeErr
}

// WriteEnd sends the buffered frames and end, whose Frames and Digest it sets. It clears Tokens unless the engine is known to
// have executed the request.
func (writer *ResponseWriter) WriteEnd(end End) {
	writer.ended = true
	end.Frames, end.Digest = writer.dataFrames, writer.digest.Sum64()
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
