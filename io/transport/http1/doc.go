// Package http1 ends connections of servers of HTTP/1.1 without losing requests that have been sent, or their responses.
package http1
