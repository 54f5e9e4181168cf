// Package processes tests entries and target daemons as separate processes, with fake engines and a fake platform. The tests
// send signals to the processes and inject faults into the platform's store.
package processes
