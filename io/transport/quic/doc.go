// Package quic opens and accepts mutually authenticated QUIC connections between the system's processes.
package quic
