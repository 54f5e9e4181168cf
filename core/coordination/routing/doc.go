// Package routing chooses the target of an attempt among those permitted.
package routing
