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

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenHelp compares the help of each command with a golden file: its texts, its flags and their defaults.
func TestGoldenHelp(t *testing.T) {
	names := []string{"", "run", "experiment", "compare", "report", "hunt", "check", "power", "scale", "faults"}
	golden.CheckHelp(t, *update, "emulate", names, run)
}

// wallTime matches the real time that a run took, which differs between runs.
var wallTime = regexp.MustCompile(`(?m)^played in [^:]*:`)

// TestGoldenRuns compares eight runs with golden files: the printed summary, and the JSON report with all digits.
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
