// Package segments splits the input of a batch job into segments and tracks the results of a segment while an entry
// owns it.
package segments
