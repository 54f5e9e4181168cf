package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	host = "nony24.example"
	path = "/lohu930/2f"
)

// engineCount is the number of engines: one of them is at most the share of .1 that go down and up at once.
const engineCount = 10

// configuration is the operator's configuration: one resumable streaming route, as on the site's sheet, and a batch route.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stream", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300, "priority": 0, "service": "huvo11a", "max_attempts": 2, "sticky": true, "resumable": true, "itl_target_ms": 300},
			map[string]any{"name": "r-batch", "host": host, "prefix": "/pule252/", "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400, "completion_target_ms": 18000, "max_queue_s": 60, "priority": 2, "service": "huvo11a", "max_attempts": 3, "sticky": true, "resumable": true, "itl_target_ms": 300},
		},
		"services": []any{map[string]any{"name": "huvo11a", "health_path": "/healthz", "max_conns": 240, "engine": map[string]any{"slots": 8}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// versionsMixed: an engine comes back under its ID with another software version while the store is down, serves new streams, and breaks
// them off. They must not go on at an engine of the former version.
func versionsMixed(s *system, trouble bool) (ruleBroken bool, err error) {
	s.store.write("op/config", configuration(1))
	var engines []*engine
	for number := range engineCount {
		e, err := newEngine(s.store, s.record, fmt.Sprintf("i-%08x", 0x7f3a91c0+number), "huvo11a", "rosenheim-a", "v1")
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for _, p := range []*process{s.add("ingress", "front-rosenheim-a-1", "rosenheim-a"), s.add("ingress", "front-rosenheim-b-1", "rosenheim-b"), s.add("worker", "store-rosenheim-a-1", "rosenheim-a")} {
		if err = s.start(p); err != nil {
			return false, err
		}
	}
	if err = s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mutex sync.Mutex
	var group sync.WaitGroup
	var answers []answer
	send := func(name string, count int, over time.Duration) {
		for number := range count {
			front := s.processes[number%2]
			group.Go(func() {
				time.Sleep(over * time.Duration(number) / time.Duration(count))
				id := fmt.Sprintf("%s%04x", name, number)
				s.record.line("client sends %s to %s", id, front.name)
				a := stream(front.listen, host, path, id, nil, 6*time.Second)
				s.record.line("client has %s: status %d, %d events, versions [%s], complete %t, %v", id, a.status, len(a.events), joined(a.versions), a.complete, a.err)
				mutex.Lock()
				defer mutex.Unlock()
				answers = append(answers, a)
			})
		}
	}
	send("aa", 6, 200*time.Millisecond)
	group.Wait()
	first := engines[0]
	if trouble {
		s.record.line("the store is down (busy)")
		s.store.setDown("busy")
		time.AfterFunc(4500*time.Millisecond, func() {
			s.store.setDown("")
			s.record.line("the store is back")
		})
		time.Sleep(300 * time.Millisecond)
	}
	first.crash() // while it is idle; it comes back with new software
	time.Sleep(600 * time.Millisecond)
	if err = first.start("v2"); err != nil {
		return false, err
	}
	send("bb", 60, 300*time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	if trouble {
		first.crash()
	}
	group.Wait()
	mixed := 0
	for _, a := range answers {
		if len(a.versions) > 1 {
			mixed++
		}
	}
	s.record.line("%d answers, %d with events of two software versions; more than two break the rule", len(answers), mixed)
	return mixed > 2, nil
}
