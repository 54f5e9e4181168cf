package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id       string
	status   int
	header   http.Header
	events   []string // IDs
	versions []string // software versions of the events, in order, each change once
	body     string
	complete bool
	err      error
}

// stream sends a streaming request on a channel of its own and reads the answer.
func stream(address, host, path, id string, header map[string]string, limit time.Duration) (a answer) {
	a.id = id
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("prompt "+id))
	request.Host = host
	request.Header.Set("Cowslipway-Request-Id", id)
	request.Header.Set("Cowslipway-Model", "m")
	request.Header.Set("Cowslipway-Token-Usage", "450,22")
	request.Header.Set("Cowslipway-Prompt-Prefix", "5c1e07a2:100,"+id+":350")
	request.Header.Set("Cowslipway-Deadline-Ms", "5000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(response.Body)
		a.body, a.err, a.complete = string(data), err, err == nil
		return a
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		line = strings.TrimRight(line, "\n")
		if number, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			a.events = append(a.events, number)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && err == nil {
			version, _, _ := strings.Cut(data, ".")
			if len(a.versions) == 0 || a.versions[len(a.versions)-1] != version {
				a.versions = append(a.versions, version)
			}
		}
		if err != nil {
			a.err, a.complete = err, err == io.EOF
			if a.complete {
				a.err = nil
			}
			return a
		}
	}
}
