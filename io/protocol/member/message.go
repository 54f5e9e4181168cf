package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"cowslipway/core/coordination/placement"
)

// Every message starts with its kind and a sequence number; integers are big-endian. In a message with load counts, three
// lists follow, each preceded by the number of its entries: the sender's counts, the digests of the members that the sender
// cannot reach, and the counts that it relays for other members. In a load report, the numbers of running and waiting
// requests at the engine on the sender's VM follow.
const (
	countsKind      = 1
	reportKind      = 2
	headerBytes     = 1 + 8
	reportBytes     = headerBytes + 4
	countsBytes     = 8 + 2 + 2 // size of one placement.Counts
	ejectedFlag     = 1 << 15   // in the field with the number of batch items
	maxMessageBytes = 1150      // fits into a datagram on every network path
)

// Message is a message with load counts.
type Message struct {
	Sequence    uint64
	Counts      []placement.Counts // load counts of the sender
	Unreachable []uint32           // digests of the members that the sender has no connection to
	Relayed     []RelayedCounts    // load counts of members that other members cannot reach
}

// RelayedCounts holds the load counts of a member that another member relays.
type RelayedCounts struct {
	Member uint32 // digest of the member ID
	Counts []placement.Counts
}

// digestOf returns the hash by which messages identify a member.
func digestOf(memberID string) uint32 { return uint32(xxhash.Sum64String(memberID)) }

// Encode encodes message in at most maxMessageBytes and returns the number of list entries omitted because they did not
// fit.
func (message Message) Encode() (data []byte, omitted int) {
	data = binary.BigEndian.AppendUint64([]byte{countsKind}, message.Sequence)
	// 4 bytes are reserved for the lengths of the two lists that follow.
	data, omitted = appendCounts(data, message.Counts, maxMessageBytes-len(data)-4)
	unreachable := message.Unreachable[:min(len(message.Unreachable), max(0, (maxMessageBytes-len(data)-4)/4))]
	omitted += len(message.Unreachable) - len(unreachable)
	data = binary.BigEndian.AppendUint16(data, uint16(len(unreachable)))
	for _, digest := range unreachable {
		data = binary.BigEndian.AppendUint32(data, digest)
	}
	lengthOffset := len(data)
	data = binary.BigEndian.AppendUint16(data, 0)
	encoded := uint16(0)
	for _, relayed := range message.Relayed {
		if len(data)+4+2+len(relayed.Counts)*countsBytes > maxMessageBytes {
			omitted += len(relayed.Counts)
			continue
		}
		data = binary.BigEndian.AppendUint32(data, relayed.Member)
		data, _ = appendCounts(data, relayed.Counts, maxMessageBytes)
		encoded++
	}
	binary.BigEndian.PutUint16(data[lengthOffset:], encoded)
	return data, omitted
}

// appendCounts appends as many of counts as fit into available bytes, preceded by their number.
func appendCounts(data []byte, counts []placement.Counts, available int) (extended []byte, omitted int) {
	encoded := min(len(counts), max(0, (available-2)/countsBytes))
	data = binary.BigEndian.AppendUint16(data, uint16(encoded))
	for _, count := range counts[:encoded] {
		data = binary.BigEndian.AppendUint64(data, count.Engine)
		data = binary.BigEndian.AppendUint16(data, uint16(min(count.Online, 1<<16-1)))
		batch := uint16(min(count.Batch, ejectedFlag-1))
		if count.Ejected {
			batch |= ejectedFlag
		}
		data = binary.BigEndian.AppendUint16(data, batch)
	}
	return data, len(counts) - encoded
}

// decoder reads the fields of a message. After the first failure, it returns zero values only.
type decoder struct {
	rest   []byte
	failed bool
}

// next returns the next size bytes.
func (decoder *decoder) next(size int) (field []byte) {
	if decoder.failed || len(decoder.rest) < size {
		decoder.failed = true
		return make([]byte, size)
	}
	field, decoder.rest = decoder.rest[:size], decoder.rest[size:]
	return field
}

// length reads the length of a list whose entries have at least entryBytes each.
func (decoder *decoder) length(entryBytes int) (entries int) {
	entries = int(binary.BigEndian.Uint16(decoder.next(2)))
	if entries*entryBytes > len(decoder.rest) {
		decoder.failed = true
		return 0
	}
	return entries
}

// counts reads a list of load counts. The result is never nil.
func (decoder *decoder) counts() (counts []placement.Counts) {
	counts = []placement.Counts{}
	for range decoder.length(countsBytes) {
		engine, online, batch := binary.BigEndian.Uint64(decoder.next(8)), binary.BigEndian.Uint16(decoder.next(2)), binary.BigEndian.Uint16(decoder.next(2))
		counts = append(counts, placement.Counts{Engine: engine, Online: int(online), Batch: int(batch &^ ejectedFlag), Ejected: batch&ejectedFlag != 0})
	}
	return counts
}

// Decode decodes a message with load counts. Lists of counts in the result are never nil.
func Decode(data []byte) (message Message, err error) {
	decoder := &decoder{rest: data}
	kind := decoder.next(1)[0]
	message.Sequence = binary.BigEndian.Uint64(decoder.next(8))
	message.Counts = decoder.counts()
	for range decoder.length(4) {
		message.Unreachable = append(message.Unreachable, binary.BigEndian.Uint32(decoder.next(4)))
	}
	for range decoder.length(4 + 2) {
		message.Relayed = append(message.Relayed, RelayedCounts{Member: binary.BigEndian.Uint32(decoder.next(4)), Counts: decoder.counts()})
	}
	if decoder.failed || len(decoder.rest) > 0 || kind != countsKind {
		return Message{}, errors.Errorf("message of %d bytes is not a valid counts message", len(data))
	}
	return message, nil
}

// EncodeLoadReport encodes a load report. Numbers outside of the range of a uint16 are clamped to it.
func EncodeLoadReport(sequence uint64, running, waiting int) (message []byte) {
	message = append(message, reportKind)
	message = binary.BigEndian.AppendUint64(message, sequence)
	message = binary.BigEndian.AppendUint16(message, uint16(min(max(running, 0), 1<<16-1)))
	return binary.BigEndian.AppendUint16(message, uint16(min(max(waiting, 0), 1<<16-1)))
}

// DecodeLoadReport decodes a load report; ok reports whether message is one.
func DecodeLoadReport(message []byte) (sequence uint64, running, waiting int, ok bool) {
	if len(message) != reportBytes || message[0] != reportKind {
		return 0, 0, 0, false
	}
	return binary.BigEndian.Uint64(message[1:]), int(binary.BigEndian.Uint16(message[9:])), int(binary.BigEndian.Uint16(message[11:])), true
}
