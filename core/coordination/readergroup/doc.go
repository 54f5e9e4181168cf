// Package readergroup decides which members read the store for which others.
package readergroup
