// Package jobrunner decides which worker runs a batch job, which of its items runs next, and which results are written
// together. Results are written under the epoch of the job's owner, each item's result exactly once. The package uses no
// network and reads no clock.
package jobrunner
