// Package caller implements the OpenAI-compatible HTTP interface for callers: parsing of requests, and the forms of
// responses and errors.
package caller
