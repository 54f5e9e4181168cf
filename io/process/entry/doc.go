// Package entry implements the entry process: it accepts requests of callers and operators over HTTP, sends callers'
// requests to targets through target daemons, and runs batch jobs of the OpenAI interface.
package entry
