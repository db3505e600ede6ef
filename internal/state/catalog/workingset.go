package catalog

import (
	"container/list"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// WorkingSet holds the active destinations, whose endpoints were passed to the engine. Each was used recently, or the
// engine has state of it that must not be lost.
type WorkingSet struct {
	idleTimeout   time.Duration
	byDestination map[policy.DestinationID]*list.Element
	byLastUse     list.List // of *usage, least recently used first

	// recentlyAdded holds the time at which an endpoint was last added to a destination. If there are too many recent
	// ones, the map is cleared and allAddedAt set: every destination then counts as if one had been added at that time.
	recentlyAdded map[policy.DestinationID]time.Duration
	allAddedAt    time.Duration
}

// usage is the last use of a destination.
type usage struct {
	destination policy.DestinationID
	lastUsed    time.Duration
}

// NewWorkingSet returns an empty set. Its destinations may be evicted after idleTimeout without use.
func NewWorkingSet(idleTimeout time.Duration) *WorkingSet {
	return &WorkingSet{
		idleTimeout:   idleTimeout,
		byDestination: map[policy.DestinationID]*list.Element{},
		recentlyAdded: map[policy.DestinationID]time.Duration{},
		allAddedAt:    math.MinInt64 / 2, // in the distant past; half of the minimum, since sums must not overflow
	}
}

// Contains reports whether a destination is active.
func (w *WorkingSet) Contains(destination policy.DestinationID) bool {
	return w.byDestination[destination] != nil
}

// Len returns the number of active destinations.
func (w *WorkingSet) Len() int { return len(w.byDestination) }

// Activate records the use of a destination at now, and makes it active. It returns true if the destination was
// inactive. The engine must then receive its endpoints before the event that uses the destination.
func (w *WorkingSet) Activate(destination policy.DestinationID, now time.Duration) bool {
	if w.Contains(destination) {
		w.Touch(destination, now)
		return false
	}
	w.byDestination[destination] = w.byLastUse.PushBack(&usage{destination: destination, lastUsed: now})
	return true
}

// EndpointAdded records that an endpoint was added to a destination at now. If more than MaxEagerEndpoints destinations
// had one added within policy.MaxInitialSpread, the set no longer tracks each destination, but treats every destination
// as if an endpoint had been added to it at now.
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

// Settled reports whether no endpoint was added to a destination for at least policy.MaxInitialSpread, the time over
// which first calls to new endpoints are spread. When a settled destination is activated, its endpoints are treated as
// if the engine had always had them.
func (w *WorkingSet) Settled(destination policy.DestinationID, now time.Duration) bool {
	if now < w.allAddedAt+policy.MaxInitialSpread {
		return false
	}
	addedAt, recent := w.recentlyAdded[destination]
	return !recent || now >= addedAt+policy.MaxInitialSpread
}

// Touch records the use of an active destination at now. An inactive destination stays inactive. now must not be less
// than in earlier calls.
func (w *WorkingSet) Touch(destination policy.DestinationID, now time.Duration) {
	if element := w.byDestination[destination]; element != nil {
		usageOf(element).lastUsed = now
		w.byLastUse.MoveToBack(element)
	}
}

// EvictIdle evicts destinations that were idle for the timeout and for which evictable returns true. It returns them,
// the least recently used first. It checks at most maxChecked idle destinations. A destination that is not evictable
// counts as used at now, so that it is checked again only after another timeout.
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

// usageOf returns the usage in an element of WorkingSet.byLastUse.
func usageOf(element *list.Element) *usage { return element.Value.(*usage) }
