// Package readergroup decides which members of the fleet read the store, and for which other members each of them does.
package readergroup
