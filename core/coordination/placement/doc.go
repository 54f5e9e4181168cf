// Package placement decides which engine each request goes to, which requests wait in a queue, which are rejected, and
// which batch items are preempted. Engines run requests in order of arrival and know no priorities, so a Pool enforces
// the order: it sends an engine no more requests than the engine has slots, and places online requests before batch
// items. Each process counts its own load and applies the load counts that its peers broadcast, so that several
// processes share the engines without coordinating each decision. The package uses no network and reads no clock.
package placement
