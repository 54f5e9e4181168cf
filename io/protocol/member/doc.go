// Package member carries the processes' counts of running work between them, as datagrams over QUIC connections
// whose ends prove themselves with the certificates that the store names.
package member
