package modelcheck

import (
	"context"
	"sync"
)

// chunkSize is the number of states that a worker expands at once.
const chunkSize = 64

// levelOptions say how a level of the search is expanded.
type levelOptions struct {
	workers   int
	isLast    bool // the successors are not expanded in their turn, and not kept
	maxStates int  // new ones, before the search is truncated
}

// expandedLevel is the expansion of all states of a frontier.
type expandedLevel struct {
	frontier    []*state // the next one
	states      int      // new ones
	transitions int
	violating   *state // the first by the order of the paths
	truncated   bool
}

// expandedChunk is the expansion of consecutive states of a frontier.
type expandedChunk struct {
	successors    []*state // new ones; each still has its predecessor's path step
	moves         []Move   // that led to them
	states        int
	transitions   int
	violating     *state
	violatingMove Move
}

// expandLevel plays every enabled move at every state of a frontier. The result does not depend on the number of
// workers: states are in the order of their paths, and of several violations the first in that order is returned.
func (x *explorer) expandLevel(ctx context.Context, frontier []*state, opts levelOptions) expandedLevel {
	chunks := x.expandChunks(ctx, frontier, opts)
	var level expandedLevel
	for i := range chunks {
		chunk := &chunks[i]
		level.transitions += chunk.transitions
		level.states += chunk.states
		if chunk.violating != nil && level.violating == nil {
			level.violating = chunk.violating
			level.violating.pathStep = x.paths.add(level.violating.pathStep, chunk.violatingMove)
		}
	}
	level.truncated = level.states > opts.maxStates
	if level.violating != nil || level.truncated {
		return level
	}
	for i := range chunks {
		for k, successor := range chunks[i].successors {
			successor.pathStep = x.paths.add(successor.pathStep, chunks[i].moves[k])
			level.frontier = append(level.frontier, successor)
		}
		chunks[i] = expandedChunk{} // release it
	}
	return level
}

// expandChunks expands a frontier on several workers. It stops early when there are too many states.
func (x *explorer) expandChunks(ctx context.Context, frontier []*state, opts levelOptions) []expandedChunk {
	chunks := make([]expandedChunk, (len(frontier)+chunkSize-1)/chunkSize)
	var workers sync.WaitGroup
	var mu sync.Mutex // guards the following
	nextChunk, states := 0, 0
	for range opts.workers {
		workers.Go(func() {
			for {
				mu.Lock()
				i := nextChunk
				nextChunk++
				full := states > opts.maxStates
				mu.Unlock()
				if i >= len(chunks) || full || ctx.Err() != nil {
					return
				}
				chunks[i] = x.expandChunk(frontier[i*chunkSize:min(len(frontier), (i+1)*chunkSize)], opts.isLast)
				mu.Lock()
				states += chunks[i].states
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return chunks
}

// expandChunk expands states one by one.
func (x *explorer) expandChunk(states []*state, isLast bool) (chunk expandedChunk) {
	for _, s := range states {
		for _, move := range x.enabledMoves(s) {
			successor := x.successor(s, move)
			chunk.transitions++
			if successor.violation != nil {
				if chunk.violating == nil {
					chunk.violating, chunk.violatingMove = successor, move
				}
				continue
			}
			if !x.visited.add(successor.hash()) {
				continue
			}
			chunk.states++
			if !isLast {
				chunk.successors = append(chunk.successors, successor)
				chunk.moves = append(chunk.moves, move)
			}
		}
	}
	return chunk
}
