package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// destination is a destination with its scopes and its queue.
type destination struct {
	id           DestinationID
	scopes       []*limitScope // in the order of selection
	queue        []*message    // waiting, in the order defined by precedes
	messageCount int           // messages that are not released yet
	activeIndex  int           // index in Engine.active, from 1; 0: not active
	// blockedUntil is the time before which no message can be sent, unless an event triggers a recheck.
	blockedUntil time.Duration

	// The next message to send in this dispatch, with its endpoint.
	candidate         *message
	candidateEndpoint *endpoint

	// State for emptyDestinationList.
	emptySince    time.Duration // when the last endpoint was removed
	previousEmpty *destination
	nextEmpty     *destination
}

// hasEndpoints reports whether the destination has an endpoint.
func (dest *destination) hasEndpoints() bool {
	return slices.ContainsFunc(dest.scopes, func(scope *limitScope) bool { return len(scope.endpoints) > 0 })
}

// recheck makes the next dispatch check a blocked destination again.
func (e *Engine) recheck(dest *destination) { dest.blockedUntil = 0 }

// updateEndpoints applies a complete endpoint list or changes to the list. Endpoints that are draining or removed
// get no new calls from then on.
func (e *Engine) updateEndpoints(entries []Endpoint, complete bool) {
	if e.settings.WatchRequired && complete && len(e.sortedDestinations) == 0 {
		e.emit(Action{Kind: WatchEndpoints})
	}
	if complete {
		e.removeUnlisted(entries)
	}
	var changed []*destination
	for _, listed := range entries {
		if dest := e.updateEndpoint(listed); dest != nil {
			changed = append(changed, dest)
		}
	}
	for i, dest := range changed {
		if i == 0 || dest != changed[i-1] {
			e.sortEndpoints(dest)
			e.recheck(dest)
		}
	}
	for _, dest := range changed {
		if e.emptyDestinations.has(dest) && dest.hasEndpoints() {
			e.emptyDestinations.remove(dest)
			dest.emptySince = 0
		}
	}
	e.removeEmptyDestinations()
}

// removeUnlisted removes all endpoints that a complete list does not contain.
func (e *Engine) removeUnlisted(entries []Endpoint) {
	listed := make(map[string]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, dest := range e.sortedDestinations {
		for _, scope := range slices.Clone(dest.scopes) {
			for _, ep := range slices.Clone(scope.endpoints) {
				if !listed[ep.ID] {
					e.removeEndpoint(ep)
				}
			}
		}
	}
}

// updateEndpoint applies one entry of a list. It returns the destination of an added or changed endpoint, or nil if
// the entry removes one.
func (e *Engine) updateEndpoint(listed Endpoint) *destination {
	if !(listed.Weight > 0) || math.IsInf(listed.Weight, 0) { // !(... > 0) is also true for NaN
		listed.Weight = 0
	}
	ep := e.endpoints[listed.ID]
	switch {
	case listed.Removed:
		if ep != nil {
			e.removeEndpoint(ep)
		}
		return nil
	case ep == nil:
		return e.addEndpoint(listed)
	}
	if listed.InService && !ep.InService {
		ep.lastSuccessAt = 0 // as for a new endpoint: successes before it drained are no evidence of its present health
	}
	ep.Endpoint = listed
	return ep.scope.destination
}

// addEndpoint adds a new endpoint and returns its destination.
func (e *Engine) addEndpoint(listed Endpoint) *destination {
	dest := e.ensureDestination(listed.Destination)
	ep := &endpoint{Endpoint: listed, tieBreaker: e.rng.Uint64()}
	e.endpoints[listed.ID] = ep
	perEndpoint := e.settings.DestinationKind(listed.Kind).LimitPerEndpoint
	scope := dest.sharedScope()
	if perEndpoint || scope == nil {
		scope = &limitScope{
			destination:      dest,
			perEndpoint:      perEndpoint,
			kind:             listed.Kind,
			tokens:           1,
			tokensUpdatedAt:  e.now,
			suspectRemovedAt: math.MinInt64 / 2,
		}
		if listed.Relisted {
			// Earn tokens as if the endpoint had been listed since the start. Otherwise the first message after
			// each relisting would wait as after a start.
			scope.tokensUpdatedAt = e.startedAt
		}
		dest.scopes = append(dest.scopes, scope)
	}
	ep.Relisted = false
	ep.scope = scope
	ep.scope.endpoints = append(ep.scope.endpoints, ep)
	return dest
}

// sharedScope returns the scope that all endpoints of the destination without a scope of their own share, or nil if
// there is none.
func (dest *destination) sharedScope() *limitScope {
	for _, scope := range dest.scopes {
		if !scope.perEndpoint {
			return scope
		}
	}
	return nil
}

// removeEndpoint removes an endpoint from the tables. Calls in flight still refer to it until they have their
// outcomes.
func (e *Engine) removeEndpoint(ep *endpoint) {
	ep.Removed = true
	delete(e.endpoints, ep.ID)
	scope := ep.scope
	dest := scope.destination
	if ep.warmingUp {
		scope.suspectRemovedAt = e.now
	}
	scope.endpoints = slices.DeleteFunc(scope.endpoints, func(other *endpoint) bool { return other == ep })
	if scope.perEndpoint {
		dest.scopes = slices.DeleteFunc(dest.scopes, func(other *limitScope) bool { return other == scope })
	}
	if !e.emptyDestinations.has(dest) && !dest.hasEndpoints() {
		dest.emptySince = e.now
		e.emptyDestinations.add(dest)
	}
}

// ensureDestination returns the destination with an id, and creates it if there is none.
func (e *Engine) ensureDestination(id DestinationID) *destination {
	if dest := e.destinations[id]; dest != nil {
		return dest
	}
	dest := &destination{id: id}
	e.destinations[id] = dest
	i, _ := slices.BinarySearchFunc(e.sortedDestinations, id, compareID)
	e.sortedDestinations = slices.Insert(e.sortedDestinations, i, dest)
	return dest
}

// removeEmptyDestinations removes the destinations that have had no endpoint for WarmUpDuration and have no
// message. It inspects only those that have been without an endpoint for that long.
func (e *Engine) removeEmptyDestinations() {
	dest := e.emptyDestinations.first
	for dest != nil && e.now >= dest.emptySince+e.settings.WarmUpDuration {
		next := dest.nextEmpty
		if dest.messageCount == 0 {
			e.emptyDestinations.remove(dest)
			e.removeDestination(dest)
		}
		dest = next
	}
}

// removeDestination removes a destination from the tables.
func (e *Engine) removeDestination(dest *destination) {
	delete(e.destinations, dest.id)
	i, _ := slices.BinarySearchFunc(e.sortedDestinations, dest.id, compareID)
	e.sortedDestinations = slices.Delete(e.sortedDestinations, i, i+1)
}

// compareID compares a destination's id with another id, for binary searches.
func compareID(dest *destination, id DestinationID) int { return cmp.Compare(dest.id, id) }
