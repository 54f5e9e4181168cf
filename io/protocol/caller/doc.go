// Package caller is the interface towards callers: OpenAI-compatible requests, answers and errors.
package caller
