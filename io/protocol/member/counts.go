package member

import (
	"encoding/binary"

	"github.com/juju/errors"

	"cowslipway/core/coordination/placement"
)

// A message of counts is its kind, a sequence number and entries of an engine's digest, online and batch requests. A
// report is its kind, a sequence number, and the requests that run and wait at the engine of the sender's VM.
const (
	countsKind  = 1
	reportKind  = 2
	reportBytes = headBytes + 4
	headBytes   = 1 + 8
	entryBytes  = 8 + 2 + 2
	maxEntries  = 95 // what fits a datagram on any path: 1,150 bytes
)

// Encode writes counts; left tells how many did not fit.
func Encode(sequence uint64, counts []placement.Counts) (message []byte, left int) {
	left = max(0, len(counts)-maxEntries)
	message = append(message, countsKind)
	message = binary.BigEndian.AppendUint64(message, sequence)
	for _, count := range counts[:len(counts)-left] {
		message = binary.BigEndian.AppendUint64(message, count.Engine)
		message = binary.BigEndian.AppendUint16(message, uint16(min(count.Online, 1<<16-1)))
		message = binary.BigEndian.AppendUint16(message, uint16(min(count.Batch, 1<<16-1)))
	}
	return message, left
}

// Decode reads a message; counts is never nil.
func Decode(message []byte) (sequence uint64, counts []placement.Counts, err error) {
	if len(message) < headBytes || message[0] != countsKind || (len(message)-headBytes)%entryBytes != 0 {
		return 0, nil, errors.Errorf("%d bytes are no counts", len(message))
	}
	sequence = binary.BigEndian.Uint64(message[1:])
	counts = []placement.Counts{}
	for rest := message[headBytes:]; len(rest) > 0; rest = rest[entryBytes:] {
		counts = append(counts, placement.Counts{
			Engine: binary.BigEndian.Uint64(rest),
			Online: int(binary.BigEndian.Uint16(rest[8:])),
			Batch:  int(binary.BigEndian.Uint16(rest[10:])),
		})
	}
	return sequence, counts, nil
}

// EncodeReport writes what runs and waits at an engine.
func EncodeReport(sequence uint64, running, waiting int) (message []byte) {
	message = append(message, reportKind)
	message = binary.BigEndian.AppendUint64(message, sequence)
	message = binary.BigEndian.AppendUint16(message, uint16(min(max(running, 0), 1<<16-1)))
	return binary.BigEndian.AppendUint16(message, uint16(min(max(waiting, 0), 1<<16-1)))
}

// DecodeReport reads a report; ok is false where the message is none.
func DecodeReport(message []byte) (sequence uint64, running, waiting int, ok bool) {
	if len(message) != reportBytes || message[0] != reportKind {
		return 0, 0, 0, false
	}
	return binary.BigEndian.Uint64(message[1:]), int(binary.BigEndian.Uint16(message[9:])), int(binary.BigEndian.Uint16(message[11:])), true
}
