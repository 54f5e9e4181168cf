// Package reporter tells the other members what the engine on its VM is doing: the engine's own word is the truth also
// where processes cannot hear of each other's work.
package reporter
