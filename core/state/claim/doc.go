// Package claim holds the record that makes a non-idempotent request run at most once.
package claim
