package engine

import (
	"strings"
	"testing"
)

// TestLineOfBufferSize reads events with a line that is about as long as the reader's buffer. If the buffer ends just before
// the line break, the line break alone must not be taken for the blank line that ends the event.
func TestLineOfBufferSize(t *testing.T) {
	for length := 4080; length < 4110; length++ {
		for _, lineBreak := range []string{"\n", "\r\n"} {
			text := "data: " + strings.Repeat("x", length) + lineBreak + "event: y" + lineBreak + lineBreak
			event, err := NewEventReader(strings.NewReader(text)).Next()
			if err != nil || string(event) != text {
				t.Errorf("data of %d bytes: got an event of %d bytes, error: %v", length, len(event), err)
			}
		}
	}
}
