// Package operator implements the HTTP interface for operators: its messages, its client, and the versions of the
// configuration in the store.
package operator
