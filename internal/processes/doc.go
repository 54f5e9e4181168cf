// Package processes tests the system as separate processes, with real signals and faults of its surroundings.
package processes
