// Package speed estimates how long work takes at each engine, relative to the other engines of its service: what the engine is, and what
// its VM does to it now. It answers fleets of uneven engines, and VMs that neighbours slow down for some hundred milliseconds at a time.
package speed
