// Package request holds the immutable values that describe one request and how each of its attempts ended.
package request
