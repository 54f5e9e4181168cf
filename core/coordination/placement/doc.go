// Package placement decides which engine a request goes to, which wait, which are refused, and which batch items
// give their slot back. Engines admit by arrival and know no priorities, so the order is made here: never more
// at an engine than its slots, online before batch. Every process counts its own work and hears the others'
// counts, so that several share the engines without talking at each step. It needs no network and no clock.
package placement
