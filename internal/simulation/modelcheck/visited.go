package modelcheck

import (
	"slices"
	"sync"
)

// visitedShards is the number of parts of a visitedSet, each with its own lock to reduce contention between workers.
const visitedShards = 64

// visitedSet holds the hashes of the visited states. It is safe for concurrent use.
type visitedSet struct {
	shards [visitedShards]visitedShard
}

type visitedShard struct {
	mu     sync.Mutex
	hashes map[uint64]struct{}
}

// add adds the hash of a state and reports whether it is new.
func (v *visitedSet) add(hash uint64) bool {
	shard := &v.shards[hash%visitedShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, known := shard.hashes[hash]; known {
		return false
	}
	if shard.hashes == nil {
		shard.hashes = map[uint64]struct{}{}
	}
	shard.hashes[hash] = struct{}{}
	return true
}

// noPathStep is the path step of the initial state, to which no move leads.
const noPathStep = int32(-1)

// pathStep is the last move of a path, and the index of the step before it, or noPathStep.
type pathStep struct {
	parent int32
	move   Move
}

// pathTable stores the paths to all states that were in a frontier, as a tree: paths share the steps of their common
// beginning.
type pathTable struct {
	steps []pathStep
}

// add appends a move to the path that ends at the step parent, and returns the index of the new step.
func (t *pathTable) add(parent int32, move Move) int32 {
	t.steps = append(t.steps, pathStep{parent, move})
	return int32(len(t.steps) - 1)
}

// movesTo returns the moves of the path that ends at a step, in the order in which they are played.
func (t *pathTable) movesTo(step int32) (moves []Move) {
	for ; step != noPathStep; step = t.steps[step].parent {
		moves = append(moves, t.steps[step].move)
	}
	slices.Reverse(moves)
	return moves
}
