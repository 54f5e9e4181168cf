// Package fairqueue implements a queue that serves client accounts in proportion to their weights.
package fairqueue
