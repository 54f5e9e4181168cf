// Package testcluster runs the whole system in one process, with stand-ins for engines and platform, for the demo
// and for measurements.
package testcluster
