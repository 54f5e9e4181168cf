package main

import (
	"fmt"
	"time"
)

func init() { cases["engine-leaves"] = engineLeaves }

// engineLeaves: one of twelve engines is emptied and taken away while it runs items, whose answers end with their channel.
func engineLeaves(scene *scene) (broken string, err error) {
	const items = 40
	fleet := &fleet{service: "sprachdienst", slots: 8, unframed: true, output: func(string) ([]string, time.Duration) { return jsonEvents(196), 25 * time.Millisecond }}
	if err = scene.setUp(2, 3, 12, fleet, batchConfig("sprachdienst", 8)); err != nil {
		return "", err
	}
	id := "7c41e09b52d6a3f8"
	jobs := map[string][]string{id: itemIDs(id, items)}
	if !scene.callers.submit(batchPrefix, id, jobs[id]) {
		return "", fmt.Errorf("%w: the batch job was not accepted", errSetup)
	}
	time.Sleep(1500 * time.Millisecond)
	if scene.trouble {
		busiest := fleet.engines[0]
		for _, engine := range fleet.engines {
			if engine.load() > busiest.load() {
				busiest = engine
			}
		}
		busiest.leave(scene.store, 2300*time.Millisecond) // drain_ms is 2,000
	}
	scene.record.log("the traffic ends")
	time.Sleep(finish)
	scene.logRuns()
	return scene.checkJobs(jobs)
}
