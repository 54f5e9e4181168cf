package main

import (
	"fmt"
	"time"
)

func init() { cases["two-services"] = twoServices }

// twoServices: the only engine of a small service is lost for good. Batch jobs of the other service, whose engines are idle, come
// afterwards.
func twoServices(scene *scene) (broken string, err error) {
	const otherPrefix, other = "/lohu930/", "zweitdienst"
	fleet := &fleet{service: "sprachdienst", slots: 8, output: func(string) ([]string, time.Duration) { return jsonEvents(100), 25 * time.Millisecond }}
	config := batchConfig("sprachdienst", 8)
	config["routes"] = append(config["routes"].([]any), batchRoute("hof-brief", otherPrefix, other))
	config["services"] = append(config["services"].([]any), serviceEntry(other, 8))
	if err = scene.setUp(2, 3, 1, fleet, config); err != nil {
		return "", err
	}
	for number := range 11 {
		if err = fleet.add(scene.store, scene.system.address(), fmt.Sprintf("i-%08x", 0x1e8c0010+number), zones[number%len(zones)], other); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	checked := map[string][]string{}
	submit := func(prefix string, first, count, size int) error {
		for number := range count {
			id := fmt.Sprintf("%08x52d6a3f8", first+0x01010101*number)
			items := itemIDs(id, size)
			if !scene.callers.submit(prefix, id, items) {
				return fmt.Errorf("%w: the batch job %s was not accepted", errSetup, id)
			}
			if prefix == otherPrefix {
				checked[id] = items
			}
		}
		return nil
	}
	// Both services work.
	if err = submit(batchPrefix, 0x10000000, 6, 3); err != nil {
		return "", err
	}
	if err = submit(otherPrefix, 0x20000000, 6, 10); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if scene.trouble {
		fleet.engines[0].crash(scene.store)
	}
	time.Sleep(8 * time.Second)
	if err = submit(otherPrefix, 0x30000000, 6, 10); err != nil {
		return "", err
	}
	scene.record.log("the traffic ends")
	time.Sleep(finish)
	scene.logRuns()
	fleet.engines = fleet.engines[1:] // those of the jobs that are checked
	return scene.checkJobs(checked)
}
