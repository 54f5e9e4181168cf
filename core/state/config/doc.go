// Package config holds the operators' declaration: services, client accounts and rules, as one immutable value.
package config
