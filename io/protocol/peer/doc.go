// Package peer implements the protocol between entries and target daemons. The protocol runs over QUIC. An entry opens one
// control stream to each target daemon, one stream for each attempt and one stream for each call. Streams carry typed frames;
// the payloads are msgpack messages, or parts of the bodies of requests and responses.
package peer
