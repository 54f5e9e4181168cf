// Package target implements the target daemon, which runs beside the targets of one VM. All requests to the engines and
// plain services of the VM pass through it.
package target
