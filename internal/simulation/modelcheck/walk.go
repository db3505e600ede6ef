package modelcheck

import (
	"context"
	"slices"
	"sync"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
)

// walkSeed is the seed of all random walks, so that each run plays the same walks of a model.
const walkSeed = 1

// walkRandomly plays the model's random walks. If some of them end in a violation, the one with the lowest number is
// shrunk and stored in the result.
func (x *explorer) walkRandomly(ctx context.Context, root *state, workerCount int, result *Result) {
	violating := make([][]Move, x.model.RandomWalks)
	var workers sync.WaitGroup
	var mu sync.Mutex // guards next and result
	next := 0
	for range workerCount {
		workers.Go(func() {
			for {
				mu.Lock()
				number := next
				next++
				mu.Unlock()
				if number >= x.model.RandomWalks || ctx.Err() != nil {
					return
				}
				path, violation := x.walk(root, number)
				if violation != nil {
					violating[number] = path
				}
				mu.Lock()
				result.Transitions += len(path)
				result.RandomWalks++
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	if i := slices.IndexFunc(violating, func(path []Move) bool { return path != nil }); i >= 0 {
		result.Trace, result.Violation = x.shrink(root, violating[i])
	}
}

// walk plays one random walk, which ends at the first violation.
func (x *explorer) walk(root *state, number int) (path []Move, violation *Violation) {
	random := engine.NewRandom(walkSeed, x.model.Name, number)
	s := root
	for range x.model.RandomWalkLength {
		moves := x.enabledMoves(s)
		if len(moves) == 0 {
			break
		}
		move := moves[random.IntN(len(moves))]
		path = append(path, move)
		s = x.successor(s, move)
		if s.violation != nil {
			return path, s.violation
		}
	}
	return path, nil
}

// shrink removes moves from a path one at a time, as long as the path still ends in a violation of the same rule.
func (x *explorer) shrink(root *state, path []Move) ([]Move, *Violation) {
	violation := x.violationAtEnd(root, path)
	for shrunk := true; shrunk; {
		shrunk = false
		for i := len(path) - 2; i >= 0; i-- {
			shorter := slices.Delete(slices.Clone(path), i, i+1)
			if v := x.violationAtEnd(root, shorter); v != nil && v.Rule == violation.Rule {
				path, violation, shrunk = shorter, v, true
			}
		}
	}
	return path, violation
}

// violationAtEnd plays a path and returns the violation that its last move causes. It returns nil if there is none,
// if an earlier move violates an invariant, or if a move is not enabled.
func (x *explorer) violationAtEnd(root *state, path []Move) *Violation {
	s := root
	for i, move := range path {
		if !slices.Contains(x.enabledMoves(s), move) {
			return nil
		}
		s = x.successor(s, move)
		if s.violation != nil && i < len(path)-1 {
			return nil
		}
	}
	return s.violation
}
