// Package worker runs batch jobs: it claims their ownership by compare-and-swap in the store, runs their items at
// engines in slots that online requests leave free, and writes their results.
package worker
