package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func do(t *testing.T, args ...string) (status int, out string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status = command(t.Context(), args, &stdout, &stderr)
	return status, stdout.String() + stderr.String()
}

func TestCommands(t *testing.T) {
	t.Chdir(t.TempDir())
	plan := filepath.Join(t.TempDir(), "plan.toml")
	text := "name = \"x\"\nscenario = \"first-run\"\nseeds = 3\n[[factor]]\npath = \"settings.slots\"\nvalues = [5, 40]\n"
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	results := strings.TrimSuffix(plan, "toml") + "jsonl"
	for _, c := range []struct {
		args   string
		status int
		says   string
	}{
		{"run first-run", exitHeld, "6 held"},
		{"run first-run --out report", exitHeld, "report.html"},
		{"run half-draining --mutant drains-ignored", exitBroken, "BROKEN"},
		{"run quiet-day --mutant none-such", exitFailed, "no mutant"},
		{"run nowhere", exitFailed, "neither shipped"},
		{"experiment -q " + plan, exitHeld, "settings.slots=40"},
		{"experiment -q " + plan, exitHeld, "settings.slots=5 "},
		{"compare " + results + " --factor settings.slots --a 5 --b 40", exitHeld, "of 3 pairs"},
		{"compare " + results, exitFailed, "give two files"},
		{"compare " + results + " " + results, exitHeld, "no difference seen"},
		{"report " + results, exitHeld, "page:"},
		{"check --world repeats --depth 5", exitHeld, "all rules held"},
		{"check --world repeats --depth 8 --mutant any-zone", exitBroken, "kept in counterexample.json"},
		{"check --replay counterexample.json", exitBroken, "BROKEN"},
		{"check --world nowhere", exitFailed, "no world"},
		{"check --list", exitHeld, "return-many"},
		{"hunt -q quiet-day --plans 3 --mutant drains-ignored", exitBroken, "kept in hunted.toml"},
		{"run hunted.toml --mutant drains-ignored", exitBroken, "BROKEN"},
		{"power --no-check --seeds 1 --scenarios half-draining --mutants drains-ignored,news-3s-late", exitHeld, "0 wrong verdicts"},
		{"power --no-check --seeds 1 --scenarios quiet-day --mutants drains-ignored", exitBroken, "NOT CONVICTED"},
		{"scale --relays 1,3 --destinations 5 --rate 20 --length 5s", exitHeld, "service"},
		{"--help", exitHeld, "experiment"},
	} {
		if status, out := do(t, strings.Fields(c.args)...); status != c.status || !strings.Contains(out, c.says) {
			t.Errorf("emulate %s: status %d, want %d and %q:\n%s", c.args, status, c.status, c.says, out)
		}
	}
}
