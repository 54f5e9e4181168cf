// Package fakeengine simulates a model engine with continuous batching, with the HTTP interface of vLLM.
// Requests to other paths are echoed, as by a plain service.
package fakeengine
