// Package cli is the command line of cowslipway.
package cli
