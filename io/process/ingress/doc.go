// Package ingress serves callers: it sends online requests straight to engines, and takes batch jobs, their reads and
// their ends to the store's records.
package ingress
