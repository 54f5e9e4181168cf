// Package claim holds the idempotency record that ensures that a non-idempotent request runs at most once.
package claim
