// Package memorybudget bounds the memory that a process holds for all its callers together, and decides whose connection is ended when
// there is no room: callers that have stopped sending or reading before those that have just come.
package memorybudget
