package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// timeLimit is how long a case may run. Then it ends, and counts as one that could not run.
const timeLimit = 115 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(w *world, trouble bool) (broken []string, err error){}

func main() {
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *out, os.Getenv("TROUBLE") != "0"))
}

func play(name, out string, trouble bool) int {
	file, err := os.Create(out)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer file.Close()
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that goes away ends nothing
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	runtime.LockOSThread() // the relays get SIGKILL if the thread that started them ends
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer os.RemoveAll(dir)
	w := newWorld(file, dir)
	go func() { // told to end, or too long: everything that was started ends with the case
		select {
		case got := <-ends:
			fmt.Println("could not run:", got)
		case <-time.After(timeLimit):
			fmt.Println("could not run: over the time limit")
		}
		w.stopAll()
		_ = os.RemoveAll(dir)
		os.Exit(failed)
	}()
	found, err := cases[name](w, trouble)
	w.stopAll()
	if logs, err := os.ReadFile(dir + "/n1.log"); err == nil {
		text := strings.ReplaceAll(string(logs), dir, "DIR") // the temporary folder
		fmt.Fprintf(file, "\nthe relay's log:\n%s\n", text[:min(len(text), 64<<10)])
	}
	if err != nil {
		w.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	}
	for _, text := range found {
		w.add("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(found) > 0 {
		return broken
	}
	w.add("held")
	fmt.Println("held")
	return held
}

func mkdir(path string) error { return os.MkdirAll(path, 0o700) }
