// Package draining decides which requests a process that stops still serves. It answers requests that arrive when less time is left until the
// process ends than they may take: slow heads and bodies, and connections that wait to be accepted. The package uses no network and reads
// no clock.
package draining
