// Package entry is the process on the entry VMs: it takes callers' and operators' requests and picks targets.
package entry
