package http1

import (
	"log"
	"strings"
)

// ErrorLog returns a logger for an [http.Server] that passes each of its lines to write.
func ErrorLog(write func(line string)) *log.Logger { return log.New(lineWriter(write), "", 0) }

// lineWriter receives one line in each call of Write.
type lineWriter func(line string)

// Write passes a line on.
func (write lineWriter) Write(line []byte) (n int, err error) {
	write(strings.TrimSpace(string(line)))
	return len(line), nil
}
