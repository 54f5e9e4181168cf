package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"cowslipway/core/coordination/placement"
)

// A message is its kind, a sequence number, the sender's counts, the members that it has no connection to, and the counts
// of members that others have none to. A list begins with the number of its entries. A report is its kind, a sequence
// number, and the requests that run and wait at the engine of the sender's VM.
const (
	countsKind  = 1
	reportKind  = 2
	headBytes   = 1 + 8
	reportBytes = headBytes + 4
	entryBytes  = 8 + 2 + 2
	suspectFlag = 1 << 15 // beside the number of batch items
	maxBytes    = 1150    // what fits a datagram on any path
)

// Message is what one process tells the others.
type Message struct {
	Sequence    uint64
	Counts      []placement.Counts
	Unreachable []uint32        // digests of members that the sender does not hear
	Relayed     []RelayedCounts // of members that others do not hear
}

// RelayedCounts is the counts of a member as another one has heard them.
type RelayedCounts struct {
	Member uint32 // digest
	Counts []placement.Counts
}

// digestOf is a short form of a member's name.
func digestOf(owner string) uint32 { return uint32(xxhash.Sum64String(owner)) }

// Encode writes a message; left tells how many entries did not fit.
func (message Message) Encode() (data []byte, left int) {
	data = binary.BigEndian.AppendUint64([]byte{countsKind}, message.Sequence)
	// The lists after it need two bytes each at least.
	data, left = appendCounts(data, message.Counts, maxBytes-len(data)-4)
	missing := message.Unreachable[:min(len(message.Unreachable), max(0, (maxBytes-len(data)-4)/4))]
	left += len(message.Unreachable) - len(missing)
	data = binary.BigEndian.AppendUint16(data, uint16(len(missing)))
	for _, member := range missing {
		data = binary.BigEndian.AppendUint32(data, member)
	}
	at := len(data)
	data = binary.BigEndian.AppendUint16(data, 0)
	fitting := uint16(0)
	for _, relayed := range message.Relayed {
		if len(data)+4+2+len(relayed.Counts)*entryBytes > maxBytes {
			left += len(relayed.Counts)
			continue
		}
		data = binary.BigEndian.AppendUint32(data, relayed.Member)
		data, _ = appendCounts(data, relayed.Counts, maxBytes)
		fitting++
	}
	binary.BigEndian.PutUint16(data[at:], fitting)
	return data, left
}

func appendCounts(data []byte, counts []placement.Counts, room int) (longer []byte, left int) {
	fitting := min(len(counts), max(0, (room-2)/entryBytes))
	data = binary.BigEndian.AppendUint16(data, uint16(fitting))
	for _, count := range counts[:fitting] {
		data = binary.BigEndian.AppendUint64(data, count.Engine)
		data = binary.BigEndian.AppendUint16(data, uint16(min(count.Online, 1<<16-1)))
		batch := uint16(min(count.Batch, suspectFlag-1))
		if count.Ejected {
			batch |= suspectFlag
		}
		data = binary.BigEndian.AppendUint16(data, batch)
	}
	return data, len(counts) - fitting
}

// reader takes a message apart; after a step that fails all others do.
type reader struct {
	rest   []byte
	failed bool
}

func (reader *reader) take(size int) (part []byte) {
	if reader.failed || len(reader.rest) < size {
		reader.failed = true
		return make([]byte, size)
	}
	part, reader.rest = reader.rest[:size], reader.rest[size:]
	return part
}

func (reader *reader) length(entry int) (count int) {
	count = int(binary.BigEndian.Uint16(reader.take(2)))
	if count*entry > len(reader.rest) {
		reader.failed = true
		return 0
	}
	return count
}

func (reader *reader) counts() (counts []placement.Counts) {
	counts = []placement.Counts{}
	for range reader.length(entryBytes) {
		engine, online, batch := binary.BigEndian.Uint64(reader.take(8)), binary.BigEndian.Uint16(reader.take(2)), binary.BigEndian.Uint16(reader.take(2))
		counts = append(counts, placement.Counts{Engine: engine, Online: int(online), Batch: int(batch &^ suspectFlag), Ejected: batch&suspectFlag != 0})
	}
	return counts
}

// Decode reads a message; its counts are never nil.
func Decode(data []byte) (message Message, err error) {
	reader := &reader{rest: data}
	kind := reader.take(1)[0]
	message.Sequence = binary.BigEndian.Uint64(reader.take(8))
	message.Counts = reader.counts()
	for range reader.length(4) {
		message.Unreachable = append(message.Unreachable, binary.BigEndian.Uint32(reader.take(4)))
	}
	for range reader.length(4 + 2) {
		message.Relayed = append(message.Relayed, RelayedCounts{Member: binary.BigEndian.Uint32(reader.take(4)), Counts: reader.counts()})
	}
	if reader.failed || len(reader.rest) > 0 || kind != countsKind {
		return Message{}, errors.Errorf("%d bytes are no counts", len(data))
	}
	return message, nil
}

// EncodeLoadReport writes what runs and waits at an engine.
func EncodeLoadReport(sequence uint64, running, waiting int) (message []byte) {
	message = append(message, reportKind)
	message = binary.BigEndian.AppendUint64(message, sequence)
	message = binary.BigEndian.AppendUint16(message, uint16(min(max(running, 0), 1<<16-1)))
	return binary.BigEndian.AppendUint16(message, uint16(min(max(waiting, 0), 1<<16-1)))
}

// DecodeLoadReport reads a report; ok is false where the message is none.
func DecodeLoadReport(message []byte) (sequence uint64, running, waiting int, ok bool) {
	if len(message) != reportBytes || message[0] != reportKind {
		return 0, 0, 0, false
	}
	return binary.BigEndian.Uint64(message[1:]), int(binary.BigEndian.Uint16(message[9:])), int(binary.BigEndian.Uint16(message[11:])), true
}
