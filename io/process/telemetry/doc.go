// Package telemetry sets up the logs, metrics and traces of a process, and lists the log lines and metrics of members: ingress,
// worker and reporter processes.
package telemetry
