package emulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A list of up to Options.MaxEagerEndpoints entries goes to the decision engine whole. Of a longer one the engine gets
// the destinations that are in use, and idle ones are evicted, as package relay does it. These are its constants.
const (
	// maxEvictions bounds how many destinations a step examines for eviction.
	maxEvictions = 128
	// evictInterval is how often destinations are examined for eviction while nothing else happens.
	evictInterval = time.Second
	// defaultWarmUp is the warm-up time if the settings give none.
	defaultWarmUp = 30 * time.Second
)

// evicter is a decision engine that says whether it has nothing to remember of a destination.
type evicter interface {
	Evictable(destination policy.DestinationID) bool
}

// hasLargeList reports whether the engine holds a working set, and not the whole list.
func (r *relay) hasLargeList() bool { return r.workingSet != nil }

// newWorkingSet begins an empty working set.
func (r *relay) newWorkingSet() {
	r.workingSet = catalog.NewWorkingSet(cmp.Or(r.settings.WarmUpDuration, defaultWarmUp))
	r.evictAt = 0
}

// switchToLargeList has the engine hold a working set until the process ends. So far it holds the whole list.
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

// updateWorkingSet adds to a step's events what an engine that holds a working set needs with them. First come the
// changes of the list, then the endpoints of destinations that become active, then all other events, and last the
// removal of destinations that have been idle. The result is valid until the next call.
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

// activateDestinations adds the destinations that events concern to the working set, and returns the endpoints of those
// that are new in it.
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

// activate adds a destination to the working set, and its endpoints to activated if it was not in it.
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

// evictDestinations removes destinations from the working set that are idle and of which the engine has nothing to
// remember. It returns the removal of their endpoints.
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

// scheduleEviction schedules a step in which more destinations may be evicted: soon if there were some just now.
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
