// Package demo runs the whole path in one process, with stand-ins for engines and platform.
package demo
