package testcluster

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestRefusalBeforeTheBody guards against a reset of the connection after a refusal that does not need the body of its request.
func TestRefusalBeforeTheBody(t *testing.T) {
	cluster, stop := startCluster(t)
	defer stop()
	for range 20 {
		conn, err := net.Dial("tcp", cluster.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 90000\r\n\r\n"
		if _, err = io.WriteString(conn, head+strings.Repeat("x", 90000)); err != nil {
			t.Errorf("the request could not be sent: %v", err)
		}
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusUnauthorized {
			t.Errorf("got status %d, error %v", response.StatusCode, err)
		}
		if _, err = reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the connection ended with %v", err)
		}
	}
}
