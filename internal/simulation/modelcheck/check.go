package modelcheck

import (
	"context"
	"runtime"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// defaultMaxStates bounds the memory of a search: 8 bytes are kept of each visited state, and the states of two levels
// whole.
const defaultMaxStates = 4 << 20

// Options of a search.
type Options struct {
	Mutant          *emulate.Mutant // nil: the engine as it is
	MaxDepth        int             // moves on a path; 0: the model's
	MaxStates       int             // 0: 4 million
	Workers         int             // 0: one for each core
	SkipRandomWalks bool
}

// withDefaults fills in what is not set.
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

// Violation is an invariant that a path violates.
type Violation struct {
	Rule   checker.Rule `json:"rule"`
	Detail string       `json:"text"`
}

// Result is what a search found.
type Result struct {
	Model       string
	States      int  // distinct ones
	Transitions int  // moves played
	RandomWalks int  // played after the search
	Depth       int  // to which all paths were played
	Complete    bool // all reachable states were visited: no path is longer than Depth
	Truncated   bool // the search ended early: too many states, or its context was done
	Violation   *Violation
	Trace       []Move // to the violation
}

// explorer explores the states of one model.
type explorer struct {
	model    *Model
	mutant   *emulate.Mutant
	settings policy.Settings // of the engines
	visited  visitedSet
	paths    pathTable
}

// Check explores the states of a model up to a depth, and stops at the first violation.
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

// newExplorer returns an explorer and the initial state, in which each relay has received the endpoints.
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
