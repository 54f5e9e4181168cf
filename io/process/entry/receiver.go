package entry

import (
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"cowslipway/io/protocol/caller"
	"cowslipway/io/protocol/peer"
)

const maxResponseBytes = 32 << 20 // of a buffered response

const (
	errResponseTooLarge = errors.ConstError("response is too large to be buffered")
	errItemsHoldMemory  = errors.ConstError("other items hold the memory for responses")
)

// bufferedReceiver buffers a response until it is complete, so that the response of a retry can replace it.
type bufferedReceiver struct {
	status  int
	headers []peer.Header
	body    []byte
	hold    func(bytes int64) error // holds memory for a body of this size; nil if it is not bounded
}

func (receiver *bufferedReceiver) head(head peer.Head, _ *targetView) {
	receiver.status, receiver.headers, receiver.body = head.Status, head.Headers, nil
}

func (receiver *bufferedReceiver) data(data []byte) (err error) {
	if len(receiver.body)+len(data) > maxResponseBytes {
		return errResponseTooLarge
	}
	if err = receiver.grow(len(receiver.body) + len(data)); err != nil {
		return err
	}
	receiver.body = append(receiver.body, data...)
	return nil
}

// grow makes room for a body of a size. It holds memory for the old buffer and the new one until the first is copied.
func (receiver *bufferedReceiver) grow(size int) (err error) {
	if size <= cap(receiver.body) || receiver.hold == nil {
		return nil
	}
	size = max(size, 2*cap(receiver.body))
	if err = receiver.hold(int64(cap(receiver.body) + size)); err != nil {
		return err
	}
	receiver.body = append(make([]byte, 0, size), receiver.body...)
	return receiver.hold(int64(size))
}

func (receiver *bufferedReceiver) responseStarted() bool { return false }

// write sends the buffered response to the caller.
func (receiver *bufferedReceiver) write(writer http.ResponseWriter) {
	for _, header := range receiver.headers {
		writer.Header().Add(header.Name, header.Value)
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(receiver.body)))
	writer.WriteHeader(receiver.status)
	_, _ = writer.Write(receiver.body)
}

// streamReceiver forwards a response to the caller as it arrives. The status and header fields are sent together with the
// first data, so that an attempt that fails before its first data can be retried.
type streamReceiver struct {
	writer http.ResponseWriter

	responseHead peer.Head // of the latest attempt
	target       string    // name of the target of the latest attempt
	started      bool      // the status and header fields were sent
	writeFailed  bool      // the last write to the caller failed
}

func (receiver *streamReceiver) head(head peer.Head, view *targetView) {
	receiver.responseHead, receiver.target = head, view.name
}

func (receiver *streamReceiver) data(data []byte) (err error) {
	if !receiver.started {
		receiver.started = true
		receiver.writeHead()
	}
	if _, err = receiver.writer.Write(data); err == nil {
		err = http.NewResponseController(receiver.writer).Flush()
	}
	receiver.writeFailed = err != nil
	return err
}

func (receiver *streamReceiver) writeHead() {
	header := receiver.writer.Header()
	for _, field := range receiver.responseHead.Headers {
		header.Add(field.Name, field.Value)
	}
	header.Set(caller.TargetHeader, receiver.target)
	header.Set("Cache-Control", "no-cache")
	receiver.writer.WriteHeader(receiver.responseHead.Status)
}

func (receiver *streamReceiver) responseStarted() bool { return receiver.started }

// itemReceiver returns the receiver of a response to a batch item, out of the memory for all of them. release gives the memory back. A response
// that does not fit even by itself is too large; another one waits for those that hold the memory.
func (entry *Entry) itemReceiver() (receiver *bufferedReceiver, release func()) {
	reservation, ok := entry.itemMemory.Reserve(0)
	receiver = &bufferedReceiver{hold: func(bytes int64) error {
		switch {
		case bytes > entry.itemMemory.LargeBytes:
			return errors.Annotatef(errResponseTooLarge, "%d bytes for an item", bytes)
		case !ok || !reservation.Resize(bytes):
			return errors.Annotatef(errItemsHoldMemory, "%d bytes for an item", bytes)
		}
		return nil
	}}
	return receiver, reservation.Release
}
