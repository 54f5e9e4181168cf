// Package fakeengine is a small stand-in for a model engine with continuous batching, and for a plain service.
package fakeengine
