// Package load generates HTTP load for the chat completions interface and summarises the responses.
//
// In an open loop, requests arrive on a schedule that does not depend on earlier responses, and latency counts
// from the scheduled arrival. A slow server therefore cannot hide its delay by slowing down the arrivals.
// In a closed loop, a fixed number of requests is in flight, and latency counts from the start of each request.
package load
