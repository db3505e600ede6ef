package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const small = `
name = "small"
scenario = "first-run"
seeds = 4
judged = true
[set]
"class.1.window" = "8s"
[[factor]]
path = "relays"
values = [1, 2]
[[factor]]
path = "settings.slots"
values = [10, 40]
`

func parsed(t testing.TB, text string) Plan {
	t.Helper()
	p, err := Parse("test", []byte(text), scenario.Load)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Runs are the same on any number of workers, and an experiment that was cut off, also in mid-line, goes on to the same
// end.
func TestCutOffAndResumed(t *testing.T) {
	p := parsed(t, small)
	var whole bytes.Buffer
	if n, err := p.Do(t.Context(), &whole, "r", nil, 3, nil); n != 16 || err != nil {
		t.Fatalf("%d runs, %v", n, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var part bytes.Buffer
	n, err := p.Do(ctx, &part, "r", nil, 1, func(done, of int, _ Result) {
		if done == 5 {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) || n < 5 || n > 6 {
		t.Fatalf("%d runs, %v", n, err)
	}
	torn := part.Bytes()[:part.Len()-20]
	had, err := Read(bytes.NewReader(torn))
	if err != nil || len(had) != n-1 {
		t.Fatalf("%d read of %d, %v", len(had), n, err)
	}
	out := bytes.NewBuffer(torn[:bytes.LastIndexByte(torn, '\n')+1])
	if n, err := p.Do(t.Context(), out, "r", had, 2, nil); n != 16-len(had) || err != nil {
		t.Fatalf("%d more, %v", n, err)
	}
	lines := func(b *bytes.Buffer) string {
		all, err := Read(b)
		if err != nil {
			t.Fatal(err)
		}
		var page bytes.Buffer
		for _, c := range Cells(all) {
			for _, r := range c.Results {
				page.WriteString(c.Name() + r.Late)
			}
		}
		if err := Page(&page, "x", all); err != nil {
			t.Fatal(err)
		}
		return page.String()
	}
	if a, b := lines(&whole), lines(out); a != b || !strings.Contains(a, "<svg") {
		t.Error("cut off and resumed is not the same as played at once")
	}
	if a, b := p.Hash(), parsed(t, small).Hash(); a != b || a == parsed(t, small+"\n").Hash() {
		t.Errorf("a plan's name is %s, and then %s", a, b)
	}
	// Another build has its own results: nothing of these counts as done.
	if n, err := p.Do(t.Context(), &bytes.Buffer{}, "other", had, 0, nil); n != 16 || err != nil {
		t.Errorf("%d runs of another build, %v", n, err)
	}
}

// All that is wrong with a file is told at once, with where it is.
func TestBadFiles(t *testing.T) {
	for text, want := range map[string][]string{
		"nome = 1":   {"nome"},
		"seeds = -1": {"no name", "seeds must be above 0", "no scenario"},
		`name = "x"` + "\nscenario = \"nowhere\"": {"nowhere"},
		`name = "x"
scenario = "first-run"
[[factor]]
path = "relays"
values = []
[[factor]]
path = "relays"
values = [1, 1]`: {"line 3: factor 1 (relays) has no values", "line 7: factor 2: relays is a factor already", "line 8: factor 2 (relays): the value 1 is given twice"},
		`name = "x"
scenario = "first-run"
[set]
"settings.slots" = "many"
"settings.tick" = 5
"traffic.9.rate" = 1
"emulator.mutant" = "none-such"
"module.colour" = 1
`: {"line 4: settings.slots = many: a whole number", "line 5: settings.tick = 5: a duration", "line 6: traffic.9.rate = 1", "line 7: emulator.mutant = none-such", "line 8: module.colour = 1"},
		"name = \"x\"\nscenario = \"first-run\"\n[[factor]]\npath = \"relays\"\nvalues = [0]": {"relays must be"},
		"name = \"x\"\nscenario = \"first-run\"\n[set]\n\"traffic.9.rate\" = 1":               {"none of 1 to"},
		"name = \"x\"\nscenario = \"first-run\"\n[set]\n\"emulator.mutant\" = \"none\"":       {"no such mutant"},
		"name = \"x\"\nscenario = \"first-run\"\n[set]\n\"emulator.beyond\" = \"reset\"":      {"emulator.beyond", "refused", "closed", "unanswered"},
		"name = \"x\"\nscenario = \"first-run\"\nseeds = 1000000":                             {"more than"},
	} {
		_, err := Parse("test", []byte(text), scenario.Load)
		for _, w := range want {
			if err == nil || !strings.Contains(err.Error(), w) {
				t.Errorf("%s: %v, want %q", text, err, w)
			}
		}
	}
}

// Two settings on equal seeds: one that matters is seen, and one that is the same is not.
func TestComparing(t *testing.T) {
	p := parsed(
		t,
		"name = \"x\"\nscenario = \"dinner-rush\"\nseeds = 6\n[[factor]]\npath = \"settings.slots\"\nvalues = [2, 40]\n[[factor]]\npath = \"module.senders\"\nvalues = [2]",
	)
	var out bytes.Buffer
	if _, err := p.Do(t.Context(), &out, "r", nil, 0, nil); err != nil {
		t.Fatal(err)
	}
	all, err := Read(&out)
	if err != nil {
		t.Fatal(err)
	}
	few, many := Split(all, "settings.slots", "2"), Split(all, "settings.slots", "40")
	if len(few) != 6 || len(many) != 6 {
		t.Fatalf("%d and %d", len(few), len(many))
	}
	of := func(a, b []Result) Difference {
		for _, d := range Compare(a, b, KeyWithout("settings.slots"), Confidence) {
			if d.Measure == "service" {
				return d
			}
		}
		t.Fatal("no service")
		return Difference{}
	}
	if d := of(few, many); !d.Seen() || d.Mean < 0.05 || d.Up != 6 || d.Pairs != 6 {
		t.Errorf("%v", d)
	}
	if d := of(many, many); d.Seen() || !strings.Contains(d.String(), "no difference seen") {
		t.Errorf("%v", d)
	}
	// Student's t of 4 values by the table: 3.182 standard errors.
	if mean, low, high := Interval([]float64{1, 2, 3, 4}, 0.95); mean != 2.5 ||
		math.Abs(high-low-2*3.182446*1.2909944/2) > 1e-5 {
		t.Errorf("%v, %v to %v", mean, low, high)
	}
}

// A hunt finds the broken relay's break, the same on any number of workers, in a scenario that is small, reads back and
// still breaks it.
func TestHunting(t *testing.T) {
	base, err := scenario.Load("quiet-day")
	if err != nil {
		t.Fatal(err)
	}
	h := Hunt{Base: base, Plans: 12, Seed: 3, Wrong: emulate.FindMutant("drains-ignored")}
	p, err := h.Run(t.Context())
	if err != nil || len(p.Rules) == 0 || p.Rules[0] != checker.DrainRespected {
		t.Fatalf("%+v, %v", p.Rules, err)
	}
	h.Workers = 1
	if q, err := h.Run(t.Context()); err != nil || q.Seed != p.Seed || len(q.File.Faults) != len(p.File.Faults) ||
		q.Service != p.Service {
		t.Errorf("one worker found another: %v", err)
	}
	data, err := p.File.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f, err := scenario.Parse("hunted", data)
	if err != nil {
		t.Fatalf("%v\n%s", err, data)
	}
	if len(f.Faults) != 1 || f.Length.AsDuration() > 40*time.Second {
		t.Errorf("%d troubles in %v", len(f.Faults), f.Length.AsDuration())
	}
	again, err := h.play(f, p.Seed)
	if err != nil || len(again.Rules) == 0 {
		t.Errorf("read back: %v, %v", again.Rules, err)
	}
	h.Wrong = nil
	if again, err = h.play(f, p.Seed); err != nil || len(again.Rules) > 0 {
		t.Errorf("a sound relay: %v, %v", again.Rules, err)
	}
}
