package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { cases["store-outage"] = storeOutage }

// storeOutage: the store is down for 4.5 s while the items of a batch job finish.
func storeOutage(scene *scene) (broken string, err error) {
	const items = 120
	fleet := &fleet{service: "sprachdienst", slots: 8, output: func(id string) ([]string, time.Duration) {
		number, _ := strconv.ParseInt(id[8:], 16, 64)
		return chunkEvents(98 + int(number*73%197)), 25 * time.Millisecond // 196 events, half as many more or less
	}}
	if err = scene.setUp(2, 3, 12, fleet, batchConfig("sprachdienst", 8)); err != nil {
		return "", err
	}
	jobs := map[string][]string{}
	submit := func(id string, count int) error {
		jobs[id] = itemIDs(id, count)
		if !scene.callers.submit(batchPrefix, id, jobs[id]) {
			return fmt.Errorf("%w: the batch job %s was not accepted", errSetup, id)
		}
		return nil
	}
	if err = submit("7c41e09b52d6a3f8", items); err != nil {
		return "", err
	}
	ended := time.Now()
	scene.record.log("the traffic ends")
	time.Sleep(2600 * time.Millisecond) // the first items are about to finish
	if scene.trouble {
		scene.record.log("store: down")
		scene.store.setDown(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if scene.trouble {
		scene.store.setDown(false)
		scene.record.log("store: up again")
	}
	time.Sleep(time.Until(ended.Add(finish)))
	scene.logRuns()
	return scene.checkJobs(jobs)
}
