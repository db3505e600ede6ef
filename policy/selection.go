package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never stands for a time that is not known, since only an outcome or a change of the endpoint list can allow the
// call.
const never time.Duration = math.MaxInt64

// smallFleetSize is the largest number of relays in a small fleet. The connections of so few relays fit any
// connection table, and each relay makes enough calls to an endpoint to detect its limit and its outages by itself.
// Such relays need neither spread their calls over equal endpoints nor call less for the sake of the other relays.
const smallFleetSize = 6

// Bounds on the calls in flight to one scope or endpoint. They keep silent or very slow endpoints from taking all
// of Settings.MaxInFlightCalls before any attempt times out.
const (
	maxScopeInFlightRatio = 0.4 // fraction of MaxInFlightCalls for one scope
	minScopeInFlight      = 2   // calls in flight that a scope may always have
	overdueCallsDivisor   = 4   // MaxInFlightCalls/4 overdue calls saturate an endpoint, or ejectAfterFailures if less
)

// sortEndpoints sorts the endpoints and scopes of a destination in the order of selection: higher weight, lower
// cost, then a tie-breaker that each relay draws at random. Without the tie-breaker, hundreds of relays would all
// load the first of several equal endpoints.
func (e *Engine) sortEndpoints(dest *destination) {
	for _, scope := range dest.scopes {
		slices.SortFunc(scope.endpoints, e.compareEndpoints)
	}
	if len(dest.scopes) > 1 {
		slices.SortFunc(dest.scopes, e.compareScopes)
	}
}

// compareScopes compares two scopes of a destination by their first endpoints. A shared scope without endpoints, which
// keeps its Retry-After, comes last.
func (e *Engine) compareScopes(a, b *limitScope) int {
	if len(a.endpoints) == 0 || len(b.endpoints) == 0 {
		return cmp.Compare(len(b.endpoints), len(a.endpoints))
	}
	return e.compareEndpoints(a.endpoints[0], b.endpoints[0])
}

// compareEndpoints compares two endpoints of a destination by their order of selection.
func (e *Engine) compareEndpoints(a, b *endpoint) int {
	switch {
	case a.Weight != b.Weight && !e.settings.IgnoreWeights:
		return cmp.Compare(b.Weight, a.Weight)
	case e.zoneCost(a) != e.zoneCost(b):
		return cmp.Compare(e.zoneCost(a), e.zoneCost(b))
	case a.tieBreaker != b.tieBreaker && e.settings.FleetSize > smallFleetSize:
		return cmp.Compare(a.tieBreaker, b.tieBreaker)
	}
	return cmp.Compare(a.ID, b.ID)
}

// zoneCost returns the cost of a call to an endpoint, which depends on the endpoint's zone.
func (e *Engine) zoneCost(ep *endpoint) float64 {
	if ep.scope.perEndpoint && ep.Zone >= 0 && ep.Zone < len(e.settings.ZoneCosts) {
		return e.settings.ZoneCosts[ep.Zone]
	}
	return 0
}

// selectEndpoint returns the first endpoint, in the order of selection, that takes a message now. If none does, it
// returns nil and the time at which one may. Endpoints that share a scope form one tier, in which the endpoint with
// the fewest calls in flight is preferred. The endpoint at which this message failed last, and endpoints with
// overdue calls, are selected only if no other endpoint takes the message.
func (e *Engine) selectEndpoint(msg *message) (*endpoint, time.Duration) {
	var fallback *endpoint
	soonest := never
	for _, scope := range msg.destination.scopes {
		var best *endpoint
		for _, ep := range scope.endpoints {
			at := e.takesMessageAt(msg, ep)
			switch {
			case at > e.now:
				soonest = min(soonest, at)
			case ep == msg.lastFailedEndpoint || e.hasOverdueCalls(ep, 1):
				fallback = ep
			case best == nil || len(ep.calls) < len(best.calls):
				best = ep
			}
		}
		if best != nil {
			return best, e.now
		}
	}
	return fallback, soonest
}

// takesMessageAt returns the time at which an endpoint may take a message, given the current state.
func (e *Engine) takesMessageAt(msg *message, ep *endpoint) time.Duration {
	at := e.attemptAllowedAt(msg, ep)
	if msg.deadline-e.now < ep.latencyMean {
		return never // too little time is left for an answer
	}
	// A non-idempotent message has no retry after an attempt that may have run, so other messages try an ejected
	// endpoint first.
	if ep.ejected && msg.class.Effect == NonIdempotent {
		at = max(at, msg.deadline-(msg.deadline-msg.objectiveAt)/2)
	}
	if at == never {
		return never
	}
	return max(at, e.acceptsCallAt(ep))
}

// acceptsCallAt returns the time at which an endpoint takes its next call, given the state of its scope, its
// ejection and its pacing. It returns never if only an outcome or a change of the endpoint list can allow a call.
func (e *Engine) acceptsCallAt(ep *endpoint) time.Duration {
	trialInFlight := ep.ejected && len(ep.calls) > 0
	if !ep.InService || ep.Removed || trialInFlight || e.saturated(ep) {
		return never
	}
	scope := ep.scope
	at := max(scope.retryAfterUntil, ep.ejectedUntil, e.recoveryBudgetAt(ep))
	if e.isLargeFleet(scope) {
		e.boundPacing(scope, scope.pacingRate)
	}
	if scope.pacingRate == 0 {
		return at
	}
	e.refillTokens(scope)
	if scope.tokens >= 1 || scope.hasGrant(e.now) {
		return at
	}
	pacedAt := max(at, scope.tokensUpdatedAt+callInterval(e.tokenRate(scope)/(1-scope.tokens)))
	return e.requestQuota(scope, at, pacedAt)
}

// saturated reports whether an endpoint or its scope has too many calls in flight. Silent or very slow endpoints
// could otherwise use up all calls in flight before any attempt times out: an endpoint whose oldest calls are
// overdue may have only a few calls in flight. An overload of the whole fleet makes calls overdue in the same way,
// and the first answer ends that state.
func (e *Engine) saturated(ep *endpoint) bool {
	limit := e.settings.MaxInFlightCalls
	if limit <= 0 {
		return false
	}
	if ep.scope.inFlight >= max(minScopeInFlight, int(maxScopeInFlightRatio*float64(limit))) {
		return true
	}
	return e.hasOverdueCalls(ep, min(ejectAfterFailures, max(1, limit/overdueCallsDivisor)))
}

// hasOverdueCalls reports whether at least n calls of an endpoint are overdue, and no call that was sent later was
// delivered.
func (e *Engine) hasOverdueCalls(ep *endpoint, n int) bool {
	if len(ep.calls) < n {
		return false
	}
	c := ep.calls[n-1]
	return e.now > c.overdueAt && ep.lastAnsweredSendAt < c.sentAt
}
