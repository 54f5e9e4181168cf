// Package routes holds the operator's routing table: which requests go to which service, and on what terms.
package routes
