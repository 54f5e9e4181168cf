// Package explain reports from the logs of several processes how a request, batch item or job ended, and why.
package explain
