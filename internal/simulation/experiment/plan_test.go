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

// TestHash is that an experiment keeps its hash, and that another text has another one.
func TestHash(t *testing.T) {
	a, b := parsePlan(t, smallPlan).Hash(), parsePlan(t, smallPlan).Hash()
	if other := parsePlan(t, smallPlan+"\n").Hash(); a != b || a == other {
		t.Errorf("a plan's hash is %s, and then %s; another one's is %s", a, b, other)
	}
}

// header begins a file that is right so far.
const header = "name = \"x\"\nscenario = \"first-run\"\n"

// TestParseErrors parses files with errors: all are reported at once, with their lines.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"unknown key", "nome = 1", []string{"nome"}},
		{"several", "seeds = -1", []string{"no name", "seeds must be above 0", "no scenario"}},
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
				"line 7: factor 2: relays is a factor already",
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
				"line 4: settings.slots = many: a whole number",
				"line 5: settings.tick = 5: a duration",
				"line 6: traffic.9.rate = 1",
				"line 7: emulator.mutant = none-such",
				"line 8: module.colour = 1",
			},
		},
		{"relays", header + "[[factor]]\npath = \"relays\"\nvalues = [0]", []string{"relays must be"}},
		{"list entry", header + "[set]\n\"traffic.9.rate\" = 1", []string{"none of 1 to"}},
		{"mutant", header + "[set]\n\"emulator.mutant\" = \"none\"", []string{"no such mutant"}},
		{
			"beyond",
			header + "[set]\n\"emulator.beyond\" = \"reset\"",
			[]string{"emulator.beyond", "refused", "closed", "unanswered"},
		},
		{"runs", header + "seeds = 1000000", []string{"more than"}},
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
