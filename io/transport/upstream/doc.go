// Package upstream is an HTTP/1.1 client for engines. Unlike net/http, it never retries a request. It checks that a response
// belongs to the request and distinguishes the end of a response from a broken connection.
package upstream
