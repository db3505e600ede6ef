package main

import (
	"os"
	"testing"
)

// The tests run the relay as a process of its own, this binary under another variable, so that signals and
// restarts are real.
func TestMain(m *testing.M) {
	if os.Getenv("CHERRYTRESTLE_TEST_RELAY") != "" {
		if step := os.Getenv(killVariable); step != "" {
			serveUntilKilled(step)
		} else {
			main()
		}
		return
	}
	os.Exit(m.Run())
}
