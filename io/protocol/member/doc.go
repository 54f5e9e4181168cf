// Package member connects the processes of the system over QUIC. They exchange load counts and load reports as datagrams
// and make relayed calls on streams. Peers authenticate each other by the fingerprints of their TLS certificates, which are
// part of the member records in the store.
package member
