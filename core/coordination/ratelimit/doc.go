// Package ratelimit holds each client account to its declared rates, over all the entries together.
package ratelimit
