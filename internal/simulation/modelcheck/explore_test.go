package modelcheck

import (
	"encoding/json"
	"io"
	"reflect"
	"slices"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// shallow is how much less deep tests look than the program does.
const shallow = 4

func search(t *testing.T, name, mutant string, opts Options) Result {
	t.Helper()
	w := FindModel(name)
	if opts.MaxDepth == 0 {
		opts.MaxDepth = max(4, w.MaxDepth-shallow)
	}
	if opts.Mutant = emulate.FindMutant(mutant); mutant != "" && opts.Mutant == nil {
		t.Fatalf("no mutant %s", mutant)
	}
	f, err := Check(t.Context(), w, opts)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The module keeps the rules on every path of every world, as far as a short search goes.
func TestTheModuleKeepsTheRules(t *testing.T) {
	for _, w := range Models() {
		f := search(t, w.Name, "", Options{SkipRandomWalks: true})
		if f.Violation != nil {
			t.Errorf("%s: %s: %s\n%v", w.Name, f.Violation.Rule, f.Violation.Detail, f.Trace)
		}
		if f.States < 20 {
			t.Errorf("%s: only %d states", w.Name, f.States)
		}
	}
}

// A gross mutant of each rule is convicted by a path that breaks that rule, that is one of the shortest, and that
// replays: with the mutant it breaks the rule again, and not with the module as it is.
func TestBrokenModulesAreConvicted(t *testing.T) {
	for _, c := range []struct {
		world, mutant string
		depth         int
	}{
		{"repeats", "unsafe-repeated", 0},
		{"repeats", "any-zone", 0},
		{"restarts", "journal-not-restored", 7},
		{"window", "no-window", 16},
		{"drains", "drains-ignored", 7},
		{"waits", "waits-dropped", 0},
		{"order", "no-order", 0},
		{"order", "no-pause", 8},
		{"return-2", "no-recovery-budget", 9},
	} {
		f := search(t, c.world, c.mutant, Options{MaxDepth: c.depth, SkipRandomWalks: true})
		m := emulate.FindMutant(c.mutant)
		if f.Violation == nil || f.Violation.Rule != m.Rule {
			t.Errorf("%s in %s: %+v to depth %d", c.mutant, c.world, f.Violation, f.Depth)
			continue
		}
		p := Counterexample{Model: c.world, Mutant: c.mutant, Rule: f.Violation.Rule, Moves: f.Trace}
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if p, err = ParseCounterexample(data); err != nil {
			t.Fatal(err)
		}
		if b, err := p.Replay(); err != nil || !reflect.DeepEqual(b, f.Violation) {
			t.Errorf("%s: replayed: %+v, %v", c.mutant, b, err)
		}
		if err := p.WriteTrace(io.Discard); err != nil {
			t.Error(err)
		}
		if f := search(t, c.world, c.mutant, Options{MaxDepth: len(f.Trace) - 1, SkipRandomWalks: true}); f.Violation != nil {
			t.Errorf("%s: a shorter path: %v", c.mutant, f.Trace)
		}
		p.Mutant = ""
		if b, err := p.Replay(); err == nil && b != nil {
			t.Errorf("%s: the module as it is breaks %s", c.mutant, b.Rule)
		}
	}
}

// The same search finds the same on any number of workers.
func TestTheSearchIsTheSameOnAnyNumberOfWorkers(t *testing.T) {
	a, b := search(t, "repeats", "any-zone", Options{Workers: 1}), search(t, "repeats", "any-zone", Options{Workers: 7})
	if a.Violation == nil || !slices.Equal(a.Trace, b.Trace) || a.Transitions != b.Transitions {
		t.Errorf("%+v\n%+v", a, b)
	}
	if f := search(t, "drains", "", Options{MaxStates: 50, SkipRandomWalks: true}); !f.Truncated {
		t.Errorf("not bounded: %+v", f)
	}
}

// Random paths find what needs many calls, and shorten it.
func TestWalks(t *testing.T) {
	f := search(t, "return-many", "no-recovery-budget", Options{})
	if f.Violation == nil || f.Violation.Rule != checker.RecoveryNotOverloaded || len(f.Trace) > 100 {
		t.Errorf("%+v, %d moves", f.Violation, len(f.Trace))
	}
}

func FuzzParseCounterexample(f *testing.F) {
	f.Add(
		[]byte(
			`{"world":"repeats","moves":[{"kind":"hand in"},{"kind":"killed"},{"kind":"time passes"},{"kind":"a call ends","choice":9,"n":-1}]}`,
		),
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := ParseCounterexample(data); err == nil {
			p.Replay()
		}
	})
}
