// Package store defines the interface to the platform's key-value service, and what the system builds on any such
// service: a circuit breaker, calls relayed through peers, and a follower that reports the changes of keys.
package store
