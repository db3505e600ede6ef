package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

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
	runtime.LockOSThread() // the relays get SIGKILL if the thread that started them ends
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer os.RemoveAll(dir)
	w := newWorld(file, dir)
	found, err := cases[name](w, trouble)
	w.stopAll()
	if logs, err := os.ReadFile(dir + "/n1.log"); err == nil {
		fmt.Fprintf(file, "\nthe relay's log:\n%s\n", logs[:min(len(logs), 64<<10)])
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
