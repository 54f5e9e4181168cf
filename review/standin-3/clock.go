package main

import (
	"fmt"
	"sync"
	"time"
)

// clockStreams is the number of streams that clients send within 150 ms.
const clockStreams = 60

// versionsClock: engines come back under their IDs with new software, and go down once more soon after. With trouble, the clocks of these
// engines are 2 s ahead. Streams that the new software began must not go on at the former one.
func versionsClock(s *system, trouble bool) (ruleBroken bool, err error) {
	s.store.write("op/config", configuration(1))
	var engines []*engine
	for number := range engineCount {
		e, err := newEngine(s.store, s.record, fmt.Sprintf("i-%08x", 0x7f3a91c0+number), "huvo11a", "rosenheim-a", "v1")
		if err != nil {
			return false, err
		}
		e.pace = 60 * time.Millisecond
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
	streams, mixed, brokenOff, number := 0, 0, 0, 0
	for _, e := range engines[:3] { // a share of .3 of the engines
		s.record.line("engine %s, which is idle, goes down", e.id)
		e.crash()
		time.Sleep(300 * time.Millisecond)
		if trouble {
			s.record.line("the clock of %s is 2,000 ms ahead", e.id)
			e.ahead = 2 * time.Second
		}
		if err = e.start("v2"); err != nil {
			return false, err
		}
		for range clockStreams { // within 150 ms
			number++
			id, front := fmt.Sprintf("dd%04x", number), s.processes[number%2]
			group.Go(func() {
				s.record.line("client sends %s to %s", id, front.name)
				a := stream(front.listen, host, path, id, nil, 5*time.Second)
				s.record.line("client has %s: status %d, %d events, versions [%s], complete %t, %v", id, a.status, len(a.events), joined(a.versions), a.complete, a.err)
				mutex.Lock()
				defer mutex.Unlock()
				streams++
				if a.status == 200 && !a.complete {
					brokenOff++
				}
				if len(a.versions) > 1 {
					mixed++
				}
			})
			time.Sleep(150 * time.Millisecond / clockStreams)
		}
		time.Sleep(850 * time.Millisecond)
		e.crash()
		e.ahead = 0 // its clock is right again
		time.Sleep(200 * time.Millisecond)
		if err = e.start("v2"); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	group.Wait()
	s.record.line("%d streams, %d broken off, %d with events of two software versions; more than two break the rule", streams, brokenOff, mixed)
	return mixed > 2, nil
}
