// Package order holds what a target is meant to serve, and the epochs that fence orders to its engine.
package order
