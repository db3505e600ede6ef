package modelcheck

import (
	"context"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// FleetResult is the outcome of a search of a fleet's states. States is set only if there is no violation.
type FleetResult struct {
	States      int         // distinct states visited
	Transitions int         // moves played from any state
	Complete    bool        // every reachable state was visited
	Violation   string      // "": none
	Trace       []FleetMove // moves from the initial state to the violation
}

// fleetSearch is a breadth-first search of a fleet's states.
type fleetSearch struct {
	model   *FleetModel
	faults  emulate.LinkFaults
	visited map[string]struct{}
	result  FleetResult
}

// CheckFleet explores the states of a fleet breadth-first up to the model's depth. It stops at the first violation,
// whose trace has the fewest moves. The faults are those of every member; the zero value is none.
func CheckFleet(ctx context.Context, model FleetModel, faults emulate.LinkFaults) (FleetResult, error) {
	search := &fleetSearch{
		model:   &model,
		faults:  faults,
		visited: map[string]struct{}{},
		result:  FleetResult{Complete: true},
	}
	frontier := [][]FleetMove{nil}
	for depth := 0; len(frontier) > 0; depth++ {
		var next [][]FleetMove
		for _, path := range frontier {
			if err := ctx.Err(); err != nil {
				return search.result, err
			}
			moves := search.replay(path).enabledMoves()
			if depth == model.MaxDepth {
				search.result.Complete = search.result.Complete && len(moves) == 0
				continue
			}
			next = append(next, search.expand(path, moves)...)
			if search.result.Violation != "" {
				return search.result, nil
			}
		}
		frontier = next
	}
	search.result.States = len(search.visited)
	return search.result, nil
}

// replay returns the state that a path leads to. Agents and tables cannot be copied, so each state is reached by
// playing its whole path.
func (s *fleetSearch) replay(path []FleetMove) *fleetState {
	f := newFleetState(s.model, s.faults)
	for _, move := range path {
		f.apply(move)
	}
	return f
}

// expand plays the moves that are enabled at a path's end, checks the state and the convergence after each of them,
// and returns the paths to new states. It stops at the first violation.
func (s *fleetSearch) expand(path []FleetMove, moves []FleetMove) (longer [][]FleetMove) {
	for _, move := range moves {
		extended := append(slices.Clone(path), move)
		successor := s.replay(extended)
		s.result.Transitions++
		violation := successor.violation
		if violation == "" {
			converged := s.replay(extended)
			converged.checkConvergence()
			violation = converged.violation
		}
		if violation != "" {
			s.result.Violation, s.result.Trace, s.result.Complete = violation, extended, false
			return nil
		}
		key := successor.key()
		if _, known := s.visited[key]; !known {
			s.visited[key] = struct{}{}
			longer = append(longer, extended)
		}
	}
	return longer
}
