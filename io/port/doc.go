// Package port defines the interfaces between the system and the platform that it runs on: how records in the store,
// callers' requests and engines' responses are encoded. An implementation only translates names and formats; it makes
// no decisions.
package port
