package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["smuggle"] = func(trouble bool) (broken bool) {
		out := output{status: 200, events: 20, bytes: 75, pause: 4 * time.Millisecond}
		s := newSystem(func(string) output { return out })
		defer s.end()
		for i := range 3 {
			s.fleet.start(s.store, "llm", s.zones[i])
		}
		s.configure(1, batchRoute("b", "/pule252/", 3))
		front := s.add("ingress", "z1", 134)
		for _, zone := range s.zones {
			s.add("worker", zone, 164)
		}
		for _, p := range s.processes {
			p.start()
		}
		await("front ready", 20*time.Second, front.isReady)
		sent := map[string]bool{}
		inner := randomHex(8)
		var jobs []*job
		for range 3 {
			j := &job{ID: randomHex(8), Prefix: "/pule252/"}
			for range 10 {
				j.Items = append(j.Items, newItem(j.Prefix, 700, 20))
			}
			jobs = append(jobs, j)
		}
		if trouble {
			it := &jobs[0].Items[4]
			it.Path += fmt.Sprintf(" HTTP/1.1\r\nHost: batch.example\r\nCowslipway-Request-Id: %s\r\nContent-Length: 0\r\n\r\nPOST /other/1 HTTP/1.1\r\nHost: other.example\r\nCowslipway-Request-Id: %s\r\nContent-Length: 16\r\n\r\n", it.ID, inner)
		}
		for _, j := range jobs {
			if status := j.submit(front, 4*time.Second); status != http.StatusAccepted {
				note("job %s is not accepted: %d", j.ID, status)
				continue
			}
			for _, it := range j.Items {
				sent[it.ID] = true
			}
		}
		for _, j := range jobs {
			note("job %s: %d results", j.ID, len(j.readAll(front, time.Now().Add(8*time.Second))))
		}
		for _, r := range s.fleet.all() {
			note("engine %s runs request %s: %s %s%s", r.Engine, r.ID, r.Method, r.Host, r.Path)
			if !sent[r.ID] {
				note("UNASKED: no client sent a request with the ID %s", r.ID)
				broken = true
			}
		}
		return broken
	}
}
