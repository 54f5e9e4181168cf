// Package port names what the system needs of the platform that it runs on: how records in the store, callers'
// requests and engines' answers are read and written. A driver holds names and formats and decides nothing.
package port
