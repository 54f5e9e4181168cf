// Package fair shares a resource between client accounts by weight.
package fair
