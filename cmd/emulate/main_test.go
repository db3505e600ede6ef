package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
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
		{"scale --worlds 3x10,2x3000 --rate 20 --length 5s", exitHeld, "B/pair"},
		{"scale --worlds 3", exitFailed, "RELAYSxDESTINATIONS"},
		{"scale --worlds 1x600000", exitFailed, "1200000 endpoints, 1000000 at most"},
		{"scale --worlds 5001x10", exitFailed, "relays must be 1 to 5000"},
		{"faults changes", exitHeld, "60 changes; 0 that some relay does not have"},
		{"faults changes --mutant drains-ignored", exitBroken, "takes nothing new: "},
		{"faults outages --relays 4,40", exitHeld, "pushed over: 0"},
		{"faults outages --mutant budget-for-itself", exitBroken, "pushed over: "},
		{"faults zone --judged", exitHeld, "3 relays ended"},
		{"faults zone --judged --mutant restart-forgets-sends", exitBroken, "no effect happens twice: BROKEN"},
		{"faults restarts --judged", exitHeld, "2 relays ended"},
		{"faults restarts --judged --relays 400 --rate 4000 --length 20s", exitHeld, "20 relays ended"},
		{"faults restarts --judged --relays 400 --rate 4000 --length 20s --mutant journal-not-restored", exitBroken, "no message is lost: BROKEN"},
		{"--help", exitHeld, "experiment"},
	} {
		if status, out := do(t, strings.Fields(c.args)...); status != c.status || !strings.Contains(out, c.says) {
			t.Errorf("emulate %s: status %d, want %d and %q:\n%s", c.args, status, c.status, c.says, out)
		}
	}
}

// A change of the list that one relay of forty does not hear within the world's time is told.
func TestAChangeThatOneRelayDoesNotHave(t *testing.T) {
	var out bytes.Buffer
	c := faultsCommand{Fault: "changes", Destinations: 2500, Count: 60, Rate: 20, Length: 30 * time.Second, Seed: 1}
	held, err := c.play(&cli.Streams{Out: &out}, 40, func(o *emulate.Options) {
		o.ListDelay = func(relay int) time.Duration {
			if relay == 7 {
				return time.Hour
			}
			return time.Second
		}
	})
	if err != nil || held || !strings.Contains(out.String(), "60 that some relay does not have") {
		t.Errorf("held %v, %v:\n%s", held, err, out.String())
	}
}
