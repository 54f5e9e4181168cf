// Package poisonpill identifies poison pills: requests that crash every target that runs them.
package poisonpill
