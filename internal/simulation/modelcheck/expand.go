package modelcheck

import (
	"context"
	"sync"
)

// chunkSize is the number of states that a worker takes from the frontier at a time.
const chunkSize = 64

// levelOptions configure the expansion of one level of the search.
type levelOptions struct {
	workers   int
	isLast    bool // the successors will not be expanded, so they are not kept
	maxStates int  // number of new states beyond which the search is truncated
}

// expandedLevel is the result of expanding all states of a frontier.
type expandedLevel struct {
	frontier    []*state // new states, to expand at the next level
	states      int      // number of new states, also where they are not kept
	transitions int      // number of moves played
	violating   *state   // first violating state, in the order of the frontier; nil: none
	truncated   bool
}

// expandedChunk is the result of expanding consecutive states of a frontier.
type expandedChunk struct {
	successors    []*state // new states; each still has its predecessor's path step
	moves         []Move   // the last move to each of the successors
	states        int
	transitions   int
	violating     *state
	violatingMove Move
}

// expandLevel plays every enabled move from every state of a frontier. Chunks are merged in the order of the
// frontier, and of several violations the first in that order is returned. Unless the level is truncated, the
// numbers of states and transitions do not depend on the number of workers. A state that several chunks reach keeps
// the path of the chunk that reached it first, so paths may depend on the scheduling of the workers.
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
		chunks[i] = expandedChunk{} // release its memory
	}
	return level
}

// expandChunks expands a frontier on several workers. It stops early if the level has too many new states.
func (x *explorer) expandChunks(ctx context.Context, frontier []*state, opts levelOptions) []expandedChunk {
	chunks := make([]expandedChunk, (len(frontier)+chunkSize-1)/chunkSize)
	var workers sync.WaitGroup
	var mu sync.Mutex // guards nextChunk and states
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

// expandChunk plays every enabled move from each of the states.
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
