// Package tcp tells how the peer has ended a TCP connection.
package tcp
