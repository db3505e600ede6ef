package relay

import "sync"

const (
	// heapFraction is the fraction of the memory limit that the Go runtime may use. The remaining memory is for the
	// program's code and for the pages of the journal's files.
	heapFraction = 0.7
	// sharedMemoryFraction is the fraction of the limit that all processes of a hot restart may use together. It leaves
	// memory for the code of each of them.
	sharedMemoryFraction = 0.9
)

// memoryShare divides the memory limit among this process and those that it takes over from or hands over to: they run
// on one machine.
type memoryShare struct {
	mu             sync.Mutex
	hasPredecessor bool
	hasSuccessor   bool
}

// fraction returns the fraction of the limit that this process may use.
func (s *memoryShare) fraction() float64 {
	others := 0
	if s.hasPredecessor {
		others++
	}
	if s.hasSuccessor {
		others++
	}
	if others == 0 {
		return 1
	}
	return sharedMemoryFraction / float64(1+others)
}

// setPredecessorAlive records whether a process that this one takes over from is running.
func (r *Relay) setPredecessorAlive(alive bool) {
	r.memoryShare.mu.Lock()
	defer r.memoryShare.mu.Unlock()
	r.memoryShare.hasPredecessor = alive
	r.applyMemoryShare()
}

// setSuccessorAlive records whether a process that this one hands over to is running.
func (r *Relay) setSuccessorAlive(alive bool) {
	r.memoryShare.mu.Lock()
	defer r.memoryShare.mu.Unlock()
	r.memoryShare.hasSuccessor = alive
	r.applyMemoryShare()
}

// applyMemoryShare sets the limits of the budget and of the heap. The caller holds the mutex of r.memoryShare.
func (r *Relay) applyMemoryShare() {
	fraction := r.memoryShare.fraction()
	r.budget.Scale(fraction)
	if r.cfg.SetHeapLimit != nil {
		r.cfg.SetHeapLimit(int64(float64(r.cfg.Limits.memoryBytes()) * heapFraction * fraction))
	}
	r.log.Debug("memory limit set", "fraction", fraction)
}
