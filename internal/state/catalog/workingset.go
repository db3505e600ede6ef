package catalog

import (
	"container/list"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// WorkingSet holds the destinations that are active, which are those that a decision module knows: they were used
// lately, or the module must not forget them.
type WorkingSet struct {
	idleTimeout   time.Duration
	byDestination map[policy.DestinationID]*list.Element
	byLastUse     list.List // of *usage, the least recently used first

	recentlyAdded map[policy.DestinationID]time.Duration // destinations of which an endpoint was added lately, and when
	allAddedAt    time.Duration                          // every destination counts as added then, at least
}

// usage is when a destination was used last.
type usage struct {
	destination policy.DestinationID
	lastUsed    time.Duration
}

// NewWorkingSet returns an empty set, whose destinations may be evicted once they were not used for idleTimeout.
func NewWorkingSet(idleTimeout time.Duration) *WorkingSet {
	return &WorkingSet{
		idleTimeout:   idleTimeout,
		byDestination: map[policy.DestinationID]*list.Element{},
		recentlyAdded: map[policy.DestinationID]time.Duration{},
		allAddedAt:    math.MinInt64 / 2, // long ago, and far enough from overflow
	}
}

// Contains reports whether a destination is active.
func (w *WorkingSet) Contains(destination policy.DestinationID) bool {
	return w.byDestination[destination] != nil
}

// Len returns the number of active destinations.
func (w *WorkingSet) Len() int { return len(w.byDestination) }

// Activate uses a destination at now. It reports whether it was not active: then the module must get its endpoints
// first.
func (w *WorkingSet) Activate(destination policy.DestinationID, now time.Duration) bool {
	if w.Contains(destination) {
		w.Touch(destination, now)
		return false
	}
	w.byDestination[destination] = w.byLastUse.PushBack(&usage{destination: destination, lastUsed: now})
	return true
}

// EndpointAdded notes that an endpoint of a destination was added to the list at now. If there are more than
// MaxEagerEndpoints such destinations lately, every destination counts as added.
func (w *WorkingSet) EndpointAdded(destination policy.DestinationID, now time.Duration) {
	w.recentlyAdded[destination] = now
	if len(w.recentlyAdded) <= MaxEagerEndpoints {
		return
	}
	for d, addedAt := range w.recentlyAdded {
		if now >= addedAt+policy.MaxInitialSpread {
			delete(w.recentlyAdded, d)
		}
	}
	if len(w.recentlyAdded) > MaxEagerEndpoints {
		clear(w.recentlyAdded)
		w.allAddedAt = now
	}
}

// Settled reports whether a destination has been listed for at least policy.MaxInitialSpread, over which first calls to
// new endpoints are spread. Activated then, it is as if its module had always known it.
func (w *WorkingSet) Settled(destination policy.DestinationID, now time.Duration) bool {
	if now < w.allAddedAt+policy.MaxInitialSpread {
		return false
	}
	addedAt, recent := w.recentlyAdded[destination]
	return !recent || now >= addedAt+policy.MaxInitialSpread
}

// Touch has an active destination count as used at now, which must not go back. Another one stays inactive.
func (w *WorkingSet) Touch(destination policy.DestinationID, now time.Duration) {
	if element := w.byDestination[destination]; element != nil {
		usageOf(element).lastUsed = now
		w.byLastUse.MoveToBack(element)
	}
}

// EvictIdle evicts destinations that were idle for the timeout and that evictable allows, and returns them, the least
// recently used first. It looks at most at maxChecked of them. One that stays is looked at again as if it had been used
// now.
func (w *WorkingSet) EvictIdle(
	now time.Duration, maxChecked int, evictable func(destination policy.DestinationID) bool,
) (evicted []policy.DestinationID) {
	for ; maxChecked > 0 && w.byLastUse.Len() > 0; maxChecked-- {
		element := w.byLastUse.Front()
		u := usageOf(element)
		if now < u.lastUsed+w.idleTimeout {
			break
		}
		if !evictable(u.destination) {
			w.Touch(u.destination, now)
			continue
		}
		w.byLastUse.Remove(element)
		delete(w.byDestination, u.destination)
		evicted = append(evicted, u.destination)
	}
	return evicted
}

// usageOf returns what an element of WorkingSet.byLastUse holds.
func usageOf(element *list.Element) *usage { return element.Value.(*usage) }
