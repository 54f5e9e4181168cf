// Package poison finds the requests that crash every target that runs them.
package poison
