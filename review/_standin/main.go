package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*lab) (broken bool, err error){
	"effects": effects,
}

// runLimit ends a run that does not end by itself.
const runLimit = 110 * time.Second

// main plays the case that the first argument names, and writes the record to the file that the second names. The exit
// status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	l, err := newLab(os.Args[2], os.Getenv("TROUBLE"), 1)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	// A reader of the output that has left must not end the case before its relays and its folder are removed.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	status := make(chan int, 1)
	go func() {
		broken, err := cases[os.Args[1]](l)
		switch {
		case err != nil:
			l.say("the case could not run: %v", err)
			status <- 2
		case broken:
			l.say("the rule was broken")
			status <- 1
		default:
			l.say("the rule held")
			status <- 0
		}
	}()
	code := 2
	select {
	case code = <-status:
	case <-interrupted:
	case <-time.After(runLimit):
		l.say("the case did not end in time")
	}
	l.close()
	os.Exit(code)
}
