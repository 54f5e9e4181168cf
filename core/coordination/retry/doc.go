// Package retry decides whether a request is sent to another target and how long to wait before a retry.
package retry
