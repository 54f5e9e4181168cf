// Package experiment measures the system beside baselines in one run and writes the tables and plots.
package experiment
