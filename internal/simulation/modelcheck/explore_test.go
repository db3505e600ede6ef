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

func search(t *testing.T, name, mutant string, opts Options) Found {
	t.Helper()
	w := WorldNamed(name)
	if opts.Depth == 0 {
		opts.Depth = max(4, w.Depth-shallow)
	}
	if opts.Wrong = emulate.FindMutant(mutant); mutant != "" && opts.Wrong == nil {
		t.Fatalf("no mutant %s", mutant)
	}
	f, err := Search(t.Context(), w, opts)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The module keeps the rules on every path of every world, as far as a short search goes.
func TestTheModuleKeepsTheRules(t *testing.T) {
	for _, w := range Worlds() {
		f := search(t, w.Name, "", Options{NoWalks: true})
		if f.Break != nil {
			t.Errorf("%s: %s: %s\n%v", w.Name, f.Break.Rule, f.Break.Text, f.Path)
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
		f := search(t, c.world, c.mutant, Options{Depth: c.depth, NoWalks: true})
		m := emulate.FindMutant(c.mutant)
		if f.Break == nil || f.Break.Rule != m.Rule {
			t.Errorf("%s in %s: %+v to depth %d", c.mutant, c.world, f.Break, f.Depth)
			continue
		}
		p := Path{World: c.world, Mutant: c.mutant, Rule: f.Break.Rule, Moves: f.Path}
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if p, err = ParsePath(data); err != nil {
			t.Fatal(err)
		}
		if b, err := p.Replay(); err != nil || !reflect.DeepEqual(b, f.Break) {
			t.Errorf("%s: replayed: %+v, %v", c.mutant, b, err)
		}
		if err := p.Tell(io.Discard); err != nil {
			t.Error(err)
		}
		if f := search(t, c.world, c.mutant, Options{Depth: len(f.Path) - 1, NoWalks: true}); f.Break != nil {
			t.Errorf("%s: a shorter path: %v", c.mutant, f.Path)
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
	if a.Break == nil || !slices.Equal(a.Path, b.Path) || a.Paths != b.Paths {
		t.Errorf("%+v\n%+v", a, b)
	}
	if f := search(t, "drains", "", Options{StatesMost: 50, NoWalks: true}); !f.Stopped {
		t.Errorf("not bounded: %+v", f)
	}
}

// Random paths find what needs many calls, and shorten it.
func TestWalks(t *testing.T) {
	f := search(t, "return-many", "no-recovery-budget", Options{})
	if f.Break == nil || f.Break.Rule != checker.RecoveryNotOverloaded || len(f.Path) > 100 {
		t.Errorf("%+v, %d moves", f.Break, len(f.Path))
	}
}

func FuzzParsePath(f *testing.F) {
	f.Add(
		[]byte(
			`{"world":"repeats","moves":[{"kind":"hand in"},{"kind":"killed"},{"kind":"time passes"},{"kind":"a call ends","choice":9,"n":-1}]}`,
		),
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := ParsePath(data); err == nil {
			p.Replay()
		}
	})
}
