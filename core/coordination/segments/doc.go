// Package segments decides what happens to the items of a batch segment while an entry owns it.
package segments
