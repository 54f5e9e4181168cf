// Package reporter polls the engine on its VM for its load and sends that load to the other members. The engine's own
// figures are right even if members do not receive each other's load counts.
package reporter
