package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["new-route"] = newRoute }

// newRoute: a store machine is stopped and started, and a configuration adds a batch route, which callers use at once. The store is slow.
func newRoute(scene *scene) (broken string, err error) {
	const newPrefix = "/lohu930/"
	fleet := &fleet{service: "sprachdienst", slots: 8, output: func(string) ([]string, time.Duration) { return jsonEvents(60), 20 * time.Millisecond }}
	if err = scene.setUp(2, 3, 12, fleet, batchConfig("sprachdienst", 8)); err != nil {
		return "", err
	}
	if scene.trouble {
		scene.store.setSlow(240 * time.Millisecond) // 60 times its usual 4 ms
		time.AfterFunc(4500*time.Millisecond, func() {
			scene.record.log("store: no longer slow")
			scene.store.setSlow(0)
		})
		scene.record.log("store: slow")
	}
	time.Sleep(500 * time.Millisecond)
	if err = scene.workers[1].restart(); err != nil {
		return "", err
	}
	time.Sleep(150 * time.Millisecond)
	config := batchConfig("sprachdienst", 8)
	config["version"] = 5
	config["routes"] = append(config["routes"].([]any), batchRoute("hof-brief", newPrefix, "sprachdienst"))
	scene.store.put("op/config", config)
	scene.record.log("operator: version 5 adds a batch route")
	jobs, group, mutex := map[string][]string{}, sync.WaitGroup{}, sync.Mutex{}
	for number := range 40 {
		id := fmt.Sprintf("%08x52d6a3f8", 0x30000000+0x01010101*number)
		items := itemIDs(id, 3)
		group.Go(func() {
			if scene.callers.submit(newPrefix, id, items) {
				mutex.Lock()
				defer mutex.Unlock()
				jobs[id] = items
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	scene.record.log("the traffic ends, %d batch jobs were accepted", len(jobs))
	if len(jobs) < 20 {
		return "", fmt.Errorf("%w: only %d batch jobs were accepted", errSetup, len(jobs))
	}
	time.Sleep(finish)
	scene.logRuns()
	// No item fails at an engine, no batch job is ended and no route is removed, and max_queue_s has not passed.
	dead := 0
	for id := range jobs {
		results, _, _ := scene.callers.read(id)
		for _, result := range results {
			if result.State == "dead" {
				dead++
				scene.record.log("end: item %s of batch job %s is dead", result.ID, id)
			}
		}
	}
	if dead > 0 {
		return fmt.Sprintf("MIXED: %d items are dead that failed at no engine", dead), nil
	}
	return scene.checkJobs(jobs)
}
