package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runArgs runs a command line and returns its status and all that it prints.
func runArgs(t *testing.T, args ...string) (status int, out string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status = run(t.Context(), args, &stdout, &stderr)
	return status, stdout.String() + stderr.String()
}

const testPlan = `name = "x"
scenario = "first-run"
seeds = 3
[[factor]]
path = "settings.slots"
values = [5, 40]
`

// TestCommands runs command lines in sequence. Some of them read files that earlier ones wrote.
func TestCommands(t *testing.T) {
	t.Chdir(t.TempDir())
	plan := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(plan, []byte(testPlan), 0o600); err != nil {
		t.Fatal(err)
	}
	results := strings.TrimSuffix(plan, "toml") + "jsonl"
	const (
		power       = "power --no-check --seeds 1"
		manyRelays  = "faults restarts --judged --relays 400 --rate 4000 --length 20s"
		compareSlot = " --factor settings.slots --a 5 --b 40"
	)
	for _, c := range []struct {
		args   string
		status int
		want   string // part of the output
	}{
		{"run first-run", exitHeld, "6 held"},
		{"run first-run --out report", exitHeld, "report.html"},
		{"run half-draining --mutant drains-ignored", exitViolated, "BROKEN"},
		{"run quiet-day --mutant none-such", exitFailed, "no mutant"},
		{"run nowhere", exitFailed, "neither shipped"},
		{"experiment -q " + plan, exitHeld, "settings.slots=40"},
		{"experiment -q " + plan, exitHeld, "settings.slots=5 "},
		{"compare " + results + compareSlot, exitHeld, "of 3 pairs"},
		{"compare " + results, exitFailed, "give two files"},
		{"compare " + results + " " + results, exitHeld, "no difference seen"},
		{"report " + results, exitHeld, "page:"},
		{"check --world repeats --depth 5", exitHeld, "all rules held"},
		{"check --world repeats --depth 8 --mutant any-zone", exitViolated, "written to counterexample.json"},
		{"check --replay counterexample.json", exitViolated, "BROKEN"},
		{"check --world nowhere", exitFailed, "no model"},
		{"check --list", exitHeld, "return-many"},
		{"hunt -q quiet-day --plans 3 --mutant drains-ignored", exitViolated, "written to hunted.toml"},
		{"run hunted.toml --mutant drains-ignored", exitViolated, "BROKEN"},
		{power + " --scenarios half-draining --mutants drains-ignored,news-3s-late", exitHeld, "0 wrong verdicts"},
		{power + " --scenarios quiet-day --mutants drains-ignored", exitViolated, "NOT CONVICTED"},
		{"scale --relays 1,3 --destinations 5 --rate 20 --length 5s", exitHeld, "service"},
		{"scale --worlds 3x10,2x3000 --rate 20 --length 5s", exitHeld, "B/pair"},
		{"scale --worlds 3", exitFailed, "RELAYSxDESTINATIONS"},
		{"scale --worlds 1x600000", exitFailed, "1200000 endpoints, 1000000 at most"},
		{"scale --worlds 5001x10", exitFailed, "relays must be 1 to 5000"},
		{"faults changes", exitHeld, "60 list changes, of which 0 did not reach all relays"},
		{"faults changes --mutant drains-ignored", exitViolated, "received that it drains or is removed: "},
		{"faults outages --relays 4,40", exitHeld, "overloads during warm-up: 0"},
		{"faults outages --mutant budget-for-itself", exitViolated, "overloads during warm-up: "},
		{"faults zone --judged", exitHeld, "3 relays terminated or killed"},
		{"faults zone --judged --mutant restart-forgets-sends", exitViolated, "no effect happens twice: BROKEN"},
		{"faults restarts --judged", exitHeld, "2 relays terminated or killed"},
		{manyRelays, exitHeld, "20 relays terminated or killed"},
		{manyRelays + " --mutant journal-not-restored", exitViolated, "no message is lost: BROKEN"},
		{"--help", exitHeld, "experiment"},
	} {
		t.Run(strings.ReplaceAll(c.args, filepath.Dir(plan), "DIR"), func(t *testing.T) {
			status, out := runArgs(t, strings.Fields(c.args)...)
			if status != c.status || !strings.Contains(out, c.want) {
				t.Errorf("status %d, want %d and %q:\n%s", status, c.status, c.want, out)
			}
		})
	}
}
