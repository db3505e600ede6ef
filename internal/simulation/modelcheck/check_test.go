package modelcheck

import (
	"slices"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// The searches of the tests are testDepthReduction moves less deep than Model.MaxDepth, but at least minTestDepth moves
// deep.
const (
	testDepthReduction = 4
	minTestDepth       = 4
)

// findMutant returns the mutant with a name; nil for an empty name.
func findMutant(t *testing.T, name string) *emulate.Mutant {
	t.Helper()
	mutant := emulate.FindMutant(name)
	if name != "" && mutant == nil {
		t.Fatalf("no mutant %q", name)
	}
	return mutant
}

// check searches a model with a mutant, or with the unchanged engine if mutantName is empty. Without opts.MaxDepth
// it uses the reduced depth of tests.
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

// Searches every model to a reduced depth: the unchanged engine violates no rule on any path.
func TestEngineKeepsRules(t *testing.T) {
	for _, model := range Models() {
		t.Run(model.Name, func(t *testing.T) {
			result := check(t, model.Name, "", Options{SkipRandomWalks: true})
			if v := result.Violation; v != nil {
				t.Errorf("%s: %s\n%v", v.Rule, v.Detail, result.Trace)
			}
			if result.States < 20 {
				t.Errorf("%d states visited, want at least 20", result.States)
			}
		})
	}
}

// mutantSearches are searches that detect an obvious mutant of each rule. A depth of 0 stands for the reduced depth
// of tests.
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

// An obvious mutant of each rule violates that rule. The search finds a shortest trace: a search that is one move
// less deep finds none.
func TestMutantsViolateRules(t *testing.T) {
	for _, test := range mutantSearches {
		t.Run(test.model+"/"+test.mutant, func(t *testing.T) {
			result := check(t, test.model, test.mutant, Options{MaxDepth: test.depth, SkipRandomWalks: true})
			if v := result.Violation; v == nil || v.Rule != findMutant(t, test.mutant).Rule {
				t.Fatalf("violation %+v to depth %d, want one of the mutant's rule", v, result.Depth)
			}
			checkReplay(t, test.model, test.mutant, result)
			shorter := Options{MaxDepth: len(result.Trace) - 1, SkipRandomWalks: true}
			if result := check(t, test.model, test.mutant, shorter); result.Violation != nil {
				t.Errorf("a shorter trace violates a rule, too: %v", result.Trace)
			}
		})
	}
}

func TestSearchIsTheSameOnAnyNumberOfWorkers(t *testing.T) {
	one := check(t, "repeats", "any-zone", Options{Workers: 1})
	seven := check(t, "repeats", "any-zone", Options{Workers: 7})
	if one.Violation == nil || !slices.Equal(one.Trace, seven.Trace) || one.Transitions != seven.Transitions {
		t.Errorf("with one worker:\n%+v\nwith seven workers:\n%+v", one, seven)
	}
}

func TestSearchIsBounded(t *testing.T) {
	if result := check(t, "drains", "", Options{MaxStates: 50, SkipRandomWalks: true}); !result.Truncated {
		t.Errorf("not truncated at 50 states: %+v", result)
	}
}

// Random walks find a violation that needs many calls, and the trace is shrunk.
func TestRandomWalks(t *testing.T) {
	result := check(t, "return-many", "no-recovery-budget", Options{})
	v := result.Violation
	if v == nil || v.Rule != checker.RecoveryNotOverloaded || len(result.Trace) > 100 {
		t.Errorf(
			"violation %+v by %d moves, want one of %q by at most 100 moves",
			v,
			len(result.Trace),
			checker.RecoveryNotOverloaded,
		)
	}
}
