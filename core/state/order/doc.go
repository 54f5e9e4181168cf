// Package order holds orders that change what an engine serves, and the epochs that fence off outdated orders.
package order
