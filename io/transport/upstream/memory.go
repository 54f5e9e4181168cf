package upstream

import (
	"github.com/juju/errors"

	"cowslipway/core/coordination/memorybudget"
)

const (
	// unreservedBytes is what a response may take without a reservation: sound events and most outputs are shorter, and requests under way are
	// bounded by the slots of engines.
	unreservedBytes = 64 << 10
	// reservedStep is the step in which a reservation grows.
	reservedStep = 128 << 10
)

// ErrNoRoom is the cause of the error of a response for which there is no memory.
const ErrNoRoom = errors.ConstError("no memory for the response")

// Buffer is the memory that a response of an engine takes, out of the memory for all of them. The zero Buffer takes nothing, and is not
// bounded without a Pool. It must not be used concurrently.
type Buffer struct {
	Pool *memorybudget.Pool // shared by all responses

	reservation *memorybudget.Reservation
	reserved    int64
}

// Resize sets the size in bytes that the response takes. The cause of the error is ErrNoRoom; less is always granted.
func (buffer *Buffer) Resize(bytes int64) (err error) {
	if bytes <= unreservedBytes {
		buffer.Release()
		return nil
	}
	target := (bytes + reservedStep - 1) / reservedStep * reservedStep
	if target == buffer.reserved {
		return nil
	}
	if !buffer.reserve(target) {
		return errors.Annotatef(ErrNoRoom, "%d bytes", bytes)
	}
	buffer.reserved = target
	return nil
}

// reserve reserves bytes in place of what is reserved, if there is room.
func (buffer *Buffer) reserve(bytes int64) (ok bool) {
	if buffer.reservation != nil {
		return buffer.reservation.Resize(bytes)
	}
	buffer.reservation, ok = buffer.Pool.Reserve(bytes)
	return ok
}

// Release gives the memory back.
func (buffer *Buffer) Release() {
	buffer.reservation.Release()
	buffer.reservation, buffer.reserved = nil, 0
}
