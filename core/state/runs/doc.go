// Package runs keeps the bounded history of a target daemon: the attempts that it ran, and tombstones of the attempts that
// must never run.
package runs
