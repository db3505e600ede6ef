package emulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The decision engine receives an endpoint list of up to Options.MaxEagerEndpoints entries whole. Of a longer list it
// receives only the destinations in use, its working set, from which idle destinations are evicted. The following
// constants are those of package relay.
const (
	// maxEvictions is the maximum number of destinations that a step examines for eviction.
	maxEvictions = 128
	// evictInterval is how often destinations are examined for eviction while nothing else happens.
	evictInterval = time.Second
	// defaultWarmUp is the warm-up time if the settings give none. A destination must be idle for the warm-up time
	// before it may be evicted.
	defaultWarmUp = 30 * time.Second
)

// evicter is a decision engine that reports whether a destination may be evicted, because the engine needs no state
// of it.
type evicter interface {
	Evictable(destination policy.DestinationID) bool
}

// hasLargeList reports whether the engine holds a working set instead of the whole list.
func (r *relay) hasLargeList() bool { return r.workingSet != nil }

// newWorkingSet gives the relay an empty working set.
func (r *relay) newWorkingSet() {
	r.workingSet = catalog.NewWorkingSet(cmp.Or(r.settings.WarmUpDuration, defaultWarmUp))
	r.evictAt = 0
}

// switchToLargeList switches an engine that holds the whole list to a working set, until the process ends. At first
// the working set holds all destinations of the list and of messages.
func (r *relay) switchToLargeList() {
	r.newWorkingSet()
	now := r.now()
	for _, e := range r.world.listSnapshot(r.listVersion) {
		r.workingSet.Activate(e.Destination, now)
	}
	for _, id := range slices.Sorted(maps.Keys(r.messages)) {
		r.workingSet.Activate(r.messages[id].destination, now)
	}
}

// updateWorkingSet updates the working set for the events of a step, and returns the events with the resulting
// changes of the engine's endpoints. First come the changes of the list, then the endpoints of destinations that
// become active, then all other events, and last the removal of idle destinations. The result is valid until the next
// call.
func (r *relay) updateWorkingSet(events []policy.Event) []policy.Event {
	if !r.hasLargeList() {
		return events
	}
	now := r.now()
	activated := r.activateDestinations(now, events)
	evicted := r.evictDestinations(now)
	r.scheduleEviction(len(evicted) > 0)
	if len(activated)+len(evicted) == 0 {
		return events
	}
	out := r.workingSetBuffer[:0]
	for i := range events {
		if isListEvent(events[i].Kind) {
			out = append(out, events[i])
		}
	}
	if len(activated) > 0 {
		out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: activated})
	}
	for i := range events {
		if !isListEvent(events[i].Kind) {
			out = append(out, events[i])
		}
	}
	if len(evicted) > 0 {
		out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: evicted})
	}
	r.workingSetBuffer = out
	return out
}

// isListEvent reports whether events of this kind carry changes of the endpoint list.
func isListEvent(kind policy.EventKind) bool {
	return kind == policy.EndpointDelta || kind == policy.EndpointSnapshot
}

// activateDestinations adds the destinations of new messages, health checks and outcomes with a Retry-After to the
// working set. It returns the endpoints of the destinations that were not in the working set.
func (r *relay) activateDestinations(now time.Duration, events []policy.Event) (activated []policy.Endpoint) {
	for i := range events {
		switch e := &events[i]; e.Kind {
		case policy.MessageAccepted:
			activated = r.activate(activated, e.Destination, now)
		case policy.AttemptFinished, policy.HealthChecked:
			called := r.world.endpoints[e.Endpoint]
			if called == nil {
				continue
			}
			r.workingSet.Touch(policy.DestinationID(called.Destination), now)
			if e.RetryAfter > 0 || e.Kind == policy.HealthChecked {
				activated = r.activate(activated, policy.DestinationID(called.Destination), now)
			}
		}
	}
	return activated
}

// activate adds a destination to the working set. If the destination was not in it, its endpoints are appended to
// activated.
func (r *relay) activate(
	activated []policy.Endpoint, destination policy.DestinationID, now time.Duration,
) []policy.Endpoint {
	if !r.workingSet.Activate(destination, now) {
		return activated
	}
	r.world.Activations++
	first := len(activated)
	activated = r.world.appendEntries(activated, int(destination), r.listVersion)
	for i := range activated[first:] {
		activated[first+i].Relisted = r.workingSet.Settled(destination, now)
	}
	return activated
}

// evictDestinations removes idle destinations from the working set if the engine allows their eviction. It returns
// list entries that remove their endpoints from the engine.
func (r *relay) evictDestinations(now time.Duration) (evicted []policy.Endpoint) {
	e, ok := r.engine.(evicter)
	if !ok {
		return nil
	}
	for _, destination := range r.workingSet.EvictIdle(now, maxEvictions, e.Evictable) {
		evicted = r.world.appendEntries(evicted, int(destination), r.listVersion)
	}
	for i := range evicted {
		evicted[i].InService = false
		evicted[i].Removed = true
	}
	return evicted
}

// scheduleEviction schedules a step in which more destinations may be evicted: after a tick if this step evicted
// some, else after evictInterval.
func (r *relay) scheduleEviction(more bool) {
	if r.workingSet.Len() == 0 || r.world.Now() < r.evictAt {
		return
	}
	delay := evictInterval
	if more {
		delay = r.tick()
	}
	r.evictAt = r.world.Now() + delay
	r.schedule(delay, r.scheduleStep)
}
