package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never is the time of what only an outcome or a change of the endpoint list can bring about.
const never time.Duration = math.MaxInt64

// smallFleetSize is the largest number of relays that is a small fleet. All of them fit any connection table, and each
// sees enough of an endpoint by itself: they need no spread over equal endpoints and no caution for the others' sake.
const smallFleetSize = 6

// Bounds on the calls in flight to one place, out of Settings.MaxInFlightCalls. They keep silent or very slow endpoints
// from taking all of them before any attempt times out.
const (
	maxScopeInFlightRatio = 0.4 // of them, to one scope
	minScopeInFlight      = 2   // calls that a scope may always have
	overdueCallsDivisor   = 4   // one in so many may be overdue at an endpoint, ejectAfterFailures at most
)

// sortEndpoints puts the endpoints and scopes of a destination in their order of selection: higher weight, lower fee,
// then a tie-breaker that each relay draws by itself. Guards against hundreds of relays that all load the first of
// several equal endpoints.
func (e *Engine) sortEndpoints(dest *destination) {
	for _, scope := range dest.scopes {
		slices.SortFunc(scope.endpoints, e.compareEndpoints)
	}
	if len(dest.scopes) > 1 {
		slices.SortFunc(dest.scopes, func(a, b *limitScope) int {
			return e.compareEndpoints(a.endpoints[0], b.endpoints[0])
		})
	}
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

// zoneCost returns the fee of a call to an endpoint, which depends on its zone.
func (e *Engine) zoneCost(ep *endpoint) float64 {
	if ep.scope.perEndpoint && ep.Zone >= 0 && ep.Zone < len(e.settings.ZoneCosts) {
		return e.settings.ZoneCosts[ep.Zone]
	}
	return 0
}

// selectEndpoint returns the first endpoint in order that takes a message now; else nil and the time at which one may.
// Endpoints that share a scope are one tier, in which the one with the fewest calls in flight goes first. An endpoint
// that failed this message last, or whose calls are overdue, is taken only if no other is left.
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

// takesMessageAt returns the time at which an endpoint may take a message, as things stand.
func (e *Engine) takesMessageAt(msg *message, ep *endpoint) time.Duration {
	at := e.attemptAllowedAt(msg, ep)
	if msg.deadline-e.now < ep.latencyMean {
		return never // too little time is left for an answer
	}
	// A non-idempotent message is lost with a failed attempt: others try an ejected endpoint first.
	if ep.ejected && msg.class.Effect == NonIdempotent {
		at = max(at, msg.deadline-(msg.deadline-msg.objectiveAt)/2)
	}
	if at == never {
		return never
	}
	return max(at, e.acceptsCallAt(ep))
}

// acceptsCallAt returns the time at which an endpoint takes its next call, by its scope, its ejection and its pacing;
// never if only an outcome can change that.
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

// saturated reports whether an endpoint or its scope has too many calls in flight. Guards against silent or very slow
// endpoints that would take all calls in flight before any attempt times out: while the oldest calls are overdue, only
// a few may be out. Overload of the whole fleet looks the same; it ends with the first answer.
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

// hasOverdueCalls reports whether n calls of an endpoint are overdue, and none is answered that was sent later.
func (e *Engine) hasOverdueCalls(ep *endpoint, n int) bool {
	if len(ep.calls) < n {
		return false
	}
	c := ep.calls[n-1]
	return e.now > c.overdueAt && ep.lastAnsweredSendAt < c.sentAt
}
