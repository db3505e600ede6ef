package modelcheck

import (
	"slices"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// testDepthReduction is by how many moves the searches of tests are less deep than the program's, but for minTestDepth.
const (
	testDepthReduction = 4
	minTestDepth       = 4
)

// findMutant returns a mutant by its name; nil for "".
func findMutant(t *testing.T, name string) *emulate.Mutant {
	t.Helper()
	mutant := emulate.FindMutant(name)
	if name != "" && mutant == nil {
		t.Fatalf("no mutant %s", name)
	}
	return mutant
}

// check searches a model with a mutant. A depth of 0 is a reduced one.
func check(t *testing.T, modelName, mutantName string, opts Options) Result {
	t.Helper()
	model := FindModel(modelName)
	if opts.MaxDepth == 0 {
		opts.MaxDepth = max(minTestDepth, model.MaxDepth-testDepthReduction)
	}
	opts.Mutant = findMutant(t, mutantName)
	result, err := Check(t.Context(), model, opts)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The engine keeps the rules on every path of every model, as far as a short search goes.
func TestEngineKeepsRules(t *testing.T) {
	for _, model := range Models() {
		t.Run(model.Name, func(t *testing.T) {
			result := check(t, model.Name, "", Options{SkipRandomWalks: true})
			if v := result.Violation; v != nil {
				t.Errorf("%s: %s\n%v", v.Rule, v.Detail, result.Trace)
			}
			if result.States < 20 {
				t.Errorf("only %d states", result.States)
			}
		})
	}
}

// mutantSearches are searches that find a gross mutant of each rule. A depth of 0 is a reduced one.
var mutantSearches = []struct {
	model, mutant string
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
}

// A gross mutant of each rule violates that rule, by a trace than which none is shorter.
func TestMutantsViolateRules(t *testing.T) {
	for _, test := range mutantSearches {
		t.Run(test.model+"/"+test.mutant, func(t *testing.T) {
			result := check(t, test.model, test.mutant, Options{MaxDepth: test.depth, SkipRandomWalks: true})
			if v := result.Violation; v == nil || v.Rule != findMutant(t, test.mutant).Rule {
				t.Fatalf("%+v to depth %d", v, result.Depth)
			}
			checkReplay(t, test.model, test.mutant, result)
			shorter := Options{MaxDepth: len(result.Trace) - 1, SkipRandomWalks: true}
			if result := check(t, test.model, test.mutant, shorter); result.Violation != nil {
				t.Errorf("a shorter trace: %v", result.Trace)
			}
		})
	}
}

func TestSearchIsTheSameOnAnyNumberOfWorkers(t *testing.T) {
	one := check(t, "repeats", "any-zone", Options{Workers: 1})
	seven := check(t, "repeats", "any-zone", Options{Workers: 7})
	if one.Violation == nil || !slices.Equal(one.Trace, seven.Trace) || one.Transitions != seven.Transitions {
		t.Errorf("%+v\n%+v", one, seven)
	}
}

func TestSearchIsBounded(t *testing.T) {
	if result := check(t, "drains", "", Options{MaxStates: 50, SkipRandomWalks: true}); !result.Truncated {
		t.Errorf("not bounded: %+v", result)
	}
}

// Random walks find what needs many calls, and shrink it.
func TestRandomWalks(t *testing.T) {
	result := check(t, "return-many", "no-recovery-budget", Options{})
	v := result.Violation
	if v == nil || v.Rule != checker.RecoveryNotOverloaded || len(result.Trace) > 100 {
		t.Errorf("%+v, %d moves", v, len(result.Trace))
	}
}
