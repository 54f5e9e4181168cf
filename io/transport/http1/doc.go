// Package http1 admits connections of callers of HTTP/1.1 as far as there is memory for them, and ends connections without losing requests
// that have been sent, or their responses.
package http1
