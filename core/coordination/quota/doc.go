// Package quota bounds the tokens of batch items that wait on a route while several processes accept jobs at once, each with a
// view of the accepted jobs that lags behind.
package quota
