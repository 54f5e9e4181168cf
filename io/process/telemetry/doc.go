// Package telemetry sets up the logs, metrics and traces of a process, and lists the log lines and metrics of member
// processes.
package telemetry
