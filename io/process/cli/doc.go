// Package cli implements the command line of cowslipway.
package cli
