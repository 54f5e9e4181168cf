// Package etcd speaks to the platform's key-value service, over the JSON mapping of the etcd v3
// interface, and to its list of VMs.
package etcd
