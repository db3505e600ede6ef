package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	smallFleetSize        = 6   // so many fit any table, and see enough of a route by themselves
	maxScopeInFlightRatio = 0.4 // share of the slots that one gate may fill
)

// sortEndpoints puts routes in their fixed order: listed weight, lower fee, a lot drawn once for each route.
// Guards against hundreds of senders that all load the first of several equal routes.
func (e *Engine) sortEndpoints(dest *destination) {
	less := func(a, b *endpoint) int {
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
	for _, scope := range dest.scopes {
		slices.SortFunc(scope.endpoints, less)
	}
	if len(dest.scopes) > 1 {
		slices.SortFunc(dest.scopes, func(a, b *limitScope) int { return less(a.endpoints[0], b.endpoints[0]) })
	}
}

// zoneCost is what a message costs by its route's zone.
func (e *Engine) zoneCost(ep *endpoint) float64 {
	if ep.scope.perEndpoint && ep.Zone >= 0 && ep.Zone < len(e.settings.ZoneCosts) {
		return e.settings.ZoneCosts[ep.Zone]
	}
	return 0
}

// selectEndpoint returns the first route in order that takes the message now; else nil and when one may.
func (e *Engine) selectEndpoint(msg *message) (*endpoint, time.Duration) {
	fallback, soonest := (*endpoint)(nil), time.Duration(math.MaxInt64)
	for _, scope := range msg.destination.scopes {
		var best *endpoint
		for _, ep := range scope.endpoints {
			at := e.attemptAllowedAt(msg, ep)
			if msg.deadline-e.now < ep.latencyMean {
				continue // no time left for an answer
			}
			// An unsafe message is lost with its attempt: others try a skipped route first.
			if ep.ejected && msg.class.Effect == NonIdempotent {
				at = max(at, msg.deadline-(msg.deadline-msg.objectiveAt)/2)
			}
			if at < math.MaxInt64 {
				at = max(at, e.acceptsCallAt(ep))
			}
			if at > e.now {
				soonest = min(soonest, at)
				continue
			}
			if ep == msg.lastFailedEndpoint || e.hasOverdueCalls(ep, 1) {
				fallback = ep
				continue
			}
			// Routes that share a gate are one tier: the one with fewest calls out, in order.
			if best == nil || len(ep.calls) < len(best.calls) {
				best = ep
			}
		}
		if best != nil {
			return best, e.now
		}
	}
	return fallback, soonest
}

// acceptsCallAt is when a route next takes a call, as far as its gate, skip and pace tell; math.MaxInt64 if
// only an outcome can open it.
func (e *Engine) acceptsCallAt(ep *endpoint) time.Duration {
	scope := ep.scope
	if !ep.InService || ep.Removed || ep.ejected && len(ep.calls) > 0 || e.saturated(ep) {
		return math.MaxInt64
	}
	at := max(scope.retryAfterUntil, ep.ejectedUntil, e.recoveryBudgetAt(ep))
	if e.isLargeFleet(scope) {
		e.boundPacing(scope, scope.pacingRate)
	}
	if scope.pacingRate > 0 {
		e.refillTokens(scope)
		if scope.tokens < 1 && !scope.hasGrant(e.now) {
			at = e.requestQuota(scope, at, max(at, scope.tokensUpdatedAt+callInterval(e.tokenRate(scope)/(1-scope.tokens))))
		}
	}
	return at
}

// saturated tells whether a route or its gate holds too many slots. Guards against silent or very slow routes
// that would fill the slots before any time-out tells: while the oldest calls are overdue, only a few may be
// out. A jam of the whole fleet looks alike; it ends with the first answer.
func (e *Engine) saturated(ep *endpoint) bool {
	scopeFull := ep.scope.inFlight >= max(2, int(maxScopeInFlightRatio*float64(e.settings.MaxInFlightCalls)))
	return e.settings.MaxInFlightCalls > 0 && (scopeFull || e.hasOverdueCalls(ep, min(ejectAfterFailures, max(1, e.settings.MaxInFlightCalls/4))))
}

// hasOverdueCalls tells whether n calls of a route are overdue, with none answered that were sent later.
func (e *Engine) hasOverdueCalls(ep *endpoint, n int) bool {
	return len(ep.calls) >= n && e.now > ep.calls[n-1].overdueAt && ep.lastAnsweredSendAt < ep.calls[n-1].sentAt
}
