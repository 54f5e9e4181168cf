// Package cost estimates how much a request will write, from what it declares and from what requests of its kind wrote. It answers requests
// whose lengths differ by far more than their number says: a long item beside short streams.
package cost
