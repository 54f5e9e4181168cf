package telemetry

import (
	"sync"
	"time"
)

// maxLines and lineInterval bound the lines of one kind.
const (
	maxLines     = 5
	lineInterval = 10 * time.Second
)

// LineLimit bounds the log lines that other programs can cause. The zero value is ready for use.
type LineLimit struct {
	mutex  sync.Mutex
	byKind map[string]lineCount
}

// lineCount counts the lines of one kind.
type lineCount struct {
	since   time.Time // start of the current interval
	lines   int       // written in the interval
	omitted int       // not written since the last line
}

// Allow reports whether a line of a kind may be written now, and how many of its kind were left out before it.
func (limit *LineLimit) Allow(now time.Time, kind string) (omitted int, ok bool) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if limit.byKind == nil {
		limit.byKind = map[string]lineCount{}
	}
	count := limit.byKind[kind]
	if now.Sub(count.since) >= lineInterval {
		count.since, count.lines = now, 0
	}
	if ok = count.lines < maxLines; ok {
		omitted = count.omitted
		count.lines, count.omitted = count.lines+1, 0
	} else {
		count.omitted++
	}
	limit.byKind[kind] = count
	return omitted, ok
}
