package main

import (
	"os"
	"testing"
)

// TestMain runs the relay in place of the tests if an environment variable is set. The tests start this binary with
// that variable, so that they restart real processes and send real signals.
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
