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

// TestTextThatIsNoEvent guards against the head of a response, or the text of an error, that is passed on in the middle of a stream.
func TestTextThatIsNoEvent(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "error: out of memory\n\n", "{\"error\": 1}\n\n", "<html>\n\n"} {
		events := NewEventReader(strings.NewReader("data: a\n\n" + text))
		if event, err := events.Next(); err != nil {
			t.Fatalf("got event %q before %q: %v", event, text, err)
		}
		if event, err := events.Next(); err == nil {
			t.Errorf("got event %q, want an error", event)
		}
	}
}
