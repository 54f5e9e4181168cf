package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (p *process) terminate() {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.mu.Unlock()
	note("%s gets SIGTERM", p.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		note("%s has ended", p.name)
	case <-time.After(8 * time.Second):
		p.kill("grace_s is over")
	}
}

// The sizes of the case "early". The sheet has 1.03 batch jobs a second, and 6 times as many for 3 s in a burst; the site file has answers of
// the store that take 60 times as long for 4.5 s.
const (
	earlyRounds  = 10
	earlyJobs    = 18
	earlyItems   = 2
	earlySpacing = 165 * time.Millisecond
	earlySlow    = 4500 * time.Millisecond
	earlyCalm    = 5500 * time.Millisecond
)

func init() {
	cases["early"] = func(trouble bool) (broken bool) {
		out := output{status: 200, events: 12, bytes: 75, pause: 10 * time.Millisecond}
		s := newSystem(func(string) output { return out })
		defer s.end()
		for i := range 18 {
			s.fleet.start(s.store, "llm", s.zones[i%3])
		}
		routes := []map[string]any{batchRoute("b0", "/pule252/", 3)}
		s.configure(1, routes...)
		var fronts, stores []*process
		for i := range 3 {
			stores = append(stores, s.add("worker", s.zones[i], 164))
		}
		for i := range 5 {
			fronts = append(fronts, s.add("ingress", s.zones[i%3], 134))
		}
		for _, p := range s.processes {
			p.start()
		}
		for _, p := range fronts {
			await(p.name+" ready", 20*time.Second, p.isReady)
		}
		time.Sleep(4 * time.Second)
		var jobs []*job
		accepted := map[string]time.Time{}
		var mutex sync.Mutex
		var group sync.WaitGroup
		for round := 1; round <= earlyRounds && !broken; round++ {
			jobs = nil
			slowUntil := time.Now().Add(earlySlow)
			if trouble {
				s.store.answer.Store(int64(60 * answerMS * time.Millisecond))
				note("the store's answers take 60 times as long")
			}
			stores[0].terminate()
			stores[0].start()
			time.Sleep(250 * time.Millisecond)
			prefix := fmt.Sprintf("/new%d/", round)
			routes = append(routes, batchRoute(fmt.Sprintf("b%d", round), prefix, 3))
			s.configure(1+round, routes...)
			for i := range earlyJobs {
				j := &job{ID: randomHex(8), Prefix: prefix}
				for range earlyItems {
					j.Items = append(j.Items, newItem(prefix, 700, 12))
				}
				group.Go(func() {
					if j.submit(fronts[i%5], 4*time.Second) == http.StatusAccepted {
						mutex.Lock()
						defer mutex.Unlock()
						jobs, accepted[j.ID] = append(jobs, j), time.Now()
					}
				})
				time.Sleep(earlySpacing)
			}
			time.Sleep(time.Until(slowUntil))
			if trouble {
				s.store.answer.Store(int64(answerMS * time.Millisecond))
				note("the store answers as usual")
			}
			group.Wait()
			time.Sleep(earlyCalm)
			ran := map[string]int{}
			for _, r := range s.fleet.all() {
				ran[r.ID]++
			}
			deadline := time.Now().Add(5 * time.Second)
			for _, j := range jobs {
				results := j.readAll(fronts[0], deadline)
				completed := 0
				for position, r := range results {
					if r.State == "completed" && r.Text == whole(r.ID, out) {
						completed++
					}
					if r.State == "dead" {
						note("MIXED: job %s (accepted at %.3f s) lists item %s at position %d as dead; it ran %d times, its route is in force", j.ID, accepted[j.ID].Sub(began).Seconds(), r.ID, position, ran[r.ID])
						broken = true
					}
				}
				note("job %s: %d results of %d items, %d completed and whole", j.ID, len(results), len(j.Items), completed)
			}
			note("round %d: %d jobs accepted", round, len(jobs))
		}
		return broken
	}
}
