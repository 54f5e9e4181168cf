// Package poisonpill finds the requests that crash every target that runs them.
package poisonpill
