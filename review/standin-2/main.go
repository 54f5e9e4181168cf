// Command review2 plays the scripted cases of the second review, with stand-ins for the platform's store, the model engines and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(trouble bool) (broken bool){}

func main() {
	play, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(2)
	}
	var err error
	if record, err = os.Create("record.txt"); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	os.Exit(runCase(play))
}

func runCase(play func(bool) bool) (code int) {
	defer func() {
		if cause := recover(); cause != nil {
			note("the case could not run: %v", cause)
			fmt.Println("the case could not run:", cause)
			code = 2
		}
	}()
	watchdog := time.AfterFunc(118*time.Second, func() {
		note("the case could not run: it did not end in time")
		os.Exit(2)
	})
	defer watchdog.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	note("trouble: %v", trouble)
	if play(trouble) {
		note("the rule was broken")
		return 1
	}
	note("the rule held")
	return 0
}
