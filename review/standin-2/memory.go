package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The sizes of the case "memory". The sheet has 1.03 batch jobs a second, 174 events out, 350 tokens in; an item's event has 75 bytes in the
// site file, and a job has at most 200 items.
const (
	memoryJobs    = 25
	memoryItems   = 200
	memoryEvents  = 174
	memoryBytes   = 75
	memoryBody    = 700
	frontMemoryMB = 134
	storeMemoryMB = 164
	restartDelay  = 500 * time.Millisecond
	recoverTime   = 12 * time.Second
	finishTime    = 18 * time.Second
)

// limiter plays the platform that kills a process which uses more memory than it may, and starts it again.
type limiter struct {
	kills map[*process]*atomic.Int64
	most  map[*process]*atomic.Int64 // MB
	stop  chan struct{}
	group sync.WaitGroup
}

func limitMemory(limits map[*process]int) *limiter {
	l := &limiter{kills: map[*process]*atomic.Int64{}, most: map[*process]*atomic.Int64{}, stop: make(chan struct{})}
	for p, limit := range limits {
		kills, most := &atomic.Int64{}, &atomic.Int64{}
		l.kills[p], l.most[p] = kills, most
		l.group.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				used := p.memory()
				most.Store(max(most.Load(), int64(used)))
				if used <= float64(limit) {
					continue
				}
				kills.Add(1)
				note("%s uses %.0f MB, its memory_mb is %d", p.name, used, limit)
				p.kill("memory over its limit")
				time.Sleep(restartDelay)
				p.start()
			}
		})
	}
	return l
}

func (l *limiter) end() {
	close(l.stop)
	l.group.Wait()
}

func init() {
	cases["memory"] = func(trouble bool) (broken bool) {
		out := output{status: 200, events: memoryEvents, bytes: memoryBytes, pause: 4 * time.Millisecond}
		s := newSystem(func(string) output { return out })
		defer s.end()
		for i := range 18 {
			s.fleet.start(s.store, "llm", s.zones[i%3])
		}
		s.configure(1, batchRoute("b", "/pule252/", 3))
		var fronts []*process
		limits := map[*process]int{}
		for i := range 5 {
			fronts = append(fronts, s.add("ingress", s.zones[i%3], frontMemoryMB))
			limits[fronts[i]] = frontMemoryMB
		}
		for i := range 3 {
			limits[s.add("worker", s.zones[i], storeMemoryMB)] = storeMemoryMB
		}
		for _, p := range s.processes {
			p.start()
		}
		platform := limitMemory(limits)
		defer platform.end()
		for _, p := range fronts {
			await(p.name+" ready", 20*time.Second, p.isReady)
		}
		var jobs []*job
		var mutex sync.Mutex
		var group sync.WaitGroup
		for i := range memoryJobs {
			j := &job{ID: randomHex(8), Prefix: "/pule252/"}
			for range memoryItems {
				j.Items = append(j.Items, newItem(j.Prefix, memoryBody, memoryEvents))
			}
			group.Go(func() {
				if j.submit(fronts[i%5], 4*time.Second) == http.StatusAccepted {
					mutex.Lock()
					defer mutex.Unlock()
					jobs = append(jobs, j)
				}
			})
			time.Sleep(time.Second)
		}
		group.Wait()
		read := map[string]int{}
		for _, j := range jobs {
			for _, r := range j.readAll(fronts[0], time.Now().Add(10*time.Second)) {
				if r.State == "completed" && r.Text == whole(r.ID, out) {
					read[j.ID]++
				}
			}
		}
		done := 0
		for _, n := range read {
			done += n
		}
		note("%d jobs accepted; %d results read, each the item's whole output", len(jobs), done)
		if len(jobs) == 0 || done < len(jobs)*memoryItems {
			panic("the jobs were not done before the disruption")
		}
		count, size := s.store.sum("cowslipway/")
		note("the system's own records in the store: %d, %d bytes of values", count, size)
		for _, p := range s.processes {
			note("%s has used at most %d MB, has been killed %d times for its memory", p.name, platform.most[p].Load(), platform.kills[p].Load())
			if platform.kills[p].Load() > 0 {
				panic("memory is over the limit without a disruption")
			}
		}
		s.configure(2, batchRoute("b", "/pule252/", 3))
		if trouble { // the final fault: right after a configuration has been acknowledged, all processes are killed
			for _, p := range s.processes {
				p.kill("all processes at the same moment")
			}
			time.Sleep(restartDelay)
			for _, p := range s.processes {
				p.start()
			}
		}
		time.Sleep(recoverTime)
		// The end of the day: each job is read from the start, at any daemon, again after each failure.
		var lost atomic.Int64
		deadline := time.Now().Add(finishTime)
		for i, j := range jobs {
			group.Go(func() {
				found, status := 0, 0
				for try := i; found < read[j.ID] && time.Now().Before(deadline); try++ {
					var page []result
					if status, _, _, page = j.read(fronts[try%5], found, time.Second); status == http.StatusOK {
						found += len(page)
					} else {
						time.Sleep(200 * time.Millisecond)
					}
				}
				if found < read[j.ID] {
					lost.Add(1)
				}
				note("job %s at the end: %d of %d results that had been read come again, last status %d", j.ID, found, read[j.ID], status)
			})
		}
		group.Wait()
		often := 0
		for _, p := range s.processes {
			note("%s has used at most %d MB, has been killed %d times for its memory", p.name, platform.most[p].Load(), platform.kills[p].Load())
			if platform.kills[p].Load() >= 3 {
				often++
			}
		}
		note("LOST: %d of %d jobs can't be read whole at the end. Fault: %d of %d processes ended three times", lost.Load(), len(jobs), often, len(s.processes))
		return lost.Load() > 0
	}
}
