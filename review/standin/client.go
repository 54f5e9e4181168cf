package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is one result of a batch job as a caller reads it.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// callers sends the calls of callers to the ingresses.
type callers struct {
	record *record
	host   string
	fronts []*machine

	mutex sync.Mutex
	next  int
}

// front returns the ingresses in turn, as retries reach other daemons.
func (callers *callers) front() *machine {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.next++
	return callers.fronts[callers.next%len(callers.fronts)]
}

// call makes one call on a new channel and returns its status, 0 if there is no whole answer.
func (callers *callers) call(front *machine, method, path string, header map[string]string, body []byte, limit time.Duration) (status int, answer []byte, answered http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front.ip+":8161"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	request.Host = callers.host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, answer, response.Header
}

// submit sends a batch job until it is answered 202, at most five times.
func (callers *callers) submit(prefix, id string, items []string) bool {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var wire struct {
		Items []item `json:"items"`
	}
	for _, name := range items {
		wire.Items = append(wire.Items, item{
			ID: name, Path: prefix + "3/" + name, Body: base64.StdEncoding.EncodeToString([]byte("body of " + name)), Tokens: 546,
			Headers: map[string]string{"Cowslipway-Model": "m", "Cowslipway-Token-Usage": "350,196", "Cowslipway-Prompt-Prefix": "5c1e07a2:100," + name[:8] + ":250"},
		})
	}
	body, _ := json.Marshal(wire)
	for try := range 5 {
		front := callers.front()
		status, _, _ := callers.call(front, http.MethodPost, prefix+id, map[string]string{"Cowslipway-Request-Id": id, "Content-Type": "application/json", "Cowslipway-Deadline-Ms": "4000"}, body, 4*time.Second)
		callers.record.log("client: batch job %s with %d items sent to %s (try %d): %d", id, len(items), front.name, try+1, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// read reads all results of a batch job from position 0 on. ok is false if a page could not be read.
func (callers *callers) read(id string) (results []result, total int, ok bool) {
	for {
		status, answer, _ := callers.call(callers.front(), http.MethodGet, "/api/lots/"+id+"?after="+strconv.Itoa(len(results)), nil, nil, 3*time.Second)
		var page struct {
			Total   int      `json:"total"`
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}
		if status != http.StatusOK || json.Unmarshal(answer, &page) != nil {
			callers.record.log("client: results of %s from %d: %d", id, len(results), status)
			return results, total, false
		}
		total = page.Total
		if len(page.Results) == 0 {
			return results, total, true
		}
		results = append(results, page.Results...)
	}
}

// itemIDs returns the IDs of the items of a batch job.
func itemIDs(job string, count int) (ids []string) {
	for number := range count {
		ids = append(ids, fmt.Sprintf("%s%08x", job[:8], number+1))
	}
	return ids
}

// jsonEvents returns output as services of language models stream it: each event is a JSON object of about 70 bytes.
func jsonEvents(count int) (events []string) {
	words := strings.Fields("barn dairy mill label farm audit milk notice lot grain")
	for number := range count {
		events = append(events, fmt.Sprintf(`{"id":"c-%04d","index":0,"delta":{"role":"a","content":"%s "}}`, number, words[number%len(words)]))
	}
	return events
}

// chunkEvents returns output in the form that stock client libraries read; its events have about 115 bytes.
func chunkEvents(count int) (events []string) {
	for number, event := range jsonEvents(count) {
		content := event[strings.Index(event, `"content":`):]
		events = append(events, fmt.Sprintf(`{"id":"cmpl-%04d","object":"text_completion.chunk","choices":[{"index":0,"delta":{"role":"a",%s]}`, number, content))
	}
	return events
}
