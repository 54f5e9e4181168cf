// Package config reads and compares declarations: JSON files in which operators declare services, client accounts and rules.
// A Configuration holds one version of the declaration and is immutable.
package config
