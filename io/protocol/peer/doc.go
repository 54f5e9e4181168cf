// Package peer implements the protocol between entries and target daemons. It runs over QUIC: a control stream for each
// connection, one stream for each attempt, and one stream for each call. Streams carry typed frames with msgpack payloads.
package peer
