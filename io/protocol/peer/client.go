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
	cancelWait    = 200 * time.Millisecond
	askTimeout    = 2 * time.Second
	orderTimeout  = 16 * time.Second // an engine may take its time
	openTimeout   = time.Second
	bodyFrameSize = 64 << 10 // bytes
)

// ErrBrokenResponse is the cause of an error about an answer that ended before its last frame or does not match it.
const ErrBrokenResponse = errors.ConstError("answer is not whole")

// Client sends attempts and questions over one connection.
type Client struct {
	Connection *quic.Connection
}

// ResponseStream is the answer to an attempt while it arrives.
type ResponseStream struct {
	Head Head // set once Start has returned without an error

	stream  *quic.Stream
	frames  *FrameReader
	digest  *xxhash.Digest
	count   uint64
	end     End
	ended   bool
	outcome request.Outcome
}

// SendAttempt sends attempt with body. On an error no byte of it was handed to the connection: it has not run.
func (client *Client) SendAttempt(ctx context.Context, attempt Attempt, body []byte) (answer *ResponseStream, err error) {
	defer func() { err = errors.Annotatef(err, "sending attempt %q", attempt.AttemptID) }()
	attempt.BodySizeBytes = int64(len(body))
	buffer, err := AppendMessage(make([]byte, 0, 512+min(len(body), bodyFrameSize)), FrameAttempt, attempt)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := client.Connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	answer = &ResponseStream{
		stream:  stream,
		frames:  NewFrameReader(stream),
		digest:  xxhash.New(),
		outcome: request.Outcome{Disposition: request.MayHaveRun, Reason: request.ReasonTargetLost},
	}
	answer.send(buffer, body)
	return answer, nil
}

// send writes the attempt. An error is not returned: the peer may have got everything all the same, and
// reading the answer tells.
func (answer *ResponseStream) send(buffer, body []byte) {
	for len(body) > 0 {
		chunk := body[:min(len(body), bodyFrameSize)]
		body = body[len(chunk):]
		buffer = AppendFrame(buffer, FrameBody, chunk)
		if len(body) == 0 {
			break
		}
		if _, err := answer.stream.Write(buffer); err != nil {
			return
		}
		buffer = buffer[:0]
	}
	_, _ = answer.stream.Write(buffer)
}

// ReadHead waits for the head of the answer; io.EOF means that the attempt ended without one.
func (answer *ResponseStream) ReadHead() (err error) {
	frame, err := answer.next()
	if err != nil {
		return err
	}
	if frame.Type != FrameHead {
		return answer.broken("frame type %d before the head", frame.Type)
	}
	if err = frame.Decode(&answer.Head); err != nil {
		return answer.broken("%s", err)
	}
	return nil
}

// Next returns the next piece of the answer and io.EOF once the whole of it was received and verified.
func (answer *ResponseStream) Next() (data []byte, err error) {
	frame, err := answer.next()
	if err != nil {
		return nil, err
	}
	if frame.Type != FrameData {
		return nil, answer.broken("frame type %d inside the answer", frame.Type)
	}
	sequence, data, err := splitData(frame)
	if err != nil {
		return nil, answer.broken("%s", err)
	}
	if sequence != answer.count {
		return nil, answer.broken("frame %d came in place of %d", sequence, answer.count)
	}
	answer.count++
	_, _ = answer.digest.Write(data)
	return data, nil
}

func (answer *ResponseStream) next() (frame Frame, err error) {
	if answer.ended {
		return Frame{}, io.EOF
	}
	frame, err = answer.frames.Next()
	if err != nil {
		return Frame{}, answer.broken("%s", err)
	}
	if frame.Type != FrameEnd {
		return frame, nil
	}
	if err = frame.Decode(&answer.end); err != nil {
		return Frame{}, answer.broken("%s", err)
	}
	answer.ended = true
	answer.outcome = answer.end.Outcome()
	answer.release()
	if answer.end.Disposition != request.Done {
		return Frame{}, io.EOF
	}
	if answer.end.Frames != answer.count || answer.end.Digest != answer.digest.Sum64() {
		return Frame{}, answer.broken("%d frames received of %d", answer.count, answer.end.Frames)
	}
	return Frame{}, io.EOF
}

func (answer *ResponseStream) broken(format string, values ...any) error {
	answer.ended = true
	reason := request.ReasonTargetLost
	if answer.count > 0 {
		reason = request.ReasonBrokenResponse
	}
	answer.outcome = request.Outcome{Disposition: request.MayHaveRun, Reason: reason}
	quic.Abort(answer.stream)
	return errors.Annotatef(ErrBrokenResponse, format, values...)
}

// release gives the stream's resources back once both ends are done with it.
func (answer *ResponseStream) release() {
	_ = answer.stream.Close()
	answer.stream.CancelRead(0)
}

// Cancel asks the target to stop; what is read from then on ends within a bounded time with the
// target's word on what became of the attempt, or without one. It may be called beside Start and Next.
func (answer *ResponseStream) Cancel() {
	_ = answer.stream.SetDeadline(time.Now().Add(cancelWait))
	_, _ = answer.stream.Write(AppendFrame(nil, FrameCancel, nil))
}

// Discard reads what is left of the answer, for the sake of its last frame.
func (answer *ResponseStream) Discard() {
	for !answer.ended {
		_, _ = answer.next()
	}
}

// Outcome returns how the attempt ended, as far as it is known.
func (answer *ResponseStream) Outcome() request.Outcome { return answer.outcome }

// End returns the last frame of the answer, zero if none was received.
func (answer *ResponseStream) End() End { return answer.end }

// Call puts a question and waits for the answer.
func (client *Client) Call(ctx context.Context, ask Call) (answer CallResponse, err error) {
	defer func() { err = errors.Annotatef(err, "asking about %q", ask.RequestID) }()
	timeout := askTimeout
	if ask.Kind == CallOrder {
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
	if err = WriteMessage(stream, FrameCall, ask); err != nil {
		return CallResponse{}, err
	}
	frame, err := NewFrameReader(stream).Next()
	if err != nil {
		return CallResponse{}, err
	}
	if frame.Type != FrameCallResponse {
		return CallResponse{}, errors.Annotatef(ErrMalformedFrame, "type %d in place of an answer", frame.Type)
	}
	return answer, frame.Decode(&answer)
}

// WriteMessage writes one frame that carries message.
func WriteMessage(writer io.Writer, kind FrameType, message any) (err error) {
	buffer, err := AppendMessage(nil, kind, message)
	if err != nil {
		return err
	}
	_, err = writer.Write(buffer)
	return err
}
