// Package testcluster runs the whole system in one process, with simulated engines and a simulated platform.
// The demo, measurements and tests use it.
package testcluster
