// Package gate implements admission control in front of one target's engine. Online work is admitted first;
// batch work uses the slots that online work leaves free.
//
// Gate is a deterministic state machine: each method takes one event, and the current time where it needs
// it, updates the state and returns the actions to carry out. It reads no clock, starts no goroutines and does no I/O.
package gate
