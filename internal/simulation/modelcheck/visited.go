package modelcheck

import (
	"slices"
	"sync"
)

// visitedShards is the number of locks, so that workers seldom wait for each other.
const visitedShards = 64

// visitedSet holds the hashes of the states that were visited. Workers share it.
type visitedSet struct {
	shards [visitedShards]visitedShard
}

type visitedShard struct {
	mu     sync.Mutex
	hashes map[uint64]struct{}
}

// add adds a state's hash, and reports whether it is new.
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

// noPathStep is the path step of the initial state, which no move leads to.
const noPathStep = int32(-1)

// pathStep is the last move of a path, and the step before it.
type pathStep struct {
	parent int32
	move   Move
}

// pathTable holds the paths to the states of all frontiers as a tree.
type pathTable struct {
	steps []pathStep
}

// add extends the path that ends at parent by a move, and returns the new path's last step.
func (t *pathTable) add(parent int32, move Move) int32 {
	t.steps = append(t.steps, pathStep{parent, move})
	return int32(len(t.steps) - 1)
}

// movesTo returns the moves of the path that ends at a step.
func (t *pathTable) movesTo(step int32) (moves []Move) {
	for ; step != noPathStep; step = t.steps[step].parent {
		moves = append(moves, t.steps[step].move)
	}
	slices.Reverse(moves)
	return moves
}
