package experiment

import (
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

func parsePlan(t testing.TB, text string) Plan {
	t.Helper()
	p, err := Parse("test", []byte(text), scenario.Load)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestHash checks that equal files have equal hashes, and that a different file has a different one.
func TestHash(t *testing.T) {
	a, b := parsePlan(t, smallPlan).Hash(), parsePlan(t, smallPlan).Hash()
	if other := parsePlan(t, smallPlan+"\n").Hash(); a != b || a == other {
		t.Errorf("two equal plans have the hashes %s and %s, a different plan has %s", a, b, other)
	}
}

// header is the valid beginning of a plan's file.
const header = "name = \"x\"\nscenario = \"first-run\"\n"

// TestParseErrors parses invalid files, and checks that Parse reports all errors, with their lines.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"unknown key", "nome = 1", []string{"nome"}},
		{"several", "seeds = -1", []string{"name is not set", "seeds must be above 0", "scenario is not set"}},
		{"unknown scenario", "name = \"x\"\nscenario = \"nowhere\"", []string{"nowhere"}},
		{
			"factors",
			header + `[[factor]]
path = "relays"
values = []
[[factor]]
path = "relays"
values = [1, 1]`,
			[]string{
				"line 3: factor 1 (relays) has no values",
				"line 7: factor 2: an earlier factor has the path relays",
				"line 8: factor 2 (relays): the value 1 is given twice",
			},
		},
		{
			"overrides",
			header + `[set]
"settings.slots" = "many"
"settings.tick" = 5
"traffic.9.rate" = 1
"emulator.mutant" = "none-such"
"module.colour" = 1
`,
			[]string{
				"line 4: settings.slots = many: must be an integer",
				"line 5: settings.tick = 5: must be a duration",
				"line 6: traffic.9.rate = 1",
				"line 7: emulator.mutant = none-such",
				"line 8: module.colour = 1",
			},
		},
		{"relays", header + "[[factor]]\npath = \"relays\"\nvalues = [0]", []string{"relays must be"}},
		{"list entry", header + "[set]\n\"traffic.9.rate\" = 1", []string{`list entry "9" must be a number from 1 to`}},
		{"mutant", header + "[set]\n\"emulator.mutant\" = \"none\"", []string{"no such mutant"}},
		{
			"beyond",
			header + "[set]\n\"emulator.beyond\" = \"reset\"",
			[]string{"emulator.beyond", "refused", "closed", "unanswered"},
		},
		{"runs", header + "seeds = 1000000", []string{"more than 100000 runs"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("test", []byte(c.text), scenario.Load)
			for _, want := range c.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("%v, want %q", err, want)
				}
			}
		})
	}
}
