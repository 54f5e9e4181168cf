// Package node is what every process on a platform with a shared store has in common: its registration there, the
// view of configuration, engines, members and batch jobs, and the placement of work that it shares with the others.
package node
