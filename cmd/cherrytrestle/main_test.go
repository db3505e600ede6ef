package main

import (
	"os"
	"testing"
)

// TestMain runs the relay in place of the tests if CHERRYTRESTLE_TEST_RELAY is set. The tests start their own binary
// with that variable, to restart real processes and send them real signals.
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
