// Package target is the daemon beside the targets of one VM: the only way to its engines and plain services.
package target
