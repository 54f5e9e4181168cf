// Package settings reads and checks the JSON settings files of the system's processes.
package settings
