package main

import (
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["hostport"] = func(trouble bool) (broken bool) {
		return playPlainJobs(func(front *process, j *job) {
			if trouble {
				_, port, _ := strings.Cut(front.front, ":")
				j.Host = "batch.example:" + port
			}
		})
	}
	cases["itempath"] = func(trouble bool) (broken bool) {
		return playPlainJobs(func(_ *process, j *job) {
			for i := range j.Items {
				if trouble { // below the prefix of no route, and of one that leads to another service
					j.Items[i].Path = []string{"/completions/", "/lohu930/"}[i%2] + randomHex(2)
				}
			}
		})
	}
}

// playPlainJobs sends three batch jobs on a calm day, the second one changed, and reports whether items are listed as dead that no engine
// was asked to run.
func playPlainJobs(change func(front *process, j *job)) (broken bool) {
	out := output{status: 200, events: 20, bytes: 75, pause: 4 * time.Millisecond}
	s := newSystem(func(string) output { return out })
	defer s.end()
	for i := range 3 {
		s.fleet.start(s.store, "llm", s.zones[i])
	}
	for i := range 2 {
		s.fleet.start(s.store, "chat", s.zones[i])
	}
	online := streamRoute("a", "/lohu930/")
	online["host"], online["service"] = "batch.example", "chat"
	s.configure(1, batchRoute("b", "/pule252/", 3), online)
	front := s.add("ingress", "z1", 134)
	for _, zone := range s.zones {
		s.add("worker", zone, 164)
	}
	for _, p := range s.processes {
		p.start()
	}
	await("front ready", 20*time.Second, front.isReady)
	seen := map[string]bool{}
	for i := range 3 {
		j := &job{ID: randomHex(8), Prefix: "/pule252/"}
		for range 10 {
			j.Items = append(j.Items, newItem(j.Prefix, 700, 20))
		}
		if i == 1 {
			change(front, j)
		}
		if j.submit(front, 4*time.Second) != http.StatusAccepted {
			continue
		}
		results := j.readAll(front, time.Now().Add(8*time.Second))
		ran := map[string]int{}
		for _, r := range s.fleet.all() {
			ran[r.ID]++
			if r.Of != "llm" && !seen[r.ID] {
				note("ROUTE: item %s runs at an engine of %q (%s); the service of its job's route is \"llm\"", r.ID, r.Of, r.Path)
				seen[r.ID], broken = true, true
			}
		}
		states := map[string]int{}
		for _, r := range results {
			states[r.State]++
			if r.State == "dead" {
				note("MIXED: item %s is dead; it ran %d times, no engine answered 422 or 500, its route is in force", r.ID, ran[r.ID])
				broken = true
			}
		}
		note("job %s with Host %q, first item's path %q: %v", j.ID, j.Host, j.Items[0].Path, states)
	}
	return broken
}
