package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestEventReader(t *testing.T) {
	for _, test := range []struct {
		body string
		want []string // ID and data
		err  error
	}{
		{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", want: []string{"1=a", "2=b"}, err: io.EOF},
		{body: "id:1\r\ndata:a\r\ndata: b\r\n\r\n", want: []string{"1=a\nb"}, err: io.EOF},
		{body: ": comment\n\nid: 7\nevent: x\ndata:  two spaces\n\n", want: []string{"=", "7= two spaces"}, err: io.EOF},
		{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n", want: []string{"1=a"}, err: io.ErrUnexpectedEOF},
		{body: "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n", want: []string{"1=" + strings.Repeat("x", 10000)}, err: io.EOF},
		{body: "", err: io.EOF},
	} {
		events := NewEventReader(strings.NewReader(test.body))
		var got []string
		var err error
		for err == nil {
			var event Event
			if event, err = events.Next(); err == nil {
				got = append(got, event.ID+"="+event.Data())
			}
		}
		if strings.Join(got, "|") != strings.Join(test.want, "|") || !errors.Is(err, test.err) {
			t.Errorf("%q: events %q, error %v; want %q, error %v", test.body, got, err, test.want, test.err)
		}
	}
}

// TestTextThatIsNoEvent guards against the head of a response, or the text of an error, that is passed on as an event.
func TestTextThatIsNoEvent(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	for text, want := range map[string]bool{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n":  false,
		"error: out of memory\n\n":                                       false,
		"{\"error\": \"out of memory\"}\n\n":                             false,
		"<html>\n\n":                                                     false,
		"HTTP/1.1 500 Internal Server Error\r\nid: 2\r\ndata: b\r\n\r\n": false,
		"{\"error\": 1}\nid: 2\ndata: b\n\n":                             false,
		"weight-versions: 3\nid: 2\ndata: b\n\n":                         true,
		": comment\n\n":                                                  true,
		"retry: 3000\n\n":                                                true,
		"event: end\n\n":                                                 true,
		"data\nid: 2\n\n":                                                true,
		"\n":                                                             true,
	} {
		events := NewEventReader(strings.NewReader(first + text))
		if event, err := events.Next(); err != nil || event.ID != "1" {
			t.Fatalf("got event %q before %q: %v", event.Raw, text, err)
		}
		event, err := events.Next()
		if isEvent := err == nil && string(event.Raw) == text; isEvent != want {
			t.Errorf("%q: passed on: %t, want %t: %v", text, isEvent, want, err)
		}
	}
}

// TestEndlessEvents guards against reading bytes without end that are no events: one event that does not end, and events that have neither
// an ID nor data.
func TestEndlessEvents(t *testing.T) {
	for name, text := range map[string]string{"one event": "x", "comments": ": comment\n\n", "unknown fields": "field: value\n\n", "blank lines": "\n"} {
		source := &endlessReader{text: text}
		events := NewEventReader(source)
		var err error
		for err == nil {
			_, err = events.Next()
		}
		if source.read > 2*maxEventBytes {
			t.Errorf("%s: %d bytes were read before %v", name, source.read, err)
		}
	}
}

// endlessReader repeats a text without end.
type endlessReader struct {
	text string
	read int
}

// Read fills data with the text.
func (reader *endlessReader) Read(data []byte) (n int, err error) {
	for n+len(reader.text) <= len(data) {
		n += copy(data[n:], reader.text)
	}
	reader.read += n
	return n, nil
}

func TestFollows(t *testing.T) {
	for _, test := range []struct {
		last, next string
		want       bool
	}{{"", "1", true}, {"1", "2", true}, {"9", "10", true}, {"2", "2", false}, {"10", "9", false}, {"a", "b", true}} {
		if got := Follows(test.last, test.next); got != test.want {
			t.Errorf("event %q after event %q is allowed: %t", test.next, test.last, got)
		}
	}
}

// FuzzEvents checks that the events concatenated are the bytes of the stream and that each event ends with a line end.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\r\n\n:\n")
	f.Fuzz(func(t *testing.T, body string) {
		events, read := NewEventReader(strings.NewReader(body)), ""
		for {
			event, err := events.Next()
			if err != nil {
				rest := strings.TrimPrefix(body, read)
				if !strings.HasPrefix(body, read) || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && rest != "" {
					t.Errorf("%q: %q was not returned: %v", body, rest, err)
				}
				return
			}
			if raw := string(event.Raw); !strings.HasSuffix(raw, "\n") {
				t.Errorf("%q: event %q is truncated", body, raw)
			}
			read += string(event.Raw)
		}
	})
}

// TestLineEndsAtBufferEnd reads events with a line that ends close to the end of the reader's buffer. The reader then
// receives the line in parts and must not take the line end, if that is a part of its own, for a blank line.
func TestLineEndsAtBufferEnd(t *testing.T) {
	for length := 4080; length < 4110; length++ {
		for _, end := range []string{"\n", "\r\n"} {
			text := "data: " + strings.Repeat("x", length) + end + "id: 7" + end + end
			events := NewEventReader(strings.NewReader(text))
			event, err := events.Next()
			if err != nil || string(event.Raw) != text || event.ID != "7" {
				t.Errorf("line of %d bytes: event of %d bytes, ID %q, %v", length, len(event.Raw), event.ID, err)
			}
		}
	}
}
