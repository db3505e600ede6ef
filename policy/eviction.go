package policy

import (
	"math"
	"slices"
	"time"
)

// Evictable reports whether a caller with very many destinations may remove a destination, by an EndpointDelta with
// Removed, and list it again when it is needed. A destination that is listed again starts in its initial state.
// Evictable therefore returns false while the present state, as of the last step, forbids something that the
// initial state allows. This is so if a message is pending or a call is in flight, if a Retry-After or an ejection
// is in force, if an endpoint is suspect or warming up, if the last rejection still limits the pacing rate, or if
// the relay shares the destination's quota with other relays.
//
// Evictable ignores a single failure or rejection as a sign of an outage. The caller must therefore wait until the
// destination has been unused for WarmUpDuration. Evictable does not change the Engine.
func (e *Engine) Evictable(id DestinationID) bool {
	dest := e.destinations[id]
	return dest == nil || dest.messageCount == 0 && !slices.ContainsFunc(dest.scopes, e.hasBindingState)
}

// hasBindingState reports whether a scope holds state that must not be lost.
func (e *Engine) hasBindingState(scope *limitScope) bool {
	switch {
	case scope.inFlight > 0, e.now < scope.retryAfterUntil:
		return true
	case scope.quotaShared: // only changes of grants are reported: a new scope would use quota that is lent to others
		return true
	case e.now < scope.suspectRemovedAt+e.settings.WarmUpDuration: // the replacement inherits the suspicion
		return true
	case scope.consecutiveFailures >= suspectAfterFailures, scope.connectExhaustions >= maxConnectExhaustions:
		return true // one more failure of any endpoint counts as an outage
	}
	return e.hasReducedPacing(scope) || slices.ContainsFunc(scope.endpoints, e.isImpaired)
}

// isImpaired reports whether an endpoint has calls in flight, is ejected, is suspect or is warming up.
func (e *Engine) isImpaired(ep *endpoint) bool {
	switch {
	case len(ep.calls) > 0, ep.ejected, e.now < ep.ejectedUntil:
		return true
	case ep.warmingUp && !e.isWarm(ep):
		return true
	}
	return ep.lastSuccessAt == 0 && ep.scope.hasSuspect() // the endpoint inherits the suspicion at its next call
}

// hasReducedPacing reports whether a scope is paced more strictly than a new scope would be. This is so while the
// token for the next call is not earned yet, and after a rejection has decreased the rate. The decrease counts for
// at least rejectionFreeWindow, because the rejection limits growth for that long, and until the rate could have
// grown back at its slowest growth.
func (e *Engine) hasReducedPacing(scope *limitScope) bool {
	switch {
	case scope.pacingRate == 0:
		return false
	case scope.tokens+e.tokenRate(scope)*(e.now-scope.tokensUpdatedAt).Seconds() < 1:
		return true
	case scope.decreasedAt == 0:
		return false
	}
	startRate := scope.lastRejectedRate // a small fleet starts without pacing, so the rejected rate is the target
	if e.isLargeFleet(scope) {
		startRate = e.fairPacingRate(scope)
	}
	steps := math.Log(startRate/scope.pacingRate) / math.Log1p(cautiousPacingGrowth) // one growth step a second
	return e.now < scope.decreasedAt+max(rejectionFreeWindow, time.Duration(steps*float64(time.Second)))
}
