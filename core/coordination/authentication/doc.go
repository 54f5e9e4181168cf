// Package authentication finds the client account that holds an API key. It answers configurations with thousands of routes and
// accounts that change several times a second: a new directory shares with the previous one whatever has not changed. Keys are
// kept and compared as digests only. The package uses no network and reads no clock.
package authentication
