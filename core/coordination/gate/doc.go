// Package gate decides which work a target's engine gets, and when: online first, batch into what is left.
//
// Gate is a deterministic state machine: each method takes one event and the time, changes the state and
// returns the actions to carry out. It reads no clock, starts no goroutine and does no input or output.
package gate
