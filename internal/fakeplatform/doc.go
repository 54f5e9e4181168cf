// Package fakeplatform simulates the platform in memory: its key-value service, with the JSON form of etcd's v3
// interface, and its list of VMs. Faults can be injected.
package fakeplatform
