// Package shares orders the requests that wait for a slot by what their accounts have been served relative to their shares. It answers the
// load of one account that asks for many times its usual beside calm ones while slots are short.
package shares
