// Package telemetry sets up the logs and traces of a process.
package telemetry
