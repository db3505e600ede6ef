package policy

import (
	"math"
	"slices"
	"sort"
	"time"
)

// destination is a destination with its queue.
type destination struct {
	id                int
	scopes            []*limitScope
	queue             []*message // waiting, first to go first
	candidate         *message   // next to go in this dispatch, with its route
	candidateEndpoint *endpoint
	blockedUntil      time.Duration // nothing may go before this unless something touches the destination
	messageCount      int           // messages not forgotten
	activeIndex       int           // place among the active, from 1; 0: not active
	emptySince        time.Duration // when its last route went

	previousEmpty, nextEmpty *destination // among those without routes
}

// hasEndpoints tells whether the destination has a route.
func (dest *destination) hasEndpoints() bool {
	return slices.ContainsFunc(dest.scopes, func(scope *limitScope) bool { return len(scope.endpoints) > 0 })
}

// recheck has a destination looked at again by the next dispatch.
func (e *Engine) recheck(dest *destination) { dest.blockedUntil = 0 }

// updateEndpoints takes on the list of routes. A route that drains or is gone takes nothing new from here on.
func (e *Engine) updateEndpoints(entries []Endpoint, complete bool) {
	if e.settings.WatchRequired && complete && len(e.sortedDestinations) == 0 {
		e.emit(Action{Kind: WatchEndpoints})
	}
	if complete {
		keep := make(map[string]bool, len(entries))
		for i := range entries {
			keep[entries[i].ID] = true
		}
		for _, dest := range e.sortedDestinations {
			for _, scope := range slices.Clone(dest.scopes) {
				for _, ep := range slices.Clone(scope.endpoints) {
					if !keep[ep.ID] {
						e.removeEndpoint(ep)
					}
				}
			}
		}
	}
	var changed []*destination
	for _, listed := range entries {
		if !(listed.Weight > 0) || math.IsInf(listed.Weight, 0) {
			listed.Weight = 0 // not told
		}
		ep := e.endpoints[listed.ID]
		switch {
		case listed.Removed:
			if ep != nil {
				e.removeEndpoint(ep)
			}
		case ep == nil:
			e.addEndpoint(listed)
			changed = append(changed, e.destinations[listed.Destination])
		default:
			if listed.InService && !ep.InService {
				ep.lastSuccessAt = 0 // as new: what it answered before it drained tells nothing
			}
			ep.Endpoint = listed
			changed = append(changed, ep.scope.destination)
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

func (e *Engine) addEndpoint(listed Endpoint) {
	dest := e.ensureDestination(listed.Destination)
	ep := &endpoint{Endpoint: listed, tieBreaker: e.rng.Uint64()}
	e.endpoints[listed.ID] = ep
	perEndpoint := listed.Kind >= 0 && listed.Kind < len(e.settings.DestinationKinds) && e.settings.DestinationKinds[listed.Kind].LimitPerEndpoint
	if perEndpoint || len(dest.scopes) == 0 {
		dest.scopes = append(dest.scopes, &limitScope{
			destination: dest, perEndpoint: perEndpoint, kind: listed.Kind, tokens: 1, tokensUpdatedAt: e.now,
			suspectRemovedAt: math.MinInt64 / 2,
		})
		if listed.Relisted {
			// As if it had stood here since. Guards against a first message that waits as at a start each time that it
			// is told of again.
			dest.scopes[len(dest.scopes)-1].tokensUpdatedAt = e.startedAt
		}
	}
	ep.Relisted = false
	ep.scope = dest.scopes[len(dest.scopes)-1]
	ep.scope.endpoints = append(ep.scope.endpoints, ep)
}

// removeEndpoint forgets a route. Calls still out keep it alive until their outcomes.
func (e *Engine) removeEndpoint(ep *endpoint) {
	ep.Removed = true
	delete(e.endpoints, ep.ID)
	scope := ep.scope
	if ep.warmingUp {
		scope.suspectRemovedAt = e.now
	}
	scope.endpoints = slices.DeleteFunc(scope.endpoints, func(other *endpoint) bool { return other == ep })
	if scope.perEndpoint {
		scope.destination.scopes = slices.DeleteFunc(scope.destination.scopes, func(other *limitScope) bool { return other == scope })
	}
	if dest := scope.destination; !e.emptyDestinations.has(dest) && !dest.hasEndpoints() {
		dest.emptySince = e.now
		e.emptyDestinations.add(dest)
	}
}

func (e *Engine) ensureDestination(id int) *destination {
	dest := e.destinations[id]
	if dest == nil {
		dest = &destination{id: id}
		e.destinations[id] = dest
		i := sort.Search(len(e.sortedDestinations), func(i int) bool { return e.sortedDestinations[i].id > id })
		e.sortedDestinations = slices.Insert(e.sortedDestinations, i, dest)
	}
	return dest
}

// removeEmptyDestinations forgets destinations that have had no route for a warm-up and hold no message. It looks at those alone that are
// due.
func (e *Engine) removeEmptyDestinations() {
	for dest := e.emptyDestinations.first; dest != nil && e.now >= dest.emptySince+e.settings.WarmUpDuration; {
		next := dest.nextEmpty
		if dest.messageCount == 0 {
			e.emptyDestinations.remove(dest)
			delete(e.destinations, dest.id)
			i := sort.Search(len(e.sortedDestinations), func(i int) bool { return e.sortedDestinations[i].id >= dest.id })
			e.sortedDestinations = slices.Delete(e.sortedDestinations, i, i+1)
		}
		dest = next
	}
}
