// Package worker runs batch jobs: it owns them under the store's compare-and-swap, runs their items at engines in what
// online requests leave, and writes their results.
package worker
