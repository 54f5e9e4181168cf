// Package routes holds the operator's routing table, which assigns requests to services and sets their timeouts and limits.
package routes
