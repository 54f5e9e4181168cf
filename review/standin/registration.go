package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["late-registration"] = lateRegistration }

// lateRegistration: the workers are stopped and started in turn, one at a time. Each time the store loses the answer to a write, which
// is done late.
func lateRegistration(scene *scene) (broken string, err error) {
	fleet := &fleet{service: "sprachdienst", slots: 8, output: func(string) ([]string, time.Duration) { return jsonEvents(60), 20 * time.Millisecond }}
	if err = scene.setUp(2, 3, 6, fleet, batchConfig("sprachdienst", 8)); err != nil {
		return "", err
	}
	jobs := map[string][]string{}
	submit := func(id string) error {
		jobs[id] = itemIDs(id, 10)
		if !scene.callers.submit(batchPrefix, id, jobs[id]) {
			return fmt.Errorf("%w: the batch job %s was not accepted", errSetup, id)
		}
		return nil
	}
	if err = submit("1c41e09b52d6a3f8"); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	for _, worker := range scene.workers {
		if scene.trouble {
			scene.loseRegistration(worker)
		}
		begun := time.Now()
		if err = worker.restart(); err != nil {
			return "", err
		}
		time.Sleep(4500*time.Millisecond - time.Since(begun))
		if scene.trouble {
			writes, lost := scene.store.countWrites()
			scene.record.log("store: answers again; %d of %d writing calls were not answered", lost, writes)
			scene.store.setLoseLate(nil)
		}
		time.Sleep(3 * time.Second) // the machine is back, and one at a time is stopped
	}
	scene.record.log("members after the restarts: %v", scene.store.keys("cowslipway/members/"))
	for number := range 3 {
		if err = submit(fmt.Sprintf("%08x52d6a3f8", 0x21000000*(number+1))); err != nil {
			return "", err
		}
	}
	scene.record.log("the traffic ends")
	time.Sleep(finish)
	scene.logRuns()
	scene.record.log("members at the end: %v", scene.store.keys("cowslipway/members/"))
	return scene.checkJobs(jobs)
}

// loseRegistration makes the store lose the answer to the first write of the record of a worker that starts. It is done 2 s later.
func (scene *scene) loseRegistration(worker *machine) {
	scene.record.log("store: loses an answer to a write")
	seen := false
	scene.store.setLoseLate(func(_ string, request txn) (time.Duration, bool) {
		if seen || len(request.Puts) != 1 || request.Puts[0].Key != "cowslipway/members/"+worker.name || strings.Contains(string(request.Puts[0].Value), `"leaving":true`) {
			return 0, false
		}
		seen = true
		scene.record.log("store: the answer to a write of %s is lost, it will be done in 2 s", request.Puts[0].Key)
		return 2 * time.Second, true
	})
}
