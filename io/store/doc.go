// Package store is the port to the platform's key-value service: what the system needs of any such service, the
// breaker above its drivers, and a follower that keeps a view of it current.
package store
