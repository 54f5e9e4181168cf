// Package preview holds the answer of a member to where a request or a batch item would go now, and how operators ask for it: over HTTP,
// at the address of the member's metrics.
package preview
