// Command standin-3 runs the scripted cases of the third review: stand-ins of the platform's store, of engines and of clients in this
// process, and the project's programs as processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// scenario runs one case. It returns whether the rule was broken, or an error if the case could not run.
type scenario func(s *system, trouble bool) (ruleBroken bool, err error)

var scenarios = map[string]scenario{"versions": versionsMixed, "rollback": versionsRolledBack, "clock": versionsClock, "memory": memoryGrows}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		return cannotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		return cannotRun
	}
	if _, err = os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(directory)
	} else {
		fmt.Println(directory)
	}
	rec := &record{file: file, from: time.Now()}
	kv, err := startStore()
	if err != nil {
		return cannotRun
	}
	s := &system{program: program, directory: directory, store: kv, record: rec}
	defer s.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %t", os.Args[1], trouble)
	ruleBroken, err := scenarios[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case ruleBroken:
		rec.line("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return held
}
