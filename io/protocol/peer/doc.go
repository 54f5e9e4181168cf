// Package peer is the protocol between entry and target: one QUIC stream an attempt, framed and numbered.
package peer
