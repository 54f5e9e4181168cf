// Package ingress serves callers over HTTP: it forwards online requests to engines, and records the submission and the
// cancellation of batch jobs in the shared store, from which it also answers reads of their results.
package ingress
