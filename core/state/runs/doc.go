// Package runs is a daemon's bounded record of what it ran, and of the attempts that must never run.
package runs
