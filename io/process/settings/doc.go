// Package settings reads and checks the settings of the system's processes.
package settings
