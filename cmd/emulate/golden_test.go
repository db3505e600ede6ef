package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
	"cherrytrestle.example/cherrytrestle/internal/testkit/report"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestGoldenHelp pins the help of each command: its flags, their defaults and the names of environment variables.
func TestGoldenHelp(t *testing.T) {
	names := []string{"", "run", "experiment", "compare", "report", "hunt", "check", "power", "scale", "faults"}
	golden.CheckHelp(t, *update, "emulate", names, run)
}

// wallTime is how long a run took on this machine.
var wallTime = regexp.MustCompile(`(?m)^played in [^:]*:`)

// TestGoldenRuns pins the figures of eight runs: the text, and the verdict with every digit.
func TestGoldenRuns(t *testing.T) {
	for _, c := range []struct {
		name, scenario, seed string
	}{
		{"first-run", "first-run", "0"},
		{"quiet-day", "quiet-day", "7"},
		{"metastable", "metastable", "2"},
		{"customer-flood", "customer-flood", "11"},
		{"rolling-restarts", "rolling-restarts", "4"},
		{"fleet-restarts", "fleet-restarts", "3"},
		{"fleet-links", "fleet-links", "5"},
		{"many-relays", filepath.Join("testdata", "many-relays.toml"), "6"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			status, out := runArgs(t, "run", c.scenario, "--seed", c.seed, "--out", dir)
			verdict, err := os.ReadFile(filepath.Join(dir, report.JSONName))
			if err != nil {
				t.Fatal(err)
			}
			out = wallTime.ReplaceAllString(out, "played:")
			out = strings.ReplaceAll(out, dir, "DIR")
			golden.Compare(t, *update, "run-"+c.name+".txt", fmt.Sprintf("%sstatus: %d\n%s", out, status, verdict))
		})
	}
}
