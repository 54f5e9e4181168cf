// Package quic dials and accepts mutually authenticated QUIC connections between the processes of a fleet.
package quic
