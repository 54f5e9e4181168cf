package peer

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"cowslipway/core/state/request"
	"cowslipway/io/transport/quic"
)

const (
	cancelTimeout     = 200 * time.Millisecond // for the end frame after a cancellation
	callTimeout       = 2 * time.Second
	orderTimeout      = 16 * time.Second // an engine may need several seconds to execute an order
	openStreamTimeout = time.Second
	bodyFrameBytes    = 64 << 10
)

// ErrBrokenResponse is the cause of every error about a response that ends before its end frame or does not match it.
const ErrBrokenResponse = errors.ConstError("incomplete or corrupted response")

// Client sends attempts and calls to a target daemon over one connection.
type Client struct {
	Connection *quic.Connection
}

// ResponseStream reads the response to an attempt.
type ResponseStream struct {
	Head Head // set once ReadHead has returned without an error

	stream     *quic.Stream
	frames     *FrameReader
	digest     *xxhash.Digest // of the data received
	dataFrames uint64         // number of data frames received
	end        End
	ended      bool
	outcome    request.Outcome
}

// SendAttempt sends attempt with body. If it returns an error, nothing was sent and the attempt is not executed.
func (client *Client) SendAttempt(ctx context.Context, attempt Attempt, body []byte) (response *ResponseStream, err error) {
	defer func() { err = errors.Annotatef(err, "sending attempt %q", attempt.AttemptID) }()
	attempt.BodySizeBytes = int64(len(body))
	buffer, err := AppendMessage(make([]byte, 0, 512+min(len(body), bodyFrameBytes)), FrameAttempt, attempt)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	stream, err := client.Connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	response = &ResponseStream{
		stream:  stream,
		frames:  NewFrameReader(stream),
		digest:  xxhash.New(),
		outcome: request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonTargetLost},
	}
	response.send(buffer, body)
	return response, nil
}

// send writes buffer, which holds the attempt frame, and body. It ignores write errors, because the target daemon may have
// received the whole attempt in spite of them; the outcome is determined from the response.
func (response *ResponseStream) send(buffer, body []byte) {
	for len(body) > 0 {
		chunk := body[:min(len(body), bodyFrameBytes)]
		body = body[len(chunk):]
		buffer = AppendFrame(buffer, FrameBody, chunk)
		if len(body) == 0 {
			break
		}
		if _, err := response.stream.Write(buffer); err != nil {
			return
		}
		buffer = buffer[:0]
	}
	_, _ = response.stream.Write(buffer)
}

// ReadHead waits for the head of the response and stores it in Head. It returns io.EOF if the attempt ended without a head.
func (response *ResponseStream) ReadHead() (err error) {
	frame, err := response.next()
	if err != nil {
		return err
	}
	if frame.Type != FrameHead {
		return response.fail("unexpected frame type %d, want head", frame.Type)
	}
	if err = frame.Decode(&response.Head); err != nil {
		return response.fail("%s", err)
	}
	return nil
}

// Next returns the next chunk of the response's data, and io.EOF at its end. An attempt that is done ends with io.EOF only
// if the number of data frames and their digest match the end frame.
func (response *ResponseStream) Next() (data []byte, err error) {
	frame, err := response.next()
	if err != nil {
		return nil, err
	}
	if frame.Type != FrameData {
		return nil, response.fail("unexpected frame type %d, want data", frame.Type)
	}
	sequence, data, err := splitData(frame)
	if err != nil {
		return nil, response.fail("%s", err)
	}
	if sequence != response.dataFrames {
		return nil, response.fail("data frame has sequence number %d, want %d", sequence, response.dataFrames)
	}
	response.dataFrames++
	_, _ = response.digest.Write(data)
	return data, nil
}

// next returns the next frame. At the end frame it sets the outcome and returns io.EOF, or an error if the frame does not
// match the data received.
func (response *ResponseStream) next() (frame Frame, err error) {
	if response.ended {
		return Frame{}, io.EOF
	}
	frame, err = response.frames.Next()
	if err != nil {
		return Frame{}, response.fail("%s", err)
	}
	if frame.Type != FrameEnd {
		return frame, nil
	}
	if err = frame.Decode(&response.end); err != nil {
		return Frame{}, response.fail("%s", err)
	}
	response.ended = true
	response.outcome = response.end.Outcome()
	response.release()
	if response.end.Disposition != request.Done {
		return Frame{}, io.EOF
	}
	if response.end.Frames != response.dataFrames || response.end.Digest != response.digest.Sum64() {
		return Frame{}, response.fail("received %d data frames, end frame reports %d, or digests differ", response.dataFrames, response.end.Frames)
	}
	return Frame{}, io.EOF
}

// fail resets the stream, sets the outcome of a broken response and returns an error with the cause ErrBrokenResponse.
func (response *ResponseStream) fail(format string, values ...any) error {
	response.ended = true
	reason := request.ReasonTargetLost
	if response.dataFrames > 0 {
		reason = request.ReasonBrokenResponse
	}
	response.outcome = request.Outcome{Disposition: request.MayHaveRun, Reason: reason}
	quic.Abort(response.stream)
	return errors.Annotatef(ErrBrokenResponse, format, values...)
}

// release closes both directions of the stream to free its resources.
func (response *ResponseStream) release() {
	_ = response.stream.Close()
	response.stream.CancelRead(0)
}

// Cancel requests the cancellation of the attempt. Reads that follow end within cancelTimeout; the outcome comes from
// the end frame if the target daemon sends it in time. Cancel may be called concurrently with ReadHead and Next.
func (response *ResponseStream) Cancel() {
	_ = response.stream.SetDeadline(time.Now().Add(cancelTimeout))
	_, _ = response.stream.Write(AppendFrame(nil, FrameCancel, nil))
}

// Discard reads the rest of the response up to its end frame and discards the data.
func (response *ResponseStream) Discard() {
	for !response.ended {
		_, _ = response.next()
	}
}

// Outcome returns the outcome of the attempt. Until the response has ended, this is MayHaveRun with ReasonTargetLost.
func (response *ResponseStream) Outcome() request.Outcome { return response.outcome }

// End returns the end frame of the response, or the zero End if none was received.
func (response *ResponseStream) End() End { return response.end }

// Call sends call and returns the response. It times out after orderTimeout for an order and after callTimeout otherwise.
func (client *Client) Call(ctx context.Context, call Call) (response CallResponse, err error) {
	defer func() { err = errors.Annotatef(err, "call about request %q", call.RequestID) }()
	timeout := callTimeout
	if call.Kind == CallOrder {
		timeout = orderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := client.Connection.OpenStreamSync(ctx)
	if err != nil {
		return CallResponse{}, err
	}
	defer quic.Abort(stream)
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	if err = WriteMessage(stream, FrameCall, call); err != nil {
		return CallResponse{}, err
	}
	frame, err := NewFrameReader(stream).Next()
	if err != nil {
		return CallResponse{}, err
	}
	if frame.Type != FrameCallResponse {
		return CallResponse{}, errors.Annotatef(ErrMalformedFrame, "unexpected frame type %d, want call response", frame.Type)
	}
	return response, frame.Decode(&response)
}

// WriteMessage writes a frame of type frameType with the msgpack encoding of message to writer.
func WriteMessage(writer io.Writer, frameType FrameType, message any) (err error) {
	buffer, err := AppendMessage(nil, frameType, message)
	if err != nil {
		return err
	}
	_, err = writer.Write(buffer)
	return err
}
