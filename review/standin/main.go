// Command standin runs one case of the review: it starts the project's programs with the commands of the deploy file against
// stand-ins of the platform's store, of the engines and of the callers, and checks a rule by what these have seen.
package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// errSetup is the cause of an error after which the case could not run.
var errSetup = errors.New("the case could not run")

// scene is the small deployment of a case.
type scene struct {
	record  *record
	system  *system
	store   *store
	fleet   *fleet
	callers *callers
	fronts  []*machine
	workers []*machine
	trouble bool
}

const (
	batchPrefix = "/pule252/"
	finish      = 18 * time.Second // bound finish_s of the sheet
)

var zones = []string{"halle-thun", "halle-burgdorf", "halle-langnau"}

var cases = map[string]func(*scene) (broken string, err error){}

func main() {
	os.Exit(mainCode())
}

func mainCode() int {
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that is gone must not keep this program from ending the processes
	name := os.Args[1]
	record, err := newRecord(filepath.Join(filepath.Dir(os.Args[2]), "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	scene := &scene{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.log("case %s, trouble: %t", name, scene.trouble)
	done := make(chan int, 1)
	go func() { done <- scene.run(name) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	code := 2
	select {
	case code = <-done:
	case <-signals:
		record.log("stopped by a signal")
	case <-time.After(115 * time.Second):
		record.log("the case took too long")
	}
	if scene.system != nil {
		scene.system.stop()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(scene.system.temp)
		} else {
			fmt.Println(scene.system.temp)
		}
	}
	return code
}

func (scene *scene) run(name string) int {
	body := cases[name]
	if body == nil {
		fmt.Println("no such case")
		return 2
	}
	broken, err := body(scene)
	switch {
	case err != nil:
		scene.record.log("%v", err)
		fmt.Println(err)
		return 2
	case broken != "":
		scene.record.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	scene.record.log("the rule held")
	fmt.Println("the rule held")
	return 0
}

// setUp starts the store, engines, ingresses and workers, and waits until the ingresses are ready.
func (scene *scene) setUp(fronts, workers, engines int, fleet *fleet, config map[string]any) error {
	directory, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[2]), "..", ".."))
	if err != nil {
		return err
	}
	if _, err = os.Stat(filepath.Join(directory, "target", "cowslipway")); err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	prefix, err := freeNet()
	if err != nil {
		return err
	}
	scene.system = &system{record: scene.record, root: directory, temp: temp, net: prefix}
	if scene.store, err = newStore(scene.record, scene.system.address()); err != nil {
		return err
	}
	scene.system.store, scene.fleet = scene.store, fleet
	fleet.record = scene.record
	scene.store.put("op/config", config)
	for number := range engines {
		if err = fleet.add(scene.store, scene.system.address(), fmt.Sprintf("i-%08x", 0x7f3a91c2+number), zones[number%len(zones)], fleet.service); err != nil {
			return err
		}
	}
	for number := range fronts {
		front, err := scene.system.add(fmt.Sprintf("front-%s-%d", zones[number%len(zones)], number/len(zones)+1), "front", zones[number%len(zones)])
		if err != nil {
			return err
		}
		scene.fronts = append(scene.fronts, front)
	}
	for number := range workers {
		worker, err := scene.system.add(fmt.Sprintf("store-%s-%d", zones[number%len(zones)], number/len(zones)+1), "store", zones[number%len(zones)])
		if err != nil {
			return err
		}
		scene.workers = append(scene.workers, worker)
	}
	for _, machine := range scene.system.machines {
		if err = machine.start(); err != nil {
			return err
		}
	}
	scene.callers = &callers{record: scene.record, host: "nony24.example", fronts: scene.fronts}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := len(scene.store.keys("cowslipway/members/")) == fronts+workers
		for _, front := range scene.fronts {
			ready = ready && front.ready()
		}
		if ready {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: the system is not ready", errSetup)
		}
	}
	time.Sleep(3 * time.Second) // traffic starts some seconds after the machines
	scene.record.log("all processes are ready and registered: %v", scene.store.keys("cowslipway/members/"))
	return nil
}

func batchRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "nony24.example", "prefix": prefix, "service": service, "kind": "batch", "timeout_ms": 15000,
		"target_latency_ms": 400, "completion_target_ms": 18000, "max_attempts": 3, "max_queue_s": 60, "priority": 2, "resumable": true, "itl_target_ms": 400, "sticky": true,
	}
}

func serviceEntry(name string, slots int) map[string]any {
	return map[string]any{"name": name, "max_conns": 240, "engine": map[string]any{"slots": slots}}
}

// batchConfig returns a configuration with one batch route.
func batchConfig(service string, slots int) map[string]any {
	return map[string]any{
		"version":  3,
		"routes":   []any{batchRoute("dossier-kurz", batchPrefix, service)},
		"services": []any{serviceEntry(service, slots)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
}

// checkJobs applies the rule LOST to the batch jobs at the end of finish_s: an item that is listed neither as completed nor as dead breaks
// it, if in the last 5 s no engine had an unlisted item of its job and the engines were under half full, and in the last 3 s none of any job
// was finished. The last 5 s are calm in these cases.
func (scene *scene) checkJobs(jobs map[string][]string) (broken string, err error) {
	end := time.Now()
	runs := scene.fleet.snapshot()
	slots := 0
	for _, engine := range scene.fleet.engines {
		slots += engine.slots
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		items := jobs[id]
		results, total, ok := scene.callers.read(id)
		for try := 0; !ok && try < 5; try++ { // again after each failure
			time.Sleep(time.Second)
			results, total, ok = scene.callers.read(id)
		}
		if !ok {
			return fmt.Sprintf("LOST: batch job %s can't be read at the end", id), nil
		}
		listed := map[string]bool{}
		for _, result := range results {
			if listed[result.ID] {
				return fmt.Sprintf("TWICE: %s stands at two positions", result.ID), nil
			}
			listed[result.ID] = true
			if result.State == "completed" && result.Text != scene.fleet.text(result.ID) {
				return fmt.Sprintf("MIXED: the text of %s isn't its whole output", result.ID), nil
			}
		}
		missing, finishedMissing := 0, 0
		unlisted := map[string]bool{}
		for _, item := range items {
			if !listed[item] {
				missing++
				unlisted[item] = true
			}
		}
		excused, busy := "", 0
		finished := map[string]bool{}
		for _, run := range runs {
			running := run.to.IsZero()
			if unlisted[run.id] && run.finished {
				finished[run.id] = true
			}
			switch {
			case running:
				busy++
				fallthrough
			case end.Sub(run.to) < 5*time.Second:
				if unlisted[run.id] {
					excused = "an engine had an unlisted item in the last 5 s"
				}
			}
			if run.finished && end.Sub(run.to) < 3*time.Second {
				excused = "an item was finished in the last 3 s"
			}
		}
		finishedMissing = len(finished)
		if 2*busy >= slots {
			excused = "the engines were half full"
		}
		scene.record.log("end: batch job %s: %d items, total %d, %d listed, %d not listed, of which engines had finished %d; %d requests run; excuse: %q",
			id, len(items), total, len(listed), missing, finishedMissing, busy, excused)
		if missing > 0 && excused == "" && broken == "" {
			broken = fmt.Sprintf("LOST: %d of %d items of batch job %s are not listed %s after the traffic ended; engines had finished %d of them", missing, len(items), id, finish, finishedMissing)
		}
	}
	return broken, nil
}

// logRuns writes what engines ran.
func (scene *scene) logRuns() {
	for _, run := range scene.fleet.snapshot() {
		to := "goes on"
		if !run.to.IsZero() {
			to = fmt.Sprintf("to %.3f", run.to.Sub(scene.record.begun).Seconds())
		}
		scene.record.log("engine %s ran %s after event %d: from %.3f %s, %d events, finished: %t", run.engine, run.id, run.after, run.from.Sub(scene.record.begun).Seconds(), to, run.events, run.finished)
	}
}
