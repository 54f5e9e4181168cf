package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	begun time.Time
	mutex sync.Mutex
	file  *os.File
	seen  map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{begun: time.Now(), file: file, seen: map[string]int{}}, err
}

// log writes one line with the time since the start.
func (record *record) log(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// logSome writes the first lines of a format and each hundredth one after them.
func (record *record) logSome(format string, arguments ...any) {
	record.mutex.Lock()
	count := record.seen[format]
	record.seen[format]++
	record.mutex.Unlock()
	if count < 5 || count%100 == 0 {
		record.log(format+" (number %d)", append(arguments, count+1)...)
	}
}
