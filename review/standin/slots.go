package main

import (
	"fmt"
	"time"
)

func init() { cases["single-slot"] = singleSlot }

// singleSlot: a service has one engine with eight slots and eight with one slot each. The large one is lost for good.
func singleSlot(scene *scene) (broken string, err error) {
	fleet := &fleet{service: "sprachdienst", slots: 8, output: func(string) ([]string, time.Duration) { return jsonEvents(100), 20 * time.Millisecond }}
	if err = scene.setUp(2, 3, 1, fleet, batchConfig("sprachdienst", 1)); err != nil {
		return "", err
	}
	fleet.slots = 1
	for number := range 8 {
		if err = fleet.add(scene.store, scene.system.address(), fmt.Sprintf("i-%08x", 0x1e8c0010+number), zones[number%len(zones)], fleet.service); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	jobs := map[string][]string{}
	submit := func(id string) error {
		jobs[id] = itemIDs(id, 5)
		if !scene.callers.submit(batchPrefix, id, jobs[id]) {
			return fmt.Errorf("%w: the batch job %s was not accepted", errSetup, id)
		}
		return nil
	}
	if err = submit("1c41e09b52d6a3f8"); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if scene.trouble {
		fleet.engines[0].crash(scene.store)
		fleet.engines = fleet.engines[1:]
	}
	time.Sleep(6 * time.Second)
	for number := range 3 {
		if err = submit(fmt.Sprintf("%08x52d6a3f8", 0x21000000*(number+1))); err != nil {
			return "", err
		}
	}
	scene.record.log("the traffic ends")
	time.Sleep(finish)
	scene.logRuns()
	return scene.checkJobs(jobs)
}
