// Package withdrawal decides whether an API key may still be trusted, by the age of the proof that the configuration which
// holds it is the newest. It answers keys that are withdrawn while VMs have lost the store. The package uses no network and
// reads no clock.
package withdrawal
