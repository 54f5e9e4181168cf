// Package upstream is an HTTP/1.1 client for engines. Unlike net/http, it never retries a request. It checks that a response
// belongs to the request and distinguishes the end of a response from a broken connection. The end of a response
// without framing looks like that of the engine's process: outlived.go tells them apart by what the engine answers on other
// connections, which witness.go keeps.
package upstream
