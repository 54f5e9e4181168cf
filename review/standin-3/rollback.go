package main

import (
	"fmt"
	"sync"
	"time"
)

// burstStreams is the number of streams that clients send within 150 ms.
const burstStreams = 30

// versionsRolledBack: engines are upgraded in place, one after the other; the new software ends soon after its start, and each engine is
// rolled back. Streams that the new software began must not go on at the former one when their clients take them up again.
func versionsRolledBack(s *system, trouble bool) (ruleBroken bool, err error) {
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
	streams, mixed, tookUp := 0, 0, 0
	// client sends one stream, and takes it up again once, at the other daemon, 1.5 s after its channel broke.
	client := func(id string, number int) {
		front, other := s.processes[number%2], s.processes[(number+1)%2]
		s.record.line("client sends %s to %s", id, front.name)
		first := stream(front.listen, host, path, id, nil, 5*time.Second)
		s.record.line("client has %s: status %d, %d events, versions [%s], complete %t, %v", id, first.status, len(first.events), joined(first.versions), first.complete, first.err)
		versions := first.versions
		again := false
		if first.status == 200 && !first.complete && len(first.events) > 0 {
			again = true
			time.Sleep(1500 * time.Millisecond)
			last := first.events[len(first.events)-1]
			s.record.line("client takes %s up again as %sr at %s after event %s", id, id, other.name, last)
			second := stream(other.listen, host, path, id+"r", map[string]string{"Resumes": id, "Last-Event-Id": last, "Cowslipway-Deadline-Ms": "2500"}, 2500*time.Millisecond)
			s.record.line("client has %sr: status %d, %d events, versions [%s], complete %t, %v %s", id, second.status, len(second.events), joined(second.versions), second.complete, second.err, second.body)
			versions = append(versions, second.versions...)
		}
		mutex.Lock()
		defer mutex.Unlock()
		streams++
		if again {
			tookUp++
		}
		for _, version := range versions {
			if version != versions[0] {
				mixed++
				s.record.line("%s holds events of two software versions", id)
				break
			}
		}
	}
	number := 0
	burst := func(count int) { // within 150 ms
		for range count {
			number++
			group.Go(func() { client(fmt.Sprintf("cc%04x", number), number) })
			time.Sleep(150 * time.Millisecond / time.Duration(count))
		}
	}
	for _, e := range engines[:8] {
		if !trouble {
			burst(burstStreams)
			time.Sleep(5 * time.Second)
			continue
		}
		s.record.line("engine %s, which is idle, is upgraded in place", e.id)
		e.crash()
		time.Sleep(300 * time.Millisecond)
		if err = e.start("v2"); err != nil {
			return false, err
		}
		burst(burstStreams)
		time.Sleep(550 * time.Millisecond)
		e.crash()
		time.Sleep(200 * time.Millisecond)
		if err = e.start("v1"); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	group.Wait()
	s.record.line("%d streams, %d taken up again, %d with events of two software versions; more than two break the rule", streams, tookUp, mixed)
	return mixed > 2, nil
}
