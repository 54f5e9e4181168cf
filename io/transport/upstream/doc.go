// Package upstream is the system's own way to engines: HTTP/1.1 connections that are never retried behind the caller's
// back, whose answers are checked to belong to the request, and whose ends are told apart from breaks.
package upstream
