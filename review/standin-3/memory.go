package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB are the limits of the site's small fronts and of its stores.
const (
	frontMemoryMB = 144
	storeMemoryMB = 314
)

// The batch traffic of the site: its usual rate, and its bursts.
const (
	jobRate     = 2.74 // a second
	jobItems    = 10
	burstFactor = 6
	burstTime   = 3 * time.Second
	burstPause  = time.Second
	trafficTime = 105 * time.Second
)

// anonymousMB returns the memory of a process that no file holds.
func anonymousMB(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// submit sends a batch job of so many items and returns the status.
func submit(address, id string, items int) (status int) {
	var list []any
	for number := range items {
		list = append(list, map[string]any{
			"id": fmt.Sprintf("%s%03x", id, number), "path": "/pule252/3/91c4", "headers": map[string]string{"Cowslipway-Model": "m", "Cowslipway-Token-Usage": "350,1530", "Cowslipway-Prompt-Prefix": "9c2e41:100," + id + fmt.Sprintf("%03x:250", number)},
			"body": base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("p"), 1000)), "tokens": 1880,
		})
	}
	body, _ := json.Marshal(map[string]any{"items": list})
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/pule252/"+id, bytes.NewReader(body))
	request.Host = host
	request.Header.Set("Cowslipway-Request-Id", id)
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// memoryGrows: batch jobs complete, and their clients don't end them. The memory of the system's processes must stay within its limits.
func memoryGrows(s *system, trouble bool) (ruleBroken bool, err error) {
	s.store.write("op/config", configuration(1))
	var engines []*engine
	for number := range 48 {
		e, err := newEngine(s.store, s.record, fmt.Sprintf("i-%08x", 0x7f3a91c0+number), "huvo11a", "rosenheim-a", "v1")
		if err != nil {
			return false, err
		}
		e.quiet, e.pace, e.events, e.eventBytes = true, 3*time.Millisecond, 153, 72
		engines = append(engines, e)
	}
	s.extra = map[string]any{"memory_mb": frontMemoryMB}
	for _, name := range []string{"front-rosenheim-a-1", "front-rosenheim-b-1"} {
		s.add("ingress", name, "rosenheim-a")
	}
	s.extra = map[string]any{"memory_mb": storeMemoryMB}
	for _, name := range []string{"store-rosenheim-a-1", "store-rosenheim-b-1"} {
		s.add("worker", name, "rosenheim-a")
	}
	for _, p := range s.processes {
		if err = s.start(p); err != nil {
			return false, err
		}
	}
	if err = s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var group sync.WaitGroup
	ends := map[string]int{}
	peaks := map[string]float64{}
	var mutex sync.Mutex
	for _, p := range s.processes {
		group.Go(func() { // the platform: it kills a process over its limit, which starts again after a short delay
			limit := float64(storeMemoryMB)
			if p.role == "ingress" {
				limit = frontMemoryMB
			}
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				used := anonymousMB(p.command.Process.Pid)
				mutex.Lock()
				peaks[p.name] = max(peaks[p.name], used)
				mutex.Unlock()
				if used <= limit {
					continue
				}
				s.record.line("%s uses %.0f MB, more than its limit of %.0f MB: the platform kills it", p.name, used, limit)
				s.signal(p, syscall.SIGKILL)
				mutex.Lock()
				ends[p.name]++
				mutex.Unlock()
				time.Sleep(500 * time.Millisecond)
				if err := s.start(p); err != nil {
					return
				}
			}
		})
	}
	accepted, refused, number := 0, 0, 0
	var submissions sync.WaitGroup
	begun := time.Now()
	for elapsed := time.Duration(0); elapsed < trafficTime; elapsed = time.Since(begun) {
		rate := jobRate
		if trouble && elapsed%(burstTime+burstPause) < burstTime {
			rate *= burstFactor
		}
		id := fmt.Sprintf("ee%06x", number)
		submissions.Go(func() {
			status := 0
			for try := range 2 { // again at another daemon
				if status = submit(s.processes[(number+try)%2].listen, id, jobItems); status == http.StatusAccepted {
					break
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			if status == http.StatusAccepted {
				accepted++
			} else {
				refused++
				s.record.line("job %s: status %d at the second try", id, status)
			}
		})
		if number++; number%50 == 0 {
			mutex.Lock()
			s.record.line("%d jobs sent, %d accepted; memory at most so far, in MB: %.0f", number, accepted, peaks[s.processes[0].name])
			mutex.Unlock()
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	submissions.Wait()
	time.Sleep(2 * time.Second)
	close(done)
	group.Wait()
	arrivals := 0
	for _, e := range engines {
		arrivals += e.arrivals
	}
	machines := 0
	for _, p := range s.processes {
		s.record.line("%s: ended %d times by its memory, peak %.0f MB", p.name, ends[p.name], peaks[p.name])
		if ends[p.name] >= 3 {
			machines++
		}
	}
	s.record.line("%d jobs of %d items accepted, %d not accepted at two tries, %d runs of items; processes ended three times on %d machines, two break the rule", accepted, jobItems, refused, arrivals, machines)
	return machines >= 2, nil
}
