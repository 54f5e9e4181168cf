// Package fakeplatform is a small stand-in for the platform's key-value service and its list of VMs.
package fakeplatform
