package catalog

import (
	"container/list"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// WorkingSet is which destinations a module has been told of: those that were used of late, or that it must not forget.
type WorkingSet struct {
	idleTimeout   time.Duration
	recentlyAdded map[int]time.Duration // destinations of which an endpoint was added of late, and when
	allAddedAt    time.Duration         // all that were listed by then count as added then
	byDestination map[int]*list.Element
	byLastUse     list.List // of *used, the one that was not used for longest first
}

type usage struct {
	destination int
	lastUsed    time.Duration
}

// NewWorkingSet returns an empty one, whose destinations may be put to rest when they were not used for rest.
func NewWorkingSet(rest time.Duration) *WorkingSet {
	return &WorkingSet{
		idleTimeout:   rest,
		byDestination: map[int]*list.Element{},
		recentlyAdded: map[int]time.Duration{},
		allAddedAt:    math.MinInt64 / 2,
	}
}

// Contains tells whether a destination is awake.
func (w *WorkingSet) Contains(dest int) bool { return w.byDestination[dest] != nil }

// Len is how many are awake.
func (w *WorkingSet) Len() int { return len(w.byDestination) }

// Activate uses a destination at now. It tells whether it was at rest: then the module must be told of its endpoints
// first.
func (w *WorkingSet) Activate(dest int, now time.Duration) bool {
	if w.Contains(dest) {
		w.Touch(dest, now)
		return false
	}
	w.byDestination[dest] = w.byLastUse.PushBack(&usage{dest, now})
	return true
}

// EndpointAdded notes that an endpoint of a destination was added to the list at now. Beyond MaxEagerEndpoints of late
// all destinations count as added.
func (w *WorkingSet) EndpointAdded(dest int, now time.Duration) {
	if w.recentlyAdded[dest] = now; len(w.recentlyAdded) <= MaxEagerEndpoints {
		return
	}
	for d, at := range w.recentlyAdded {
		if now >= at+policy.MaxInitialSpread {
			delete(w.recentlyAdded, d)
		}
	}
	if len(w.recentlyAdded) > MaxEagerEndpoints {
		clear(w.recentlyAdded)
		w.allAddedAt = now
	}
}

// Settled tells whether a destination has been listed for as long as first calls to what is new spread: one that wakes
// then stands as if its module had always known it.
func (w *WorkingSet) Settled(dest int, now time.Duration) bool {
	at, young := w.recentlyAdded[dest]
	return now >= w.allAddedAt+policy.MaxInitialSpread && (!young || now >= at+policy.MaxInitialSpread)
}

// Touch has a destination count as used at now, which must not go back. One at rest stays so.
func (w *WorkingSet) Touch(dest int, now time.Duration) {
	if e := w.byDestination[dest]; e != nil {
		e.Value.(*usage).lastUsed = now
		w.byLastUse.MoveToBack(e)
	}
}

// EvictIdle puts to rest, of the destinations that were not used for long enough, those of which resting says that it
// may be: they are returned, the one that was not used for longest first. So many are looked at; one that stays awake
// is looked at again as if it had been used now.
func (w *WorkingSet) EvictIdle(now time.Duration, most int, resting func(dest int) bool) (rested []int) {
	for ; most > 0 && w.byLastUse.Len() > 0; most-- {
		e := w.byLastUse.Front()
		u := e.Value.(*usage)
		if now < u.lastUsed+w.idleTimeout {
			break
		}
		if !resting(u.destination) {
			w.Touch(u.destination, now)
			continue
		}
		w.byLastUse.Remove(e)
		delete(w.byDestination, u.destination)
		rested = append(rested, u.destination)
	}
	return rested
}
