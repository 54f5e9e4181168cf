// Package jobrecord holds the records of batch jobs as they lie in the store, and the view that each process keeps
// of them. A job has one immutable record, one ownership record that is only changed by compare-and-swap, and
// chunks of results that are created once and never changed.
package jobrecord
