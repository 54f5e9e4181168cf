// Package target implements the target daemon, which runs on the same VM as its targets. All requests to the engines and
// plain services of the VM pass through it.
package target
