package catalog

import (
	"container/list"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// WorkingSet is which destinations a module has been told of: those that were used of late, or that it must not forget.
type WorkingSet struct {
	rest  time.Duration
	young map[int]time.Duration // destinations of which an endpoint was added of late, and when
	crowd time.Duration         // all that were listed by then count as added then
	byID  map[int]*list.Element
	idle  list.List // of *used, the one that was not used for longest first
}

type used struct {
	dest int
	at   time.Duration
}

// NewWorkingSet returns an empty one, whose destinations may be put to rest when they were not used for rest.
func NewWorkingSet(rest time.Duration) *WorkingSet {
	return &WorkingSet{
		rest:  rest,
		byID:  map[int]*list.Element{},
		young: map[int]time.Duration{},
		crowd: math.MinInt64 / 2,
	}
}

// Contains tells whether a destination is awake.
func (w *WorkingSet) Contains(dest int) bool { return w.byID[dest] != nil }

// Len is how many are awake.
func (w *WorkingSet) Len() int { return len(w.byID) }

// Activate uses a destination at now. It tells whether it was at rest: then the module must be told of its endpoints
// first.
func (w *WorkingSet) Activate(dest int, now time.Duration) bool {
	if w.Contains(dest) {
		w.Touch(dest, now)
		return false
	}
	w.byID[dest] = w.idle.PushBack(&used{dest, now})
	return true
}

// EndpointAdded notes that an endpoint of a destination was added to the list at now. Beyond MaxEagerEndpoints of late
// all destinations count as added.
func (w *WorkingSet) EndpointAdded(dest int, now time.Duration) {
	if w.young[dest] = now; len(w.young) <= MaxEagerEndpoints {
		return
	}
	for d, at := range w.young {
		if now >= at+policy.MaxInitialSpread {
			delete(w.young, d)
		}
	}
	if len(w.young) > MaxEagerEndpoints {
		clear(w.young)
		w.crowd = now
	}
}

// Settled tells whether a destination has been listed for as long as first calls to what is new spread: one that wakes
// then stands as if its module had always known it.
func (w *WorkingSet) Settled(dest int, now time.Duration) bool {
	at, young := w.young[dest]
	return now >= w.crowd+policy.MaxInitialSpread && (!young || now >= at+policy.MaxInitialSpread)
}

// Touch has a destination count as used at now, which must not go back. One at rest stays so.
func (w *WorkingSet) Touch(dest int, now time.Duration) {
	if e := w.byID[dest]; e != nil {
		e.Value.(*used).at = now
		w.idle.MoveToBack(e)
	}
}

// EvictIdle puts to rest, of the destinations that were not used for long enough, those of which resting says that it
// may be: they are returned, the one that was not used for longest first. So many are looked at; one that stays awake
// is looked at again as if it had been used now.
func (w *WorkingSet) EvictIdle(now time.Duration, most int, resting func(dest int) bool) (rested []int) {
	for ; most > 0 && w.idle.Len() > 0; most-- {
		e := w.idle.Front()
		u := e.Value.(*used)
		if now < u.at+w.rest {
			break
		}
		if !resting(u.dest) {
			w.Touch(u.dest, now)
			continue
		}
		w.idle.Remove(e)
		delete(w.byID, u.dest)
		rested = append(rested, u.dest)
	}
	return rested
}
