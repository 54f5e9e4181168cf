// Package demo runs the whole system in one process, with fake engines and a fake platform.
package demo
