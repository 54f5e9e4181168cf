// Package http1 stops servers of HTTP/1.1 without losing requests that have been sent.
package http1
