// Package experiment runs the load generator and measures the system and its baselines in the same process.
// It writes the results as Markdown tables and SVG bar charts.
package experiment
