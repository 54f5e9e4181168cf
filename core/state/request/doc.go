// Package request holds immutable values that describe a request and the outcomes of its attempts.
package request
