// Package crowd plays many callers at once that keep to no limits, and measures the process that they are connected to. It serves tests.
package crowd
