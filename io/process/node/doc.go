// Package node implements what all member processes on a platform with a shared store have in common: registration in
// the store, views of its records (configuration, engines, members, batch jobs), and the placement of work on engines in
// coordination with the other members.
package node
