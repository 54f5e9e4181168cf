// Package etcd is a client of the platform's key-value service, which uses the JSON mapping of the etcd v3 API, and of the
// platform's list of VMs. It also defines the keys and the encoding of the records that the system stores.
package etcd
