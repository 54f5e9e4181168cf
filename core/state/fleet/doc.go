// Package fleet describes the processes of the system and the engines that they send requests to.
package fleet
