// Package config reads and compares declarations: the services, client accounts and rules that operators declare in JSON
// files. A declaration is one immutable value.
package config
