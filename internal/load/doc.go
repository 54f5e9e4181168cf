// Package load offers open-loop load: arrivals follow a schedule, and latency counts from the scheduled
// instant, whether or not earlier requests have been answered.
package load
