package main

import (
	"flag"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenHelp pins the help of each command: its flags, their defaults and the names of environment variables.
func TestGoldenHelp(t *testing.T) {
	golden.CheckHelp(t, *update, "rehearse", []string{"", "run", "soak", "list", "report", "plan"}, run)
}
