// Package retry decides whether a request is sent to a further target, and when callers should come back.
package retry
