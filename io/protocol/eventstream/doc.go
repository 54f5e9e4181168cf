// Package eventstream tells server-sent events from other text that a failed engine sends in their place.
package eventstream
