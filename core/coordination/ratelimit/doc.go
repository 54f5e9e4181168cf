// Package ratelimit limits the request and token rates of client accounts. The configured rates hold for all entries
// together; each entry enforces an equal part of them.
package ratelimit
