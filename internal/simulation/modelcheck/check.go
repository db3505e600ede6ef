package modelcheck

import (
	"context"
	"runtime"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// defaultMaxStates bounds the memory of a search, which keeps an 8-byte hash of each visited state, and the states
// of two levels as a whole.
const defaultMaxStates = 4 << 20

// Options configure a search.
type Options struct {
	Mutant          *emulate.Mutant // nil: the unchanged engine
	MaxDepth        int             // maximum number of moves on a path; 0: Model.MaxDepth
	MaxStates       int             // maximum number of visited states; 0: 4 million
	Workers         int             // number of goroutines; 0: GOMAXPROCS
	SkipRandomWalks bool
}

// withDefaults replaces zero values by their defaults.
func (o Options) withDefaults(model *Model) Options {
	if o.MaxDepth == 0 {
		o.MaxDepth = model.MaxDepth
	}
	if o.MaxStates == 0 {
		o.MaxStates = defaultMaxStates
	}
	if o.Workers == 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	return o
}

// Violation describes how a path violates an invariant.
type Violation struct {
	Rule   checker.Rule `json:"rule"`
	Detail string       `json:"text"`
}

// Result is the outcome of a search.
type Result struct {
	Model       string
	States      int  // distinct states visited
	Transitions int  // moves played from any state
	RandomWalks int  // random walks played after the search
	Depth       int  // number of moves up to which every path was explored
	Complete    bool // every reachable state was visited, each by a path of at most Depth moves
	Truncated   bool // the search ended early: too many states, or its context was cancelled
	Violation   *Violation
	Trace       []Move // moves from the initial state to the violation
}

// explorer searches the states of one model.
type explorer struct {
	model    *Model
	mutant   *emulate.Mutant
	settings policy.Settings // settings of all engines, as the mutant changes them
	visited  visitedSet
	paths    pathTable
}

// Check explores the states of a model breadth-first up to a depth, and stops at the first violation. A search that
// ends at that depth is followed by the model's random walks, unless opts.SkipRandomWalks is set.
func Check(ctx context.Context, model *Model, opts Options) (Result, error) {
	x, root, err := newExplorer(model, opts.Mutant)
	if err != nil {
		return Result{}, err
	}
	opts = opts.withDefaults(model)
	result := Result{Model: model.Name, States: 1}
	x.visited.add(root.hash())
	frontier := []*state{root}
	for ; result.Depth < opts.MaxDepth && len(frontier) > 0; result.Depth++ {
		level := x.expandLevel(ctx, frontier, levelOptions{
			workers:   opts.Workers,
			isLast:    result.Depth == opts.MaxDepth-1,
			maxStates: opts.MaxStates - result.States,
		})
		result.Transitions += level.transitions
		result.States += level.states
		if level.violating != nil {
			result.Violation = level.violating.violation
			result.Trace = x.paths.movesTo(level.violating.pathStep)
			return result, nil
		}
		if level.truncated || ctx.Err() != nil {
			result.Truncated = true
			return result, ctx.Err()
		}
		frontier = level.frontier
	}
	result.Complete = len(frontier) == 0 && result.Depth < opts.MaxDepth
	if !result.Complete && !opts.SkipRandomWalks {
		x.walkRandomly(ctx, root, opts.Workers, &result)
	}
	return result, ctx.Err()
}

// newExplorer returns an explorer and the initial state, in which each relay has received the endpoint list.
func newExplorer(model *Model, mutant *emulate.Mutant) (*explorer, *state, error) {
	x := &explorer{model: model, mutant: mutant, settings: model.Settings}
	x.settings.Classes = slices.Clone(x.settings.Classes)
	x.settings.FleetSize = model.Relays
	x.changeSettings()
	root := &state{pathStep: noPathStep}
	if model.StartsInOutage {
		root.outage = outageActive
	}
	for relay := range model.Relays {
		root.relays = append(root.relays, newRelayState())
		if err := x.startRelay(root, relay); err != nil {
			return nil, nil, err
		}
	}
	return x, root, root.startError()
}
