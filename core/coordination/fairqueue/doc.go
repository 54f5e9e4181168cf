// Package fairqueue shares a resource between client accounts by weight.
package fairqueue
