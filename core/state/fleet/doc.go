// Package fleet holds what is known of the system's own processes and of the engines behind them.
package fleet
