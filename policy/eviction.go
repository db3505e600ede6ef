package policy

import (
	"math"
	"slices"
	"time"
)

// Evictable reports whether a caller with very many destinations may remove one, by an EndpointDelta with Removed, and
// list it again when it is needed. As of the last step, removing it must drop nothing that binds: no message is pending
// and no call in flight, no Retry-After and no ejection is in force, no endpoint is suspect or warming up, the last
// rejection no longer matters, and other relays share none of its limit. Listed again, the destination is as after a
// start, which then allows nothing that its old state would not.
//
// It looks neither at a single failure nor at a single rejection: the caller waits for WarmUpDuration without use of
// the destination first. Evictable changes nothing.
func (e *Engine) Evictable(id DestinationID) bool {
	dest := e.destinations[id]
	return dest == nil || dest.messageCount == 0 && !slices.ContainsFunc(dest.scopes, e.hasBindingState)
}

// hasBindingState reports whether a scope holds state that must not be lost.
func (e *Engine) hasBindingState(scope *limitScope) bool {
	switch {
	case scope.inFlight > 0, e.now < scope.retryAfterUntil:
		return true
	case scope.quotaShared: // only changes of grants are reported: a new scope would use the part that is lent
		return true
	case e.now < scope.suspectRemovedAt+e.settings.WarmUpDuration: // what replaces a suspect endpoint inherits it
		return true
	case scope.consecutiveFailures >= suspectAfterFailures, scope.connectExhaustions >= maxConnectExhaustions:
		return true // the next failure, of any endpoint, shows an outage
	}
	return e.hasReducedPacing(scope) || slices.ContainsFunc(scope.endpoints, e.isImpaired)
}

// isImpaired reports whether an endpoint has calls in flight, is ejected, suspect or warming up.
func (e *Engine) isImpaired(ep *endpoint) bool {
	switch {
	case len(ep.calls) > 0, ep.ejected, e.now < ep.ejectedUntil:
		return true
	case ep.warmingUp && !e.isWarm(ep):
		return true
	}
	return ep.lastSuccessAt == 0 && ep.scope.hasSuspect() // it inherits suspicion with its next call
}

// hasReducedPacing reports whether a scope is paced such that a start must not undo it: the tokens of a call are not
// earned yet, or a rejection has decreased the rate and it could not have grown back by now, at its slowest growth. A
// rejection longer ago than rejectionFreeWindow does not matter, as in growth itself.
func (e *Engine) hasReducedPacing(scope *limitScope) bool {
	switch {
	case scope.pacingRate == 0:
		return false
	case scope.tokens+e.tokenRate(scope)*(e.now-scope.tokensUpdatedAt).Seconds() < 1:
		return true
	case scope.decreasedAt == 0:
		return false
	}
	startRate := scope.lastRejectedRate // a small fleet starts without pacing
	if e.isLargeFleet(scope) {
		startRate = e.fairPacingRate(scope)
	}
	steps := math.Log(startRate/scope.pacingRate) / math.Log1p(cautiousPacingGrowth) // one a second
	return e.now < scope.decreasedAt+max(rejectionFreeWindow, time.Duration(steps*float64(time.Second)))
}
