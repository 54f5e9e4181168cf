package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestDrainBody guards against a reset of the connection after a response that does not need the body of its request.
func TestDrainBody(t *testing.T) {
	const limit = 1 << 20
	server := httptest.NewServer(DrainBody(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		http.Error(writer, "refused", http.StatusNotFound)
	}), limit))
	defer server.Close()
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 300_000, strings.Repeat("x", 300_000))
	for _, test := range []struct{ name, header, body string }{
		{"no body", "Connection: close\r\n", ""},
		{"length", "Connection: close\r\nContent-Length: 300000\r\n", strings.Repeat("x", 300_000)},
		{"chunks", "Connection: close\r\nTransfer-Encoding: chunked\r\n", chunked},
		{"up to the limit", fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", limit), strings.Repeat("x", limit)},
		{"body that does not arrive", "Connection: close\r\nContent-Length: 300000\r\n", ""},
		{"body that does not arrive on a connection to be kept", "Content-Length: 200000\r\n", ""},
		{"body that waits to be asked for", "Expect: 100-continue\r\nContent-Length: 300000\r\n", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+test.header+"\r\n"+test.body); err != nil {
				t.Errorf("the request could not be sent: %v", err)
			}
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusNotFound || string(body) != "refused\n" {
				t.Errorf("got status %d, body %q, error %v", response.StatusCode, body, err)
			}
			if _, err = reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v", err)
			}
		})
	}
}
