// Package routing selects the target of an attempt by place, load and prefix affinity.
package routing
