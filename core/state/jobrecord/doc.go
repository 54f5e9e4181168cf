// Package jobrecord holds the records of batch jobs in the shared store and the cache that each process keeps of them.
// A job has one immutable record, one ownership record that is changed only by compare-and-swap, and chunks of results
// that are created once and never changed.
package jobrecord
